package quota

import (
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

// callLimit bounds one report. It is shorter than the report interval, so a
// lost answer does not delay the next report.
const callTimeout = 400 * time.Millisecond

// link borrows from one lender for one account. It has at most one report
// under way, and only the answer to that one can add to the account.
type lenderClient struct {
	clock     lease.Clock
	transport Transport
	kind      string
	shares    shareStore

	dataCentre, node string
	session          uint64
	incarnation      uint64

	seq       uint64
	epoch     uint64        // lender's epoch that the account's shares come from
	echo      time.Duration // Stamp of the last answer
	echoEpoch uint64
	leaseEnd  time.Duration // of the last grant
}

// exchange sends one report to node and applies the answer. mayEcho decides
// whether the last answer is confirmed.
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
		return nil, ErrStale.New("answer to report %d after report %d", g.Seq, l.seq)
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
