package node

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
)

// recallGate holds announcements back until the node knows what an earlier process has
// stored about its backend server. It is safe for concurrent use.
type recallGate struct {
	done chan struct{} // closed once that is known

	mu      sync.Mutex
	pending *heldAnnouncement // newest one that was held back, or nil
}

type heldAnnouncement struct {
	edge.Announcement
	at time.Time // of its arrival
}

func (h *heldAnnouncement) drains() bool { return edge.States[h.State] == balancer.Draining }

// wait returns an error if ctx ends before announcements may be applied. a, which arrived at
// the time now, is then kept for open.
func (g *recallGate) wait(ctx context.Context, a *edge.Announcement, now time.Time) error {
	err := g.waitOpen(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || g.isOpen() {
		return nil
	}
	if p := g.pending; p == nil || a.Started > p.Started || a.Started == p.Started && a.Sequence > p.Sequence {
		g.pending = &heldAnnouncement{*a, now}
	}
	return err
}

// waitOpen returns an error if ctx ends before the gate opens.
func (g *recallGate) waitOpen(ctx context.Context) error {
	select {
	case <-g.done:
		return nil
	case <-ctx.Done():
		return edge.ErrNotStored.New("it is not known yet what an earlier process has stored")
	}
}

func (g *recallGate) isOpen() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// open calls apply for the newest announcement that was held back, if any, and lets others
// pass only then: each call that waited comes after it. It has no effect the second time.
func (g *recallGate) open(apply func(*heldAnnouncement)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen() {
		return
	}
	if g.pending != nil {
		apply(g.pending)
	}
	close(g.done)
}

// recall learns what an earlier process of this node has stored about its backend server,
// and then applies the newest announcement that arrived meanwhile. After RecallTimeout new
// announcements pass without that. It returns when it is known, or ctx ends.
func (n *Node) recall(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, n.cfg.RecallTimeout)
	stored, err := n.store.Recall(limited)
	cancel()
	if err != nil && ctx.Err() == nil {
		n.log.event("recall_timed_out", "error", err.Error())
		n.applyRecalled(stored)
		n.recalled.open(n.applyHeldDrain)
		stored, err = n.store.Recall(ctx)
	}
	if err != nil {
		return // the node stops
	}
	n.applyRecalled(stored)
	n.recalled.open(n.applyHeld)
}

// applyRecalled adds departures that an earlier process has stored. The backend server is
// removed if it is one of them.
func (n *Node) applyRecalled(stored edge.Departures) {
	removed := n.backend.recall(stored, n.now())
	n.remember()
	if removed {
		n.publish()
	}
	n.log.event("backend_recalled", append(departureFields(n.backend.departures()),
		"stored_started", stored.Newest.Started, "removed", removed)...)
}

// applyHeld applies an announcement that was held back. One that says that the backend server
// drains does not expire.
func (n *Node) applyHeld(held *heldAnnouncement) {
	if !held.drains() && n.now().Sub(held.at) >= n.cfg.AnnouncementLifetime {
		return
	}
	if err := n.applyAnnouncement(&held.Announcement); err != nil {
		n.log.event("backend_not_acknowledged", "instance", held.Instance, "error", err.Error())
	}
}

// applyHeldDrain applies an announcement that was held back if it says that the backend
// server drains. Another one may be from before a departure that is not known.
func (n *Node) applyHeldDrain(held *heldAnnouncement) {
	if held.drains() {
		n.applyHeld(held)
	}
}

// Announce applies an announcement of the backend server on this host. If it is not
// valid, it returns a *refusal.Refusal. An error of class edge.ErrNotStored means that
// ctx ended before the announcement could be applied, or stored if it says that the
// backend server leaves; the server has to repeat it. It is safe for concurrent use.
func (n *Node) Announce(ctx context.Context, a edge.Announcement) error {
	if refused := a.Validate(); refused != nil {
		return refused
	}
	if err := n.recalled.wait(ctx, &a, n.now()); err != nil {
		n.log.sampled("announcement_held", "instance", a.Instance, "started", a.Started, "sequence", a.Sequence, "state", a.State)
		return err
	}
	if err := n.applyAnnouncement(&a); err != nil {
		return err
	}
	if edge.States[a.State] != balancer.Draining {
		return nil
	}
	n.remember()
	n.publish()
	return n.flush(ctx)
}

// applyAnnouncement returns an error of class edge.ErrNotStored if a has no effect because a
// departure cannot be recorded.
func (n *Node) applyAnnouncement(a *edge.Announcement) error {
	changed, outdated, err := n.backend.applyAnnouncement(*a, n.cfg.Admission, n.now())
	if outdated {
		n.log.sampled("announcement_ignored", append([]any{"instance", a.Instance, "started", a.Started, "sequence", a.Sequence,
			"state", a.State}, departureFields(n.backend.departures())...)...)
	}
	if !changed {
		return err
	}
	n.log.event("backend_announced", "service", a.Service, "address", a.Address, "state", a.State, "slots", a.Slots,
		"connections", a.Connections, "instance", a.Instance, "started", a.Started, "sequence", a.Sequence)
	n.remember()
	n.publish()
	return nil
}

// Withdraw removes the backend server on this host if it has the given instance ID
// and, unless started is 0, the given start time (Unix milliseconds). An error of class
// edge.ErrNotStored means that ctx ended before that was stored; the withdrawal is in
// force in this process, but has to be repeated. It is safe for concurrent use.
func (n *Node) Withdraw(ctx context.Context, instance string, started int64) error {
	removed, err := n.backend.withdraw(instance, started, n.now())
	n.log.sampled("backend_withdrawn", append([]any{"instance", instance, "started", started, "removed", removed},
		departureFields(n.backend.departures())...)...)
	if err != nil {
		return err
	}
	if err := n.recalled.waitOpen(ctx); err != nil {
		return err
	}
	n.remember()
	n.publish()
	return n.flush(ctx)
}

// departureFields returns the fields of a log line that say which starts have left.
func departureFields(d edge.Departures) []any {
	fields := []any{"departed_instance", d.Newest.Instance, "departed_started", d.Newest.Started,
		"departed_sequence", d.Newest.Sequence, "departed_withdrawn", d.Newest.Withdrawn, "departed_others", len(d.Others)}
	if len(d.Others) > 0 {
		last := d.Others[len(d.Others)-1]
		fields = append(fields, "other_instance", last.Instance, "other_received", last.Received)
	}
	return fields
}

// remember hands what must outlast this process to the store. Calls are serialised, so that
// no older state replaces a newer one.
func (n *Node) remember() {
	if n.store == nil {
		return
	}
	n.rememberMu.Lock()
	defer n.rememberMu.Unlock()
	n.store.Remember(n.backend.departures())
}

// flush waits until what the node has remembered and published is stored.
func (n *Node) flush(ctx context.Context) error {
	if n.store == nil {
		return nil
	}
	return edge.ErrNotStored.Wrap(n.store.Flush(ctx))
}
