// Package edge defines the protocol that callers and backend servers speak with a
// node. Package node implements the project's own protocol, package platform the one of
// the platform that the nodes are deployed on.
package edge

import (
	"net/http"
	"net/url"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Protocol translates between a node and its callers and backend servers, which differ
// in the headers that they send and understand. Implementations are safe for
// concurrent use.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request and finds its route in s,
	// the active configuration, which may be nil. If it refuses the request, the result
	// has the fields that were read before.
	ParseRequest(r *http.Request, s *config.Snapshot) (ParsedRequest, *refusal.Refusal)
	// ConsumesHeader reports whether a caller's header is meant for the node and must
	// not be forwarded to the backend server.
	ConsumesHeader(header string) bool
	// ContextHeaders returns the headers that describe a delivery to the backend server.
	ContextHeaders(d *Delivery) []HeaderField
	// ClassifyResponse reports whether a response of the backend server is the response
	// to the delivery, or why it is not.
	ClassifyResponse(resp *http.Response, d *Delivery) ResponseClass
	// Signals returns what the backend server says about itself in a response that is
	// valid or says that the request did not run.
	Signals(resp *http.Response) Signals
	// WriteRefusal sends a refusal as the complete response to a caller.
	WriteRefusal(w http.ResponseWriter, r *refusal.Refusal)
	// PropagatesContext reports whether the onward calls of a backend server carry the
	// context of the call that they belong to. If not, the node handles onward calls like
	// requests of callers, and each delivery may use at most one attempt.
	PropagatesContext() bool
}

// ParsedRequest is what the protocol reads from a caller's request.
type ParsedRequest struct {
	Service    string
	URL        url.URL // as the backend server receives it
	Route      *config.Route
	Workspace  string // empty if the request has no known key, which open routes allow
	Importance config.Importance
	RequestID  string        // set by the caller, may be empty
	Timeout    time.Duration // set by the caller, 0 if it sets none
	Onward     bool          // taken for a call of a backend server, which belongs to a request that has been admitted
}

// Delivery describes one delivery of a request to a backend server.
type Delivery struct {
	Token     string // identifies the call in flight, for the server's onward calls
	RequestID string // set by the caller, may be empty
	CallID    string // identifies the caller's request in the whole call tree
	Workspace string
	Origin    string        // service of the host that the request came in on; may be empty
	Instance  string        // backend server that the request is meant for; may be empty
	Remaining time.Duration // time until the deadline
}

// ResponseClass says whether the node may pass a response on, and if not, why.
type ResponseClass uint8

// The response classes.
const (
	ValidResponse   ResponseClass = iota // the response to the request
	NotRun                               // the backend server reports that it did not run the request
	NotRunDraining                       // like NotRun, because the backend server is draining
	WrongInstance                        // another backend server has the address; it did not run the request
	InvalidResponse                      // not the response to this request, or corrupt
)

// HeaderField is one header line of a request.
type HeaderField struct{ Name, Value string }
