package quota

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// newLentBucket returns a bucket that holds share s of one workspace for
// lease.NodeLease (2 s).
func newLentBucket(c lease.Clock, s Share) *Bucket {
	b := NewBucket(c)
	now := c.Now()
	g := &Grant{Epoch: 1, Lease: lease.NodeLease, Items: []GrantItem{{Workspace: "farm", Rate: s.Rate, Burst: s.Burst, Level: s.Level}}}
	b.applyGrant(now, now, g, nil)
	return b
}

func takeAll(b *Bucket) int {
	n := 0
	for b.TryTake("farm") {
		n++
	}
	return n
}

// Guards against spending a share after its lease, also when an answer that
// renews the lease arrives late.
func TestShareEndsWithLease(t *testing.T) {
	c := &fakeClock{time.Hour}
	b := newLentBucket(c, Share{Rate: 100, Burst: 10, Level: 10})
	c.now += lease.NodeLease - 1
	assert.Assert(t, b.TryTake("farm"))
	c.now++
	assert.Assert(t, !b.TryTake("farm"))
	b.renewLease("farm", c.now, c.now+lease.NodeLease) // the answer arrives after the lease
	assert.Equal(t, takeAll(b), 0)
}

// Guards against keeping shares that the lender has already taken back: it
// requests a resync, and the bucket must drop them.
func TestResyncDropsShares(t *testing.T) {
	c := &fakeClock{time.Hour}
	b := newLentBucket(c, Share{Rate: 100, Burst: 10, Level: 10})
	b.applyGrant(c.now, c.now, &Grant{Epoch: 2, Lease: lease.NodeLease, Resync: true,
		Items: []GrantItem{{Workspace: "farm", Burst: 3, Level: 3}}}, []Item{{Workspace: "farm"}})
	assert.Equal(t, takeAll(b), 3)
}

// Guards against pending charges that do not count in the limit, and against
// tokens that are returned twice or to another share.
func TestPendingChargeCountsInLimit(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name string
		end  func(c *fakeClock, b *Bucket, ch Charge)
		want int // tokens of a full bucket of 2 after the burst time has passed
	}{
		{"under way", func(*fakeClock, *Bucket, Charge) {}, 1},
		{"sent", func(_ *fakeClock, _ *Bucket, ch Charge) { ch.Sent() }, 2},
		{"returned", func(_ *fakeClock, _ *Bucket, ch Charge) { ch.Return() }, 2},
		{"returned twice", func(_ *fakeClock, _ *Bucket, ch Charge) { ch.Return(); ch.Return() }, 2},
		{"returned after the share ended", func(c *fakeClock, b *Bucket, ch Charge) {
			c.now += lease.NodeLease
			b.applyGrant(c.now, c.now, &Grant{Epoch: 1, Lease: lease.NodeLease, Items: []GrantItem{{Workspace: "farm", Burst: 2}}}, nil)
			ch.Return()
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &fakeClock{time.Hour}
			b := newLentBucket(c, Share{Rate: 4, Burst: 2, Level: 2})
			ch, err := b.Charge(ctx, "farm")
			assert.NilError(t, err)
			tc.end(c, b, ch)
			c.now += time.Second
			assert.Equal(t, takeAll(b), tc.want)
		})
	}
}

// Guards against a refusal without its reason and retry-after, and against
// waiting although no holder lends.
func TestRefusal(t *testing.T) {
	c := &fakeClock{time.Hour}
	b := newLentBucket(c, Share{Rate: 4, Burst: 2})
	b.reportFailed(c.now)
	var r *refusal.Refusal
	assert.Assert(t, errors.As(b.Take(context.Background(), "farm"), &r))
	assert.Equal(t, r.Reason, refusal.OverRate)
	assert.Equal(t, r.Ran, refusal.RanNo)
	assert.Equal(t, r.RetryAfter, 250*time.Millisecond)
}

// Guards against refusing a request although the next grant brings a token.
func TestTakeWaitsForReport(t *testing.T) {
	c := &fakeClock{time.Hour}
	b := newLentBucket(c, Share{Burst: 1})
	go func() {
		<-b.reportNow
		b.applyGrant(c.now, c.now, &Grant{Epoch: 1, Lease: lease.NodeLease, Items: []GrantItem{{Workspace: "farm", Burst: 1, Level: 1}}}, nil)
	}()
	assert.NilError(t, b.Take(context.Background(), "farm"))
}

// Guards against memory allocation for each request.
func TestTakeDoesNotAllocate(t *testing.T) {
	b := newLentBucket(&fakeClock{time.Hour}, Share{Burst: 1 << 20, Level: 1 << 20})
	ctx := context.Background()
	assert.Equal(t, testing.AllocsPerRun(1000, func() { _ = b.Take(ctx, "farm") }), 0.0)
}

func benchBucket(b *testing.B) *Bucket {
	bucket := NewBucket(nil)
	now := bucket.clock.Now()
	bucket.applyGrant(now, now, &Grant{Lease: time.Hour, Items: []GrantItem{{Workspace: "farm", Burst: 1 << 50, Level: 1 << 50}}}, nil)
	b.ReportAllocs()
	b.ResetTimer()
	return bucket
}

func BenchmarkTake(b *testing.B) {
	bucket, ctx := benchBucket(b), context.Background()
	for range b.N {
		_ = bucket.Take(ctx, "farm")
	}
}

func BenchmarkTakeParallel(b *testing.B) {
	bucket, ctx := benchBucket(b), context.Background()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = bucket.Take(ctx, "farm")
		}
	})
}

func ExampleBucket() {
	b := NewBucket(nil) // a Service fills it from the holder of its data centre
	err := b.Take(context.Background(), "black-horse-farm")
	var r *refusal.Refusal
	if errors.As(err, &r) {
		fmt.Println(r.Reason, r.Ran, r.RetryAfter)
	}
	// Output: over_rate no 1s
}
