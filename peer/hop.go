// Package peer is the protocol between nodes: the header and trailer of data
// hops, and the control messages on WebSocket connections.
package peer

import (
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
)

// Header and trailer names of a data hop. Nodes remove both from requests of
// callers and backend servers.
const (
	HeaderHop        = "Dotterel-Hop"
	TrailerHopResult = "Dotterel-Hop-Result"
	HeaderToken      = "Dotterel-Cluster-Token"
)

// ErrMalformed is the class of undecodable hop headers and messages.
var ErrMalformed = errs.Class("peer: malformed")

// Hop accompanies a request from the entry node to the destination node.
type Hop struct {
	CallID             string            `cbor:"1,keyasint"` // identifies the caller's request across the call tree
	Workspace          string            `cbor:"2,keyasint,omitempty"`
	Service            string            `cbor:"3,keyasint"`
	Route              string            `cbor:"4,keyasint"` // route pattern
	Importance         config.Importance `cbor:"5,keyasint"`
	Depth              int               `cbor:"6,keyasint"`            // 0 for the caller's own request
	Attempts           int               `cbor:"7,keyasint"`            // attempts that the subtree may use, this delivery included
	RemainingMicros    int64             `cbor:"8,keyasint"`            // time left, microseconds
	RequestID          string            `cbor:"9,keyasint,omitempty"`  // caller's own ID
	Admitted           bool              `cbor:"10,keyasint"`           // part of a call tree that was admitted before
	ContentLength      int64             `cbor:"11,keyasint"`           // promised request body length, bytes; -1 if unknown
	MaxQueueWaitMicros int64             `cbor:"13,keyasint,omitempty"` // longest time in the admission queue, microseconds; 0 means the default
	Version            uint64            `cbor:"15,keyasint,omitempty"` // configuration in force at the sender
	SenderAddress      string            `cbor:"16,keyasint,omitempty"` // the sender's peers listener, ip:port
	Target             string            `cbor:"14,keyasint,omitempty"` // node that the request is meant for
	Origin             string            `cbor:"12,keyasint,omitempty"` // service of the host that the request came in on
}

// Remaining returns the time left.
func (h *Hop) Remaining() time.Duration {
	return time.Duration(h.RemainingMicros) * time.Microsecond
}

// Threshold tells upstream nodes which calls a destination admits at present.
type Threshold struct {
	Lowest   config.Importance `cbor:"1,keyasint"` // lowest importance admitted
	InFlight int               `cbor:"2,keyasint"`
	Queued   int               `cbor:"3,keyasint"`
	Limit    int               `cbor:"4,keyasint"` // current concurrency limit
}

// HopResult is the trailer of an answer from a destination node.
type HopResult struct {
	AttemptsUnused int       `cbor:"1,keyasint"` // part of Hop.Attempts that was not used
	Threshold      Threshold `cbor:"2,keyasint"`
	Complete       bool      `cbor:"3,keyasint"`            // the whole body was sent
	Retried        bool      `cbor:"4,keyasint,omitempty"`  // a retry was already made below; the caller must not retry
	Draining       bool      `cbor:"5,keyasint,omitempty"`  // the backend server is leaving
	OnwardOverload bool      `cbor:"6,keyasint,omitempty"`  // an onward call was refused for overload and the answer is a failure
	ShedByBackend  bool      `cbor:"7,keyasint,omitempty"`  // the backend server itself refused the request
	AdmitRatio     float64   `cbor:"8,keyasint,omitempty"`  // share of such requests that can be completed at present; 0: not known
	Version        uint64    `cbor:"10,keyasint,omitempty"` // configuration in force at the destination
	FailureRatio   float64   `cbor:"9,keyasint,omitempty"`  // part of such requests that is refused, or fails for refusals further down
}

// EncodeHeader returns v as a header value: CBOR in unpadded base64.
func EncodeHeader(v any) (string, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return "", ErrMalformed.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// DecodeHeader parses a value made by EncodeHeader into v.
func DecodeHeader(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return ErrMalformed.Wrap(err)
	}
	return ErrMalformed.Wrap(cbor.Unmarshal(b, v))
}
