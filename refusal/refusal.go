// Package refusal defines the typed refusals that callers receive and their
// representation in HTTP.
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

// Header names of a refusal in an HTTP answer.
const (
	HeaderReason = "Dotterel-Refusal"
	HeaderRan    = "Dotterel-Ran"
)

// Class groups all errors of this package.
var Class = errs.Class("refusal")

// Ran tells whether a refused request ran on a backend server.
type Ran string

// The values of Ran. RanNo is used only when it is certain.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals. docs/design.md lists their meaning.
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
	// WrongNode is used between nodes only: the address belongs to another node.
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
	WrongNode:         http.StatusMisdirectedRequest,
}

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason { return slices.Sorted(maps.Keys(statuses)) }

// Refusal is the error that a caller receives in place of an answer. It is
// immutable once returned, so one value may be shared between requests.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // 0 means that no time is known
	Message    string
}

// New returns a refusal of a request that certainly did not run.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// NewRan returns a refusal with the given knowledge of whether the request ran.
func NewRan(reason Reason, ran Ran, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of r that tells the caller to wait for d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// Error implements error.
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

// FromError returns the refusal in the chain of err. Any other error becomes an
// Internal refusal that may have run.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewRan(Internal, RanMaybe, "%v", err)
}

// body is the JSON form of a refusal.
type body struct {
	Reason       Reason `json:"reason"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Write sends r as the whole answer. No answer header may have been sent before.
func Write(w http.ResponseWriter, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRan, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	b, err := json.Marshal(body{r.Reason, r.Message, r.Ran, r.RetryAfter.Milliseconds()})
	if err != nil {
		http.Error(w, string(r.Reason), r.Status())
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(r.Status())
	// A write error means that the caller is gone; there is nobody left to tell.
	_, _ = w.Write(b)
}

// Parse reconstructs a refusal from an HTTP answer's headers and body. It
// returns false if the answer is not a refusal. body may be nil.
func Parse(h http.Header, raw []byte) (*Refusal, bool) {
	reason := h.Get(HeaderReason)
	if reason == "" {
		return nil, false
	}
	r := &Refusal{Reason: Reason(reason), Ran: Ran(h.Get(HeaderRan))}
	var b body
	if json.Unmarshal(raw, &b) == nil {
		r.Message = b.Message
		r.RetryAfter = time.Duration(b.RetryAfterMS) * time.Millisecond
	}
	return r, true
}
