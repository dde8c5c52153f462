package quota

import (
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/lease"
)

// Pace of reports.
const (
	ReportInterval = 500 * time.Millisecond // between two regular reports
	MinInterval    = 50 * time.Millisecond  // between any two reports, when the node runs dry
)

// Borrower reports a node's shares and demand to the holder of its data centre
// and puts what the holder lends into the Bucket.
type Borrower struct {
	client  lenderClient
	bucket  *Bucket
	elector *lease.Elector
}

// NewBorrower returns the borrower of one node. Its reports also carry the
// contact between holder and members that keeps the holder in office, so it
// reports even if nothing is held or wanted.
func NewBorrower(node, dataCentre string, incarnation uint64, t Transport, b *Bucket, k *lease.Elector) *Borrower {
	return &Borrower{bucket: b, elector: k, client: lenderClient{clock: b.clock, transport: t, kind: KindReport, shares: b,
		dataCentre: dataCentre, node: node, session: incarnation, incarnation: incarnation}}
}

// Step makes one report. The error tells why nothing is lent; it needs no
// handling, because the next report starts anew.
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
		return lease.ErrNotHolder.New("node %s", st.Node)
	}
	b.elector.ObserveHolder(g.Epoch)
	return nil
}

// Run reports every ReportInterval, and at once when the bucket runs dry, until
// ctx ends.
func (b *Borrower) Run(ctx context.Context) { reportLoop(ctx, b.Step, b.bucket.reportNow) }

// reportLoop calls step every ReportInterval, and after a kick at once but
// MinInterval after the step before, until ctx ends. Errors need no handling,
// because the next report starts anew.
func reportLoop(ctx context.Context, step func(context.Context) error, reportNow <-chan struct{}) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = step(ctx)
		pause.For(ctx, MinInterval)
		select {
		case <-tick.C:
		case <-reportNow:
		case <-ctx.Done():
		}
	}
}

// GiveBack returns every share to the holder; charges under way keep their
// place until the lease ends. The error tells that the holder was not reached:
// then the shares come back to it after the lease.
func (b *Borrower) ReturnShares(ctx context.Context) error {
	b.bucket.releaseShares()
	return b.Step(ctx)
}
