package quota

import (
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

// callTimeout limits one call. It is shorter than ReportInterval, so a lost
// answer does not delay the next report.
const callTimeout = 400 * time.Millisecond

// lenderClient borrows from one lender for one shareStore. It has at most one
// report in flight, and only the answer to that one can add shares. It is not
// safe for concurrent use.
type lenderClient struct {
	clock     lease.Clock
	transport Transport
	kind      string
	shares    shareStore

	dataCentre, node string
	session          uint64
	incarnation      uint64

	seq       uint64
	epoch     uint64        // lender's epoch that granted the held shares; 0 if none
	echo      time.Duration // Stamp of the last answer
	echoEpoch uint64        // Epoch of the last answer
	leaseEnd  time.Duration // of the last grant
}

// exchange sends one report to node and applies the answer. mayEcho decides
// whether the report echoes the previous answer; nil means never.
func (l *lenderClient) exchange(ctx context.Context, node string, mayEcho func(epoch uint64) bool) (*Grant, error) {
	sent := l.clock.Now()
	l.seq++
	r := &Report{DataCentre: l.dataCentre, Node: l.node, Session: l.session, Seq: l.seq, Epoch: l.epoch,
		Items: l.shares.reportItems(sent), Incarnation: l.incarnation}
	if mayEcho != nil && l.echoEpoch > 0 && mayEcho(l.echoEpoch) {
		r.EchoEpoch, r.Echo = l.echoEpoch, l.echo
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g Grant
	if err := l.transport.Call(ctx, node, l.kind, r, &g); err != nil {
		l.shares.reportFailed(l.clock.Now())
		return nil, err
	}
	if g.Seq != l.seq {
		l.shares.reportFailed(l.clock.Now())
		return nil, ErrStale.New("got the answer to report %d; the latest is report %d", g.Seq, l.seq)
	}
	if g.IsHolder {
		l.echo, l.echoEpoch = g.Stamp, g.Epoch
	}
	now := l.clock.Now()
	if g.Lease <= 0 || now >= sent+g.Lease {
		l.shares.reportFailed(now)
		return &g, nil
	}
	l.epoch, l.leaseEnd = g.Epoch, sent+g.Lease
	l.shares.applyGrant(now, sent, &g, r.Items)
	return &g, nil
}
