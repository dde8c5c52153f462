package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/partition"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// maxChargeHold is how long the charge of an unanswered request can still be returned.
// After that time the request has left the destination's admission queue, so it has
// either been refused or has reached the backend server. Without the limit, long
// uploads would use up the burst.
const maxChargeHold = 500 * time.Millisecond

// Quota charges requests to workspaces. QuotaFromBucket and QuotaFromPartition return
// implementations, which are safe for concurrent use.
type Quota interface {
	// Charge charges one request. The error is a *refusal.Refusal.
	Charge(ctx context.Context, workspace string) (Charge, error)
}

// Charge is the charge of one request. Exactly one of its methods must be called,
// once.
type Charge interface {
	Sent()   // the request was, or may have been, sent to a backend server
	Return() // the request certainly did not run
}

type bucketQuota struct{ *quota.Bucket }

func (q bucketQuota) Charge(ctx context.Context, workspace string) (Charge, error) {
	c, err := q.Bucket.Charge(ctx, workspace)
	if err != nil {
		return nil, err
	}
	return c, nil
}

type partitionQuota struct{ *partition.Quota }

func (q partitionQuota) Charge(ctx context.Context, workspace string) (Charge, error) {
	c, err := q.Quota.Charge(ctx, workspace)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// QuotaFromPartition returns the Quota that charges this node's part of each
// workspace's rate and burst.
func QuotaFromPartition(p *partition.Quota) Quota { return partitionQuota{p} }

// QuotaFromBucket returns the Quota that charges the shares held by a bucket.
func QuotaFromBucket(b *quota.Bucket) Quota { return bucketQuota{b} }

// heldCharge ends a Charge exactly once, as sent if neither sent nor refused is called
// within maxChargeHold. Both accept a nil receiver.
type heldCharge struct {
	charge Charge
	ended  atomic.Bool
	timer  *time.Timer
}

func newHeldCharge(c Charge) *heldCharge {
	h := &heldCharge{charge: c}
	h.timer = time.AfterFunc(maxChargeHold, h.expire)
	return h
}

func (h *heldCharge) expire() {
	if h.ended.CompareAndSwap(false, true) {
		h.charge.Sent()
	}
}

func (h *heldCharge) sent() {
	if h != nil && h.ended.CompareAndSwap(false, true) {
		h.timer.Stop()
		h.charge.Sent()
	}
}

// refused ends the charge of a request that was refused with r.
func (h *heldCharge) refused(r *refusal.Refusal) {
	switch {
	case h == nil:
	case r.Ran != refusal.RanNo:
		h.sent()
	case h.ended.CompareAndSwap(false, true):
		h.timer.Stop()
		h.charge.Return()
	}
}
