package quota_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// bounds of the platform that the partition is set by in these tests.
const (
	tolerance = 0.1
	extra     = 20
	window    = 5 * time.Second
)

// spend offers requests to every node of a fleet for the given time, and returns
// the most that were admitted within any window.
func spend(nodes, perSecond int, w config.Workspace, length time.Duration, restart func(elapsed time.Duration) bool) int {
	now := time.Unix(0, 0)
	fresh := func() *quota.Partition {
		p := quota.NewPartition(quota.PartitionConfig{
			Nodes: func() int { return nodes }, Tolerance: tolerance, Extra: extra, Clock: func() time.Time { return now },
		})
		p.Configure([]config.Workspace{w})
		return p
	}
	fleet := make([]*quota.Partition, nodes)
	for i := range fleet {
		fleet[i] = fresh()
	}
	const step = 10 * time.Millisecond
	var admitted []int // by step
	worst, sum := 0, 0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now = now.Add(step)
		count := 0
		for i, p := range fleet {
			if restart != nil && restart(elapsed) {
				fleet[i] = fresh()
				p = fleet[i]
			}
			for range perSecond / 100 {
				if _, err := p.Charge(context.Background(), w.Name); err == nil {
					count++
				}
			}
		}
		admitted = append(admitted, count)
		sum += count
		if n := len(admitted) - int(window/step); n > 0 {
			sum -= admitted[n-1]
		}
		worst = max(worst, sum)
	}
	return worst
}

// Guards against a workspace that gets more than its bound with the permitted
// excess in some window, also when all nodes restart.
func TestPartitionBound(t *testing.T) {
	for _, tc := range []struct {
		name    string
		nodes   int
		bound   config.Workspace
		restart func(time.Duration) bool
	}{
		{name: "large", nodes: 16, bound: config.Workspace{Name: "w", Rate: 140, Burst: 140}},
		{name: "small", nodes: 16, bound: config.Workspace{Name: "w", Rate: 4, Burst: 4}},
		{name: "restart", nodes: 16, bound: config.Workspace{Name: "w", Rate: 140, Burst: 140},
			restart: func(at time.Duration) bool { return at == 7*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := spend(tc.nodes, 200, tc.bound, 30*time.Second, tc.restart)
			limit := (tc.bound.Rate*window.Seconds()+tc.bound.Burst)*(1+tolerance) + extra
			assert.Assert(t, float64(got) <= limit, "admitted %d, limit %v", got, limit)
			assert.Assert(t, float64(got) >= tc.bound.Rate*window.Seconds(), "admitted %d of rate %v", got, tc.bound.Rate)
		})
	}
}

// Guards against a returned token that is lost, a refusal without a time to come
// back, and a workspace without a bound that is refused.
func TestPartitionCharges(t *testing.T) {
	now := time.Unix(0, 0)
	p := quota.NewPartition(quota.PartitionConfig{Nodes: func() int { return 1 }, Clock: func() time.Time { return now }})
	p.Configure([]config.Workspace{{Name: "one", Rate: 2, Burst: 1}, {Name: "free"}})
	charge, err := p.Charge(context.Background(), "one")
	assert.NilError(t, err)
	_, err = p.Charge(context.Background(), "one")
	refused := refusal.From(err)
	assert.Equal(t, refused.Reason, refusal.OverRate)
	assert.Equal(t, refused.RetryAfter, 500*time.Millisecond)
	charge.Return()
	_, err = p.Charge(context.Background(), "one")
	assert.NilError(t, err)
	for range 100 {
		charge, err := p.Charge(context.Background(), "free")
		assert.NilError(t, err)
		charge.Return()
	}
}
