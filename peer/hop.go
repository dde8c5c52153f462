// Package peer implements the protocol between nodes: the header and trailer of
// forwarded requests, and control messages on WebSocket connections.
package peer

import (
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
)

// Header and trailer names of the protocol between nodes. Nodes remove the header
// and the trailer of a hop from requests of callers and backend servers.
const (
	HeaderHop        = "Dotterel-Hop"
	TrailerHopResult = "Dotterel-Hop-Result"
	HeaderToken      = "Dotterel-Cluster-Token" // carries the cluster token that authenticates a node
)

// ErrMalformed is the class of errors of hop headers and messages that cannot be
// encoded or decoded.
var ErrMalformed = errs.Class("peer: malformed")

// Hop is the header of a request from the entry node to the destination node.
type Hop struct {
	CallID             string            `cbor:"1,keyasint"` // identifies the caller's request in the whole call tree
	Workspace          string            `cbor:"2,keyasint,omitempty"`
	Service            string            `cbor:"3,keyasint"`
	Route              string            `cbor:"4,keyasint"` // route pattern
	Importance         config.Importance `cbor:"5,keyasint"`
	Depth              int               `cbor:"6,keyasint"`            // 0 for the caller's own request
	Attempts           int               `cbor:"7,keyasint"`            // attempts that this delivery and its onward calls may use, including this one
	RemainingMicros    int64             `cbor:"8,keyasint"`            // time left until the deadline, microseconds
	RequestID          string            `cbor:"9,keyasint,omitempty"`  // ID that the caller chose, for idempotency
	Admitted           bool              `cbor:"10,keyasint"`           // part of a call tree that has already been admitted
	ContentLength      int64             `cbor:"11,keyasint"`           // length of the request body, bytes; -1 if unknown
	MaxQueueWaitMicros int64             `cbor:"13,keyasint,omitempty"` // longest time in the admission queue, microseconds; 0 means the default
	Version            uint64            `cbor:"15,keyasint,omitempty"` // configuration in force at the sender
	SenderAddress      string            `cbor:"16,keyasint,omitempty"` // the sender's peers listener, ip:port
	Target             string            `cbor:"14,keyasint,omitempty"` // node that the request is meant for
	Backend            *BackendReport    `cbor:"17,keyasint,omitempty"` // latest report of the destination's backend server; nil if it had nothing to report
	NoRateWait         bool              `cbor:"18,keyasint,omitempty"` // refuse the request instead of queueing it for the rate limit of the backend server
	Origin             string            `cbor:"12,keyasint,omitempty"` // service of the entry node's host
}

// Remaining returns the time left until the deadline.
func (h *Hop) Remaining() time.Duration {
	return time.Duration(h.RemainingMicros) * time.Microsecond
}

// Threshold tells callers' nodes which calls a destination admits at present.
type Threshold struct {
	Lowest   config.Importance `cbor:"1,keyasint"` // lowest importance admitted
	InFlight int               `cbor:"2,keyasint"` // requests being processed
	Queued   int               `cbor:"3,keyasint"` // requests waiting in the admission queue
	Limit    int               `cbor:"4,keyasint"` // current concurrency limit
	// RateWaitMicros is the time until the rate limit that the backend server names lets
	// another request through, microseconds; 0 without such a limit.
	RateWaitMicros int64 `cbor:"5,keyasint,omitempty"`
}

// HopResult is the trailer of a response from a destination node.
type HopResult struct {
	AttemptsUnused int            `cbor:"1,keyasint"` // attempts of Hop.Attempts that were not used
	Threshold      Threshold      `cbor:"2,keyasint"`
	Complete       bool           `cbor:"3,keyasint"`            // the whole body was sent
	Retried        bool           `cbor:"4,keyasint,omitempty"`  // an onward call was already retried; the caller's node must not retry
	Draining       bool           `cbor:"5,keyasint,omitempty"`  // the backend server is draining
	OnwardOverload bool           `cbor:"6,keyasint,omitempty"`  // an onward call was refused for overload and the response is a failure
	ShedByBackend  bool           `cbor:"7,keyasint,omitempty"`  // the backend server itself refused the request
	AdmitRatio     float64        `cbor:"8,keyasint,omitempty"`  // ratio of requests of this route and importance that can be completed at present; 0 means unknown
	Version        uint64         `cbor:"10,keyasint,omitempty"` // configuration in force at the destination
	Backend        *BackendReport `cbor:"11,keyasint,omitempty"` // nil if there is nothing to report
	FailureRatio   float64        `cbor:"9,keyasint,omitempty"`  // ratio of requests of this route and importance that are refused, or that fail because an onward call was refused, 0 to 1
}

// EncodeHeader returns v as a header value: CBOR in unpadded URL-safe base64. The
// error is of class ErrMalformed.
func EncodeHeader(v any) (string, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return "", ErrMalformed.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// DecodeHeader decodes a value made by EncodeHeader into v. The error is of class
// ErrMalformed.
func DecodeHeader(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return ErrMalformed.Wrap(err)
	}
	return ErrMalformed.Wrap(cbor.Unmarshal(b, v))
}
