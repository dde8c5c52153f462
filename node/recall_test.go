package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// blockedStore is a Directory with a BackendStore that keeps what is remembered. Recall waits
// until release is closed.
type blockedStore struct {
	nodeDirectory
	release chan struct{}
	stored  edge.Departures // by an earlier process
	mu      sync.Mutex
	kept    edge.Departures // remembered last
	flushed bool            // with an endpoint: without one a Directory has no row to write
}

func (s *blockedStore) Recall(ctx context.Context) (edge.Departures, error) {
	select {
	case <-s.release:
		return s.stored, nil
	case <-ctx.Done():
		return edge.Departures{}, ctx.Err()
	}
}

func (s *blockedStore) Remember(d edge.Departures) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = d
}

func (s *blockedStore) remembered() edge.Departures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept
}

func (s *blockedStore) Flush(context.Context) error {
	s.flushed = len(s.Endpoints("shop")) > 0
	return nil
}

// process is a process of a node whose listeners are not served.
type process struct {
	*Node
	store *blockedStore
}

// startProcess starts a process. An earlier one has stored departures.
func startProcess(t *testing.T, stored edge.Departures) *process {
	f := newFleet(t, "shop")
	p := &process{store: &blockedStore{nodeDirectory: nodeDirectory{f.directory, "shop-1"}, release: make(chan struct{}), stored: stored}}
	f.configure = func(cfg *Config) { cfg.Directory, cfg.RecallTimeout = p.store, time.Millisecond }
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
			next := announcement(time.Now().UnixMilli()+1, 1, "serving")
			assert.NilError(t, p.Announce(context.Background(), next))
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

// Guards against a node beside a living backend server that does not use it for as long as
// the store is away, against one that then uses what was held back, which may be from before
// a departure, and against a server that stays in use although an earlier process has stored
// that it left.
func TestRecallTimesOut(t *testing.T) {
	for name, stored := range map[string]edge.Departures{
		"lives":          {},
		"left":           {Newest: edge.Departure{Instance: "i1", Started: 7, Withdrawn: true}},
		"left, no start": {Others: []edge.Departure{{Instance: "i1", Withdrawn: true, Received: time.Now().UnixMilli()}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, stored)
			p.hold(t, announcement(7, 3, "serving"))
			recalled := make(chan struct{})
			go func() { defer close(recalled); p.recall(context.Background()) }()
			waitFor(t, p.recalled.isOpen)
			p.requireUnused(t)
			assert.NilError(t, p.Announce(context.Background(), announcement(7, 4, "serving")))
			_, refused := p.backend.usable("shop", p.now())
			assert.Assert(t, refused == nil, "a living server is not used: %v", refused)

			close(p.store.release)
			<-recalled
			b, _ := p.backend.usable("shop", p.now())
			assert.Equal(t, b != nil, stored.IsZero())
			assert.Assert(t, p.store.remembered().Equal(stored))
			assert.NilError(t, p.Announce(context.Background(), announcement(time.Now().UnixMilli()+1, 1, "serving")))
			_, refused = p.backend.usable("shop", p.now())
			assert.Assert(t, refused == nil, "a new start is not used: %v", refused)
		})
	}
}

// Guards against a draining server that is in use after a late announcement, because the one
// that said so was held back, for longer than announcements are valid or until the recall
// timed out.
func TestHeldDrainDoesNotExpire(t *testing.T) {
	for name, apply := range map[string]func(*process){
		"recalled":  func(p *process) { p.recalled.open(p.applyHeld) },
		"timed out": func(p *process) { p.recalled.open(p.applyHeldDrain) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, edge.Departures{})
			p.hold(t, announcement(7, 4, "draining"))
			p.cfg.AnnouncementLifetime = 0
			apply(p)
			p.cfg.AnnouncementLifetime = DefaultAnnouncementLifetime
			assert.NilError(t, p.Announce(context.Background(), announcement(7, 3, "serving")))
			p.requireUnused(t)
		})
	}
}

// Guards against an acknowledgement that a server drains before there is a row in which that
// could be stored, because the announcement itself is older than a departure.
func TestOutdatedDrainIsStored(t *testing.T) {
	p := startProcess(t, edge.Departures{Newest: edge.Departure{Instance: "i1", Started: 7, Withdrawn: true}})
	p.cfg.Service = "shop"
	p.recallNow()
	assert.NilError(t, p.Announce(context.Background(), announcement(7, 9, "draining")))
	assert.Assert(t, p.store.flushed)
}
