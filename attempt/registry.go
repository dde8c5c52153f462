package attempt

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

const (
	shardCount  = 64 // power of two; keeps lock contention low with thousands of calls in flight
	tokenBytes  = 18 // 144 random bits, 24 characters in base64
	tokenLength = tokenBytes * 4 / 3
)

// Info describes a call in flight. It is not changed during the call.
type Info struct {
	CallID     string // identifies the caller's request in the whole call tree
	RequestID  string // assigned by the caller, may be empty
	Workspace  string
	Importance config.Importance
	Deadline   time.Time // zero means none
	Depth      int       // 0 for the caller's own request
}

// Call is a call in flight on the destination node. Onward calls of the backend server
// inherit its Info, its budget and its context. It is safe for concurrent use.
type Call struct {
	Info
	Budget *Budget // attempts left for onward calls

	token              string
	ctx                context.Context
	cancel             context.CancelFunc
	retried            atomic.Bool
	overloadedServices serviceSet
	registry           *Registry
}

// Token returns the opaque token that the backend server sends with onward calls.
func (c *Call) Token() string { return c.token }

// Context returns a context that is cancelled when the call ends, and with it the call's
// onward calls.
func (c *Call) Context() context.Context { return c.ctx }

// MarkRetried records that the retries of a failed onward call are already decided on,
// so that the node that sent this call does not retry it because of that failure.
func (c *Call) MarkRetried() { c.retried.Store(true) }

// Retried reports whether MarkRetried was called.
func (c *Call) Retried() bool { return c.retried.Load() }

// MarkOverloaded records that an onward call to the service was refused for overload,
// by the service itself or by one that it calls in turn.
func (c *Call) MarkOverloaded(service string) { c.overloadedServices.add(service) }

// Overloaded reports whether MarkOverloaded was called for the service, or for any
// service if it is "".
func (c *Call) Overloaded(service string) bool { return c.overloadedServices.has(service) }

// serviceSet is a set of service names. It is safe for concurrent use.
type serviceSet struct {
	mu       sync.Mutex
	services []string
}

func (o *serviceSet) add(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Contains(o.services, service) {
		o.services = append(o.services, service)
	}
}

func (o *serviceSet) has(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return service == "" && len(o.services) > 0 || slices.Contains(o.services, service)
}

// End removes the call from the registry, cancels its onward calls and returns the
// unused attempts. Later calls return 0.
func (c *Call) End() int {
	c.registry.remove(c.token)
	c.cancel()
	return c.Budget.Close()
}

type shard struct {
	mu    sync.Mutex
	calls map[string]*Call
}

// Registry holds the calls in flight by their tokens. It is safe for concurrent use.
type Registry struct{ shards [shardCount]shard }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.shards {
		r.shards[i].calls = map[string]*Call{}
	}
	return r
}

// Begin adds a call with a budget of n attempts for its onward calls. The context of the
// call is derived from ctx and ends at info.Deadline unless that is zero. The caller
// must call End.
func (r *Registry) Begin(ctx context.Context, info Info, n int) *Call {
	c := &Call{Info: info, Budget: NewBudget(n), token: newToken(), registry: r}
	if info.Deadline.IsZero() {
		c.ctx, c.cancel = context.WithCancel(ctx)
	} else {
		c.ctx, c.cancel = context.WithDeadline(ctx, info.Deadline)
	}
	s := r.shardOf(c.token)
	s.mu.Lock()
	s.calls[c.token] = c
	s.mu.Unlock()
	return c
}

// Lookup returns the call in flight with the given token, and whether there is one.
func (r *Registry) Lookup(token string) (*Call, bool) {
	if len(token) != tokenLength {
		return nil, false
	}
	s := r.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[token]
	return c, ok
}

// Len returns the number of calls in flight.
func (r *Registry) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}

func (r *Registry) remove(token string) {
	s := r.shardOf(token)
	s.mu.Lock()
	delete(s.calls, token)
	s.mu.Unlock()
}

// shardOf returns the shard of a token. It hashes the first two characters, which are
// random in tokens that this registry has issued.
func (r *Registry) shardOf(token string) *shard {
	return &r.shards[(uint(token[0])*31+uint(token[1]))%shardCount]
}

func newToken() string {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the process instead
	return base64.RawURLEncoding.EncodeToString(b[:])
}
