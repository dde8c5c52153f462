package quota

import (
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/lease"
)

// Intervals of reports.
const (
	ReportInterval    = 500 * time.Millisecond // between two regular reports
	MinReportInterval = 50 * time.Millisecond  // least time between two reports of a node that has no tokens
)

// Borrower reports a node's shares and demand to the holder of its data centre
// and adds what the holder lends to the node's Bucket. It is not safe for
// concurrent use.
type Borrower struct {
	client  lenderClient
	bucket  *Bucket
	elector *lease.Elector
}

// NewBorrower returns the borrower of one node. The holder keeps its role only
// while members echo its answers, and the echoes travel in these reports, so
// the borrower reports even if nothing is held or wanted.
func NewBorrower(node, dataCentre string, incarnation uint64, t Transport, b *Bucket, elector *lease.Elector) *Borrower {
	return &Borrower{bucket: b, elector: elector, client: lenderClient{clock: b.clock, transport: t, kind: KindReport, shares: b,
		dataCentre: dataCentre, node: node, session: incarnation, incarnation: incarnation}}
}

// Step sends one report. The error says why nothing is lent, for example
// lease.ErrNotHolder. Callers may ignore it: the next report states the whole
// state again.
func (b *Borrower) Step(ctx context.Context) error {
	st := b.elector.Status()
	if st.Node == "" {
		b.bucket.reportFailed(b.bucket.clock.Now())
		return lease.ErrNotHolder.New("data centre %s has no known holder", b.client.dataCentre)
	}
	g, err := b.client.exchange(ctx, st.Node, b.elector.MayEcho)
	if err != nil {
		return err
	}
	b.elector.ObserveEpoch(g.Epoch, g.Holder)
	if !g.IsHolder {
		return lease.ErrNotHolder.New("node %s answered that it is not the holder", st.Node)
	}
	b.elector.ObserveHolder(g.Epoch)
	return nil
}

// Run reports every ReportInterval, and sooner when the bucket requests a
// report, until ctx ends.
func (b *Borrower) Run(ctx context.Context) { reportLoop(ctx, b.Step, b.bucket.reportNow) }

// reportLoop calls step every ReportInterval, and on a signal on reportNow as
// soon as MinReportInterval has passed since the previous step, until ctx ends. It
// ignores errors of step, because the next report states the whole state again.
func reportLoop(ctx context.Context, step func(context.Context) error, reportNow <-chan struct{}) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = step(ctx)
		pause.For(ctx, MinReportInterval)
		select {
		case <-tick.C:
		case <-reportNow:
		case <-ctx.Done():
		}
	}
}

// ReturnShares returns every share to the holder, except the burst that pending
// charges occupy until the lease ends. If the error is not nil, the shares were
// not returned; the holder takes them back after their lease.
func (b *Borrower) ReturnShares(ctx context.Context) error {
	b.bucket.releaseShares()
	return b.Step(ctx)
}
