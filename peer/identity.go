package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of control messages. Every error of Mesh.Call and Mesh.Send
// belongs to one of them or to ErrMalformed.
var (
	// ErrUnreachable means that no connection to the node could be used, or
	// that it broke before an answer arrived. The message may have arrived.
	ErrUnreachable = errs.Class("peer: unreachable")
	// ErrBusy means that a bounded queue here or, if the error is of class
	// ErrRemote as well, at the peer was full. The message was not processed.
	ErrBusy = errs.Class("peer: busy")
	// ErrRemote is an error that the peer's handler returned.
	ErrRemote = errs.Class("peer: remote")
	// ErrTooLarge means that an encoded message exceeds MaxMessageBytes.
	ErrTooLarge = errs.Class("peer: message too large")
	// ErrIdentity means that the address belongs to another node, or that the
	// peer knows a newer incarnation of this node.
	ErrIdentity = errs.Class("peer: identity")
)

// Identity names one process that takes part in the control plane.
type Identity struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // start time of the process, nanoseconds
	DataCentre  string `cbor:"3,keyasint"`
}

// TokenEqual compares a cluster token with the secret in constant time.
func TokenEqual(token, secret string) bool {
	a, b := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(secret))
	return secret != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

const (
	// A process whose clock was set back before its restart has a lower
	// incarnation than its predecessor. It is refused until the predecessor
	// has been silent for this long.
	incarnationTTL = 60 * time.Second
	// Bounds the memory for incarnations of nodes that no longer exist.
	maxIncarnations = 8192
)

type incarnationEntry struct {
	incarnation uint64
	seen        time.Time
}

// incarnations remembers the highest incarnation seen of each node.
type incarnations struct {
	mu      sync.Mutex
	entries map[string]incarnationEntry
}

// observe notes that id sent something and reports whether id is the newest
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

func (s *incarnations) evict(now time.Time) {
	for node, e := range s.entries {
		if now.Sub(e.seen) >= incarnationTTL {
			delete(s.entries, node)
		}
	}
	for node := range s.entries {
		if len(s.entries) <= maxIncarnations*3/4 { // not again for every new node
			return
		}
		delete(s.entries, node)
	}
}
