// Package refusal defines the errors that callers receive instead of an answer, and
// their representation in HTTP.
package refusal

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Names of the HTTP response headers of a refusal.
const (
	HeaderReason = "Dotterel-Refusal"
	HeaderRan    = "Dotterel-Ran"
)

// Class is not used by this package; its errors are of type *Refusal.
var Class = errs.Class("refusal")

// Ran tells whether a refused request ran on a backend server, and so whether it is
// safe to repeat it.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the request did not run.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals. docs/operators/refusals.md lists their meaning.
const (
	BadRequest        Reason = "bad_request"
	HeadersTooLarge   Reason = "headers_too_large"
	BodyTooLarge      Reason = "body_too_large"
	BodyIncomplete    Reason = "body_incomplete"
	NoKey             Reason = "no_key"
	UnknownKey        Reason = "unknown_key"
	WithdrawnKey      Reason = "withdrawn_key"
	KeysUnverified    Reason = "keys_unverified"
	NoRoute           Reason = "no_route"
	OverRate          Reason = "over_rate"
	Overload          Reason = "overload"
	Deadline          Reason = "deadline"
	AttemptsExhausted Reason = "attempts_exhausted"
	NoBackendServer   Reason = "no_backend_server"
	BackendFailed     Reason = "backend_failed"
	AnswerIncomplete  Reason = "answer_incomplete"
	Draining          Reason = "draining"
	NoContext         Reason = "no_context"
	Duplicate         Reason = "duplicate"
	LedgerUnavailable Reason = "ledger_unavailable"
	NoConfiguration   Reason = "no_configuration"
	Internal          Reason = "internal"
	// BackendLimited is used only between nodes: the backend server takes fewer requests per
	// second than arrive for it.
	BackendLimited Reason = "backend_limited"
	// WrongNode is used only between nodes: the address now belongs to another node.
	WrongNode Reason = "wrong_node"
)

var statuses = map[Reason]int{
	BadRequest:        http.StatusBadRequest,
	HeadersTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyIncomplete:    http.StatusBadRequest,
	NoKey:             http.StatusUnauthorized,
	UnknownKey:        http.StatusUnauthorized,
	WithdrawnKey:      http.StatusUnauthorized,
	KeysUnverified:    http.StatusServiceUnavailable,
	NoRoute:           http.StatusNotFound,
	OverRate:          http.StatusTooManyRequests,
	Overload:          http.StatusServiceUnavailable,
	Deadline:          http.StatusGatewayTimeout,
	AttemptsExhausted: http.StatusServiceUnavailable,
	NoBackendServer:   http.StatusServiceUnavailable,
	BackendFailed:     http.StatusBadGateway,
	AnswerIncomplete:  http.StatusBadGateway,
	Draining:          http.StatusServiceUnavailable,
	NoContext:         http.StatusForbidden,
	Duplicate:         http.StatusConflict,
	LedgerUnavailable: http.StatusServiceUnavailable,
	NoConfiguration:   http.StatusServiceUnavailable,
	Internal:          http.StatusInternalServerError,
	BackendLimited:    http.StatusServiceUnavailable,
	WrongNode:         http.StatusMisdirectedRequest,
}

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason { return slices.Sorted(maps.Keys(statuses)) }

// Refusal is the error that a caller receives instead of an answer. It must not be
// changed after it was returned, as one value may be shared between requests.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // how long the caller should wait before a retry; 0 means unknown
	Message    string        // human-readable cause, sent to the caller
}

// New returns a refusal of a request that has certainly not run.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// NewRan returns a refusal with the given value of Ran.
func NewRan(reason Reason, ran Ran, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of r with the given RetryAfter.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Message)
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if s, ok := statuses[r.Reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// FromError returns the Refusal in the chain of err. If there is none, it returns one
// with the reason Internal and RanMaybe.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewRan(Internal, RanMaybe, "%v", err)
}

// jsonBody is the JSON form of a refusal.
type jsonBody struct {
	Reason       Reason `json:"reason"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Write sends r as the complete HTTP response. RetryAfter, if known, is sent in the
// Retry-After header, rounded up to seconds, and in the body in milliseconds. The
// response header must not have been sent before.
func Write(w http.ResponseWriter, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRan, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	b, err := json.Marshal(jsonBody{r.Reason, r.Message, r.Ran, r.RetryAfter.Milliseconds()})
	if err != nil {
		http.Error(w, string(r.Reason), r.Status())
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(r.Status())
	// A write error means that the caller has disconnected and cannot be informed.
	_, _ = w.Write(b)
}

// Parse returns the refusal in the headers and the body of an HTTP response, and false
// if the response is not a refusal. Reason and Ran are returned as received; Ran may be
// empty or unknown. Without a body in raw, Message and RetryAfter are not set.
func Parse(h http.Header, raw []byte) (*Refusal, bool) {
	reason := h.Get(HeaderReason)
	if reason == "" {
		return nil, false
	}
	r := &Refusal{Reason: Reason(reason), Ran: Ran(h.Get(HeaderRan))}
	var b jsonBody
	if json.Unmarshal(raw, &b) == nil {
		r.Message = b.Message
		r.RetryAfter = time.Duration(b.RetryAfterMS) * time.Millisecond
	}
	return r, true
}
