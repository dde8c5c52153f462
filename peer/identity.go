package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of control messages. Every error of Mesh.Call, Mesh.CallAddress
// and Mesh.Send is of one of these classes or of ErrMalformed.
var (
	// ErrUnreachable means that there was no usable connection to the node, or
	// that no reply arrived before the connection broke or the context ended. The
	// peer may have processed the message.
	ErrUnreachable = errs.Class("peer: unreachable")
	// ErrBusy means that a limit on queued messages, concurrent requests or
	// connections was reached, on the peer if the error is also of class
	// ErrRemote, else on this node. The message was not processed.
	ErrBusy = errs.Class("peer: busy")
	// ErrRemote means that the peer replied with an error.
	ErrRemote = errs.Class("peer: remote")
	// ErrTooLarge means that an encoded message exceeds MaxMessageBytes.
	ErrTooLarge = errs.Class("peer: message too large")
	// ErrIdentity means that the address belongs to this node itself or to another
	// node than expected, or that a newer incarnation of the peer is known.
	ErrIdentity = errs.Class("peer: identity")
)

// Identity identifies one process that takes part in the control plane.
type Identity struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // start time of the process, nanoseconds
	DataCentre  string `cbor:"3,keyasint"`
}

// TokenEqual reports whether a cluster token equals the secret. It compares in
// constant time. It returns false if secret is empty.
func TokenEqual(token, secret string) bool {
	a, b := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(secret))
	return secret != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

const (
	// A process whose clock was set back before its restart has a lower
	// incarnation than its predecessor. It is refused until nothing has been
	// received from the predecessor for this long.
	incarnationTTL = 60 * time.Second
	// Bounds the memory for incarnations, including those of nodes that no longer
	// exist.
	maxIncarnations = 8192
)

type incarnationEntry struct {
	incarnation uint64
	seen        time.Time
}

// incarnations records the highest recent incarnation of each node. It is safe
// for concurrent use.
type incarnations struct {
	mu      sync.Mutex
	entries map[string]incarnationEntry
}

// observe records that id sent something and reports whether id is the newest
// known incarnation of its node.
func (s *incarnations) observe(id Identity, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id.Node]
	if known && id.Incarnation < e.incarnation && now.Sub(e.seen) < incarnationTTL {
		return false
	}
	if !known && len(s.entries) >= maxIncarnations {
		s.evict(now)
	}
	s.entries[id.Node] = incarnationEntry{id.Incarnation, now}
	return true
}

// evict removes expired entries and, if that is not enough, arbitrary ones until
// a quarter of the entries is free. The caller holds s.mu.
func (s *incarnations) evict(now time.Time) {
	for node, e := range s.entries {
		if now.Sub(e.seen) >= incarnationTTL {
			delete(s.entries, node)
		}
	}
	for node := range s.entries {
		if len(s.entries) <= maxIncarnations*3/4 { // so that not every new node causes an eviction
			return
		}
		delete(s.entries, node)
	}
}
