// Package node wires the parts of dotterelseam into the listeners of one
// process on a backend server host.
package node

import (
	"context"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/ledger"
)

// Configuration provides the snapshot in force. Implementations are safe for
// concurrent use.
type Configuration interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *config.Snapshot
}

// VersionObserver is a Configuration that wants to know which versions other
// nodes have in force.
type VersionObserver interface {
	// ObserveVersion tells that the node at a peers address has a version in force. It does
	// not block.
	ObserveVersion(version uint64, address string)
	// CheckForUpdate tells that a request names a key or a route that is not in force, which
	// a newer version may hold. It does not block.
	CheckForUpdate()
}

// PeerObserver is a Directory that wants to know which other nodes live.
type PeerObserver interface {
	// ObservePeer tells that the node at a peers address lives. It does not block.
	ObservePeer(address string)
}

// KeyLookup maps a caller's key to its workspace. The error is a *refusal.Refusal.
type KeyLookup interface {
	Lookup(key string) (workspace string, err error)
}

// Directory knows the endpoints that this node may route to.
type Directory interface {
	// Endpoints returns the endpoints of a service that are not known to be
	// dead. The result must not be changed.
	Endpoints(service string) []balancer.Endpoint
	// Watch calls f after each change of the endpoints of a service.
	Watch(f func(service string))
	// Announce publishes the state of the backend server on this host; a nil
	// endpoint withdraws it.
	Announce(e *balancer.Endpoint)
}

// Ledger makes requests with a request ID run at most once. *ledger.Ledger
// implements it.
type Ledger interface {
	Begin(ctx context.Context, r ledger.Request) (*ledger.Entry, *ledger.Answer, error)
}
