// Package edge states how callers and backend servers speak with a node, so that
// a node serves the project's own protocol and others alike.
package edge

import (
	"net/http"
	"net/url"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Protocol is how callers and backend servers speak with a node: which headers they
// send and understand. Implementations are safe for concurrent use.
type Protocol interface {
	// ParseRequest reads what a caller's request says of itself and finds its route in
	// the configuration in force.
	ParseRequest(r *http.Request, s *config.Snapshot) (ParsedRequest, *refusal.Refusal)
	// ConsumesHeader reports whether a caller's header is meant for the node only.
	ConsumesHeader(header string) bool
	// ContextHeaders returns the headers that tell the backend server about a delivery.
	ContextHeaders(d *Delivery) []HeaderField
	// ClassifyResponse tells what an answer of the backend server is worth.
	ClassifyResponse(resp *http.Response, d *Delivery) ResponseClass
	// WriteRefusal sends a refusal as the whole answer to a caller.
	WriteRefusal(w http.ResponseWriter, r *refusal.Refusal)
	// PropagatesContext reports whether the onward calls of a backend server carry the
	// context of the call that they belong to. Without it they come in like
	// callers' requests, and a delivery takes one attempt along.
	PropagatesContext() bool
}

// ParsedRequest is what a caller's request says of itself.
type ParsedRequest struct {
	Service    string
	URL        url.URL // as the backend server receives it
	Route      *config.Route
	Workspace  string // empty on a route open to all
	Importance config.Importance
	RequestID  string        // the caller's own ID, may be empty
	Timeout    time.Duration // the caller's own, 0 without one
}

// Delivery is what a backend server is told about a request.
type Delivery struct {
	Token     string // names the call in flight
	RequestID string
	CallID    string
	Workspace string
	Origin    string // service of the host that the request came in on; may be empty
	Instance  string // backend server that the request is meant for; may be empty
	Remaining time.Duration
}

// ResponseClass tells what an answer of the backend server is worth.
type ResponseClass uint8

// The results of an inspection.
const (
	ValidResponse   ResponseClass = iota // the answer to the request
	NotRun                               // the backend server reports that it did not run the request
	NotRunDraining                       // the same, because it is leaving
	WrongInstance                        // another backend server has the address; it did not run the request
	InvalidResponse                      // not the answer to this request
)

// HeaderField is one header line.
type HeaderField struct{ Name, Value string }
