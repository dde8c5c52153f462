package node

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// blockedStore is a Directory with a BackendStore that keeps what is remembered. Recall waits
// until release is closed.
type blockedStore struct {
	nodeDirectory
	release chan struct{}
	mu      sync.Mutex
	kept    edge.Departures
}

func (s *blockedStore) Recall(ctx context.Context) (edge.Departures, error) {
	select {
	case <-s.release:
	case <-ctx.Done():
		return edge.Departures{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept, nil
}

func (s *blockedStore) Remember(d edge.Departures) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = d
}

func (s *blockedStore) Flush(context.Context) error { return nil }

// process is a process of a node whose listeners are not served.
type process struct {
	*Node
	store *blockedStore
}

// startProcess starts a process. What kept holds was stored by an earlier one.
func startProcess(t *testing.T, kept edge.Departures) *process {
	f := newFleet(t, "shop")
	p := &process{store: &blockedStore{nodeDirectory: nodeDirectory{f.directory, "shop-1"}, release: make(chan struct{}), kept: kept}}
	f.configure = func(cfg *Config) { cfg.Directory = p.store }
	p.Node = f.newNode("shop-1").node
	return p
}

// recallNow lets the process learn what an earlier one has stored.
func (p *process) recallNow() {
	close(p.store.release)
	p.recall(context.Background())
}

func announcement(started int64, sequence uint64, state string) edge.Announcement {
	return edge.Announcement{
		Service: "shop", Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: state, Instance: "i1", Started: started, Sequence: sequence,
	}
}

// hold announces with a context that has ended, so that the announcement is held back.
func (p *process) hold(t *testing.T, a edge.Announcement) {
	t.Helper()
	assert.Assert(t, edge.ErrNotStored.Has(p.Announce(canceledContext(), a)))
}

// requireUnused fails the test if the process uses a backend server.
func (p *process) requireUnused(t *testing.T) {
	t.Helper()
	b, refused := p.backend.usable("shop", p.now())
	assert.Assert(t, b == nil, "in use")
	assert.Assert(t, refused.Reason == refusal.NoBackendServer || refused.Reason == refusal.Draining)
}

// waitingContext closes waiting when a call waits for its end.
type waitingContext struct {
	context.Context
	waiting chan struct{}
	once    sync.Once
}

func newWaitingContext() *waitingContext {
	return &waitingContext{Context: context.Background(), waiting: make(chan struct{})}
}

func (c *waitingContext) Done() <-chan struct{} {
	c.once.Do(func() { close(c.waiting) })
	return c.Context.Done()
}

// Guards against a backend server that leaves while the node does not know yet what an
// earlier process has stored, and that is used again after the acknowledgement because one
// of its announcements was held back until then.
func TestLeavingOutlastsHeldAnnouncement(t *testing.T) {
	for name, leave := range map[string]func(context.Context, *process) error{
		"withdrawn, no start": func(ctx context.Context, p *process) error { return p.Withdraw(ctx, "i1", 0) },
		"withdrawn":           func(ctx context.Context, p *process) error { return p.Withdraw(ctx, "i1", 7) },
		"draining":            func(ctx context.Context, p *process) error { return p.Announce(ctx, announcement(7, 4, "draining")) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, edge.Departures{})
			p.hold(t, announcement(7, 3, "serving"))
			ctx, left := newWaitingContext(), make(chan error, 1)
			go func() { left <- leave(ctx, p) }()
			<-ctx.waiting
			p.recallNow()
			assert.NilError(t, <-left)
			p.requireUnused(t)
			assert.NilError(t, p.Announce(context.Background(), announcement(8, 1, "serving")))
			_, refused := p.backend.usable("shop", p.now())
			assert.Assert(t, refused == nil, "a new start is not used: %v", refused)
		})
	}
}

// Guards against an announcement that was held back and undoes a later one, which was
// waiting when both were let through and is not ordered against it by a sequence.
func TestHeldAnnouncementComesFirst(t *testing.T) {
	p := startProcess(t, edge.Departures{})
	p.hold(t, announcement(0, 0, "serving"))
	applied := false
	p.recalled.open(func(held *heldAnnouncement) {
		applied = true
		assert.Equal(t, held.Announcement, announcement(0, 0, "serving"))
		assert.Assert(t, !p.recalled.isOpen(), "later announcements pass already")
	})
	assert.Assert(t, applied)
	assert.Assert(t, p.recalled.isOpen())
}
