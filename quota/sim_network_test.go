package quota

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/store"
)

// simCall is a call in flight. The first answer to arrive sets done.
type simCall struct {
	done   bool
	answer []byte
	err    error
}

func (s *sim) isCut(a, b string) bool { return s.faults.cut[[2]string{a, b}] }

// latency returns a random delay of 1 to 4 ms, or up to 4 s more for a delayed
// message.
func (s *sim) latency() time.Duration {
	d := time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
	if s.rng.Float64() < s.faults.delayed {
		d += time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	}
	return d
}

func (s *sim) start(from *simNode, to, kind string, req any) *simCall {
	c := &simCall{}
	payload, err := cbor.Marshal(req)
	if err != nil {
		panic(err)
	}
	p, copies := s.running, 1
	if s.rng.Float64() < s.faults.duplicate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() >= s.faults.loss {
			s.at(s.latency(), func() { s.deliver(from, to, kind, payload, c, p) })
		}
	}
	return c
}

func (s *sim) deliver(from *simNode, to, kind string, payload []byte, c *simCall, p *proc) {
	n := s.node(to)
	if n == nil || !n.alive || s.isCut(from.id, to) {
		return
	}
	if s.now < n.paused {
		s.at(n.paused-s.now, func() { s.deliver(from, to, kind, payload, c, p) })
		return
	}
	answer, err := n.svc.Handlers()[kind](context.Background(), from.id, payload)
	if s.rng.Float64() < s.faults.loss {
		return
	}
	b, errM := cbor.Marshal(answer)
	s.at(s.latency(), func() {
		if !c.done && !s.isCut(to, from.id) {
			c.done, c.answer, c.err = true, b, errors.Join(err, errM)
			p.wake()
		}
	})
}

// Call implements Transport.
func (n *simNode) Call(_ context.Context, to, kind string, req, resp any) error {
	c := n.sim.start(n, to, kind, req)
	if kind == KindReport {
		n.calling = true
		defer func() { n.calling = false }()
	}
	n.sim.await(callTimeout, func() bool { return c.done })
	if !c.done {
		c.done = true
		return context.DeadlineExceeded
	}
	if c.err != nil {
		return c.err
	}
	return cbor.Unmarshal(c.answer, resp)
}

// await suspends the running coroutine until done returns true or limit passes.
func (s *sim) await(limit time.Duration, done func() bool) {
	p, end := s.running, s.now+limit
	for !done() && s.now < end {
		p.sleep(end - s.now)
	}
}

// Ask implements lease.MemberClient.
func (n *simNode) Ask(_ context.Context, nodes []string, q lease.Query) map[string]lease.Answer {
	calls := make([]*simCall, len(nodes))
	for i, id := range nodes {
		calls[i] = n.sim.start(n, id, KindQuery, q)
	}
	n.sim.await(time.Second, func() bool {
		return !slices.ContainsFunc(calls, func(c *simCall) bool { return !c.done })
	})
	out := map[string]lease.Answer{}
	for i, c := range calls {
		var a lease.Answer
		if c.done && c.err == nil && cbor.Unmarshal(c.answer, &a) == nil {
			out[nodes[i]] = a
		}
		c.done = true
	}
	return out
}

// Members implements lease.MemberClient.
func (n *simNode) Members() []string {
	var ids []string
	for _, m := range n.sim.nodes {
		wrong := n.sim.faults.wrongMembers && n.sim.rng.IntN(3) == 0
		if m.dc == n.dc && m.alive != wrong {
			ids = append(ids, m.id)
		}
	}
	return ids
}

func (s *sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// Get, Put and List implement lease.Table.
func (n *simNode) Get(_ context.Context, key string) (store.Row, error) {
	s := n.sim
	if err := s.platformDelay(n); err != nil {
		return store.Row{}, err
	}
	row, ok := s.rows[key]
	s.running.sleep(s.latency())
	if !ok {
		return row, store.ErrNotFound.New("%s", key)
	}
	return row, nil
}

// platformDelay delays a request to the platform and returns an error if the
// platform is down or cut off from n.
func (s *sim) platformDelay(n *simNode) error {
	s.running.sleep(s.latency())
	if s.faults.platformDown || s.isCut(n.id, "platform") {
		s.running.sleep(time.Duration(s.rng.Int64N(int64(time.Second))))
		return store.ErrUnavailable.New("down")
	}
	return nil
}

func (n *simNode) Put(_ context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	s := n.sim
	if err := s.platformDelay(n); err != nil {
		return 0, err
	}
	apply := func() bool {
		if s.rows[key].Version != ifVersion {
			return false
		}
		s.rows[key] = store.Row{Key: key, Version: ifVersion + 1, Value: slices.Clone(value)}
		return true
	}
	if s.rng.Float64() < s.faults.loseWriteAnswers {
		// The write takes effect now, or up to 5 s later, or never.
		switch s.rng.IntN(3) {
		case 0:
			apply()
		case 1:
			s.at(time.Duration(s.rng.Int64N(int64(5*time.Second))), func() { apply() })
		}
		s.running.sleep(time.Second)
		return 0, store.ErrUnknownOutcome.New("lost")
	}
	if !apply() {
		return 0, store.ErrConflict.New("%s", key)
	}
	s.running.sleep(s.latency())
	return ifVersion + 1, nil
}

func (n *simNode) List(_ context.Context, _ string, _ uint64) ([]store.Row, error) {
	if err := n.sim.platformDelay(n); err != nil {
		return nil, err
	}
	var rows []store.Row
	for _, r := range n.sim.rows {
		rows = append(rows, r)
	}
	return rows, nil
}
