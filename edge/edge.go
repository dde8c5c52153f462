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

// Edge is how callers and backend servers speak with a node: which headers they
// send and understand. Implementations are safe for concurrent use.
type Edge interface {
	// Accept reads what a caller's request says of itself and finds its route in
	// the configuration in force.
	Accept(r *http.Request, s *config.Snapshot) (Accepted, *refusal.Refusal)
	// Private reports whether a caller's header is meant for the node only.
	Private(header string) bool
	// Context returns the headers that tell the backend server about a delivery.
	Context(d *Delivery) []Field
	// Inspect tells what an answer of the backend server is worth.
	Inspect(resp *http.Response, d *Delivery) Inspection
	// Refuse sends a refusal as the whole answer to a caller.
	Refuse(w http.ResponseWriter, r *refusal.Refusal)
	// Contextual reports whether the onward calls of a backend server carry the
	// context of the call that they belong to. Without it they come in like
	// callers' requests, and a delivery takes one attempt along.
	Contextual() bool
}

// Accepted is what a caller's request says of itself.
type Accepted struct {
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
	Left      time.Duration
}

// Inspection tells what an answer of the backend server is worth.
type Inspection uint8

// The results of an inspection.
const (
	Genuine       Inspection = iota // the answer to the request
	NotRun                          // the backend server reports that it did not run the request
	NotRunLeaving                   // the same, because it is leaving
	WrongInstance                   // another backend server has the address; it did not run the request
	Foreign                         // not the answer to this request
)

// Field is one header line.
type Field struct{ Name, Value string }
