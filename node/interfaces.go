// Package node implements the process that runs on the host of a backend server and
// forwards requests between callers and backend servers.
//
// The node that receives a caller's request is its entry node: it maps the key to a
// workspace, charges the quota, picks an endpoint and retries. The node of the
// endpoint is the destination node: it admits the request and delivers it to the
// backend server on its host. A request sent from one node to another is a hop. A
// request that a backend server makes while it handles another one is an onward call;
// it enters through the local listener of its host.
package node

import (
	"context"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/ledger"
)

// Configuration provides the configuration in force. Implementations are safe for
// concurrent use.
type Configuration interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *config.Snapshot
}

// VersionObserver may be implemented by a Configuration that follows the versions in
// force at other nodes.
type VersionObserver interface {
	// ObserveVersion reports that the node with the given peers address has a version
	// in force. It does not block.
	ObserveVersion(version uint64, address string)
	// CheckForUpdate reports that a request names a key or a route that is not in
	// force, but may be in a newer version. It does not block.
	CheckForUpdate()
}

// PeerObserver may be implemented by a Directory that follows which other nodes are
// alive.
type PeerObserver interface {
	// ObservePeer reports that the node with the given peers address is alive. It does
	// not block.
	ObservePeer(address string)
}

// KeyLookup maps a caller's key to its workspace. The error is a *refusal.Refusal.
// Implementations must be safe for concurrent use.
type KeyLookup interface {
	Lookup(key string) (workspace string, err error)
}

// Directory knows the endpoints that this node may route to. Implementations must be
// safe for concurrent use.
type Directory interface {
	// Endpoints returns the endpoints of a service that are not known to be
	// dead. The result must not be changed.
	Endpoints(service string) []balancer.Endpoint
	// Watch registers f to be called, without locks held, after each change of the
	// endpoints of a service. Calls of f may be concurrent.
	Watch(f func(service string))
	// Announce publishes the state of the backend server on this host; a nil
	// endpoint withdraws it.
	Announce(e *balancer.Endpoint)
}

// BackendStore may be implemented by a Directory whose rows outlast the process. A node
// with one acknowledges that its backend server leaves only once that is stored, and
// applies no announcement before it knows what an earlier process has stored or
// Config.RecallTimeout has passed.
type BackendStore interface {
	// Recall returns what earlier processes of this node have stored. It waits until that
	// is known. It returns an error only if ctx ends, with what is known by then, which
	// may be old.
	Recall(ctx context.Context) (edge.Departures, error)
	// Remember makes the next write store d, beside what earlier processes have stored. It
	// does not block.
	Remember(d edge.Departures)
	// Flush waits until the endpoint announced last and what was remembered are stored.
	// It returns an error only if ctx ends.
	Flush(ctx context.Context) error
}

// Ledger makes requests with a request ID run at most once. *ledger.Ledger
// implements it. Implementations must be safe for concurrent use.
type Ledger interface {
	// Begin returns an entry if the request may run, or the recorded answer of an
	// earlier request with the same ID. The error is a *refusal.Refusal.
	Begin(ctx context.Context, r ledger.Request) (*ledger.Entry, *ledger.Answer, error)
}
