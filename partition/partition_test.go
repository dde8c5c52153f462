package partition_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/partition"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// bounds of the platform that the partition is set by in these tests.
const (
	tolerance = 0.1
	extra     = 20
	window    = 5 * time.Second
)

// members returns the view of node self in a fleet of n.
func members(n, self int) func() partition.Members {
	m := partition.Members{Version: 1, Self: name(self)}
	for i := range n {
		m.Nodes = append(m.Nodes, balancer.Endpoint{Node: name(i), PeerAddress: name(i)})
	}
	return func() partition.Members { return m }
}

func name(i int) string { return fmt.Sprintf("node-%d", i) }

// spend offers requests to every node of a fleet for the given time, and returns
// the most that were admitted within any window.
func spend(nodes, perSecond int, w config.Workspace, length time.Duration, restart func(elapsed time.Duration) bool) int {
	now := time.Unix(0, 0)
	fresh := func(i int) *partition.Quota {
		p := partition.New(partition.Config{
			Members: members(nodes, i), Tolerance: tolerance, Slack: extra, Clock: func() time.Time { return now },
		})
		p.Configure([]config.Workspace{w})
		return p
	}
	fleet := make([]*partition.Quota, nodes)
	for i := range fleet {
		fleet[i] = fresh(i)
	}
	const step = 10 * time.Millisecond
	var admitted []int // by step
	worst, sum := 0, 0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now = now.Add(step)
		count := 0
		for i, p := range fleet {
			if restart != nil && restart(elapsed) {
				fleet[i] = fresh(i)
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
	p := partition.New(partition.Config{Members: members(1, 0), Clock: func() time.Time { return now }})
	p.Configure([]config.Workspace{{Name: "one", Rate: 2, Burst: 1}, {Name: "free"}})
	charge, err := p.Charge(context.Background(), "one")
	assert.NilError(t, err)
	_, err = p.Charge(context.Background(), "one")
	refused := refusal.FromError(err)
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

// fleetOf returns nodes that borrow from each other directly. Asking in vain or
// not at all is decided by reach.
func fleetOf(n int, clock func() time.Time, w config.Workspace, reach func(from, to int) bool) []*partition.Quota {
	fleet := make([]*partition.Quota, n)
	for i := range fleet {
		fleet[i] = partition.New(partition.Config{
			Members: members(n, i), Tolerance: tolerance, Slack: extra, Clock: clock,
			Borrow: func(_ context.Context, workspace string, want float64, holders []balancer.Endpoint) float64 {
				for _, h := range holders {
					var to int
					_, _ = fmt.Sscanf(h.Node, "node-%d", &to)
					if !reach(i, to) {
						continue
					}
					if got := fleet[to].Lend(workspace, want); got > 0 {
						return got
					}
				}
				return 0
			},
		})
		fleet[i].Configure([]config.Workspace{w})
	}
	return fleet
}

// Guards against requests that are refused at a busy node while others have
// tokens left, and against a bound that borrowing exceeds.
func TestBorrowing(t *testing.T) {
	now := time.Unix(0, 0)
	w := config.Workspace{Name: "w", Rate: 100, Burst: 100}
	fleet := fleetOf(8, func() time.Time { return now }, w, func(int, int) bool { return true })
	admit := func(node, n int) (count int) {
		for range n {
			if _, err := fleet[node].Charge(context.Background(), "w"); err == nil {
				count++
			}
		}
		return count
	}
	for range 500 { // all demand at one node, within the rate
		now = now.Add(10 * time.Millisecond)
		admit(0, 1)
	}
	admitted := 0
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		admitted += admit(0, 1)
	}
	assert.Assert(t, admitted > 500*95/100, "%d of 500 requests within the rate were admitted", admitted)

	admitted = 0
	for range 500 { // everyone asks for everything
		now = now.Add(10 * time.Millisecond)
		for node := range fleet {
			admitted += admit(node, 4)
		}
	}
	limit := (w.Rate*window.Seconds()+w.Burst)*(1+tolerance) + extra
	assert.Assert(t, float64(admitted) <= limit, "admitted %d, limit %v", admitted, limit)
}

// Guards against a node that is cut off and lends, borrows or waits without end.
func TestBorrowingWhileCutOff(t *testing.T) {
	now := time.Unix(0, 0)
	w := config.Workspace{Name: "w", Rate: 8, Burst: 8}
	fleet := fleetOf(8, func() time.Time { return now }, w, func(from, to int) bool { return from != 0 && to != 0 })
	now = now.Add(10 * time.Second)
	count := 0
	for range 100 {
		if _, err := fleet[0].Charge(context.Background(), "w"); err == nil {
			count++
		}
	}
	assert.Assert(t, count >= 1 && count <= 3, "a node that is cut off admitted %d requests of its part", count)
	assert.Equal(t, fleet[1].Lend("other", 1), 0.0)
}

// Guards the protocol between nodes: a node that answers badly lends nothing.
func TestBorrowerOverHTTP(t *testing.T) {
	now := time.Unix(0, 0)
	lender := partition.New(partition.Config{Members: members(1, 0), Clock: func() time.Time { return now }})
	lender.Configure([]config.Workspace{{Name: "a b", Rate: 10, Burst: 10}})
	now = now.Add(time.Minute)
	good := httptest.NewServer(lender.Handler())
	defer good.Close()
	bad := httptest.NewServer(http.NotFoundHandler())
	defer bad.Close()
	borrow := func(url string, want float64) float64 {
		b := partition.Borrower{DataCentre: "d", Client: http.DefaultClient}
		return b.Borrow(context.Background(), "a b", want, []balancer.Endpoint{
			{Node: "x", DataCentre: "e", PeerAddress: strings.TrimPrefix(url, "http://")},
		})
	}
	assert.Equal(t, borrow(good.URL, 3), 3.0)
	assert.Equal(t, borrow(good.URL, 100), 3.0) // half of what is left
	assert.Equal(t, borrow(bad.URL, 1), 0.0)
}

// Guards against the small workspaces of a large fleet, whose parts hold less than
// one request a node: requests within the rate are admitted wherever they come in,
// and no window exceeds the bound.
func TestSmallWorkspaceOfLargeFleet(t *testing.T) {
	now := time.Unix(0, 0)
	const nodes = 69
	w := config.Workspace{Name: "w", Rate: 15, Burst: 15}
	fleet := fleetOf(nodes, func() time.Time { return now }, w, func(int, int) bool { return true })
	run := func(perSecond int) (admitted, offered int) {
		random := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			for random.Float64() < float64(perSecond)/100 {
				offered++
				if _, err := fleet[random.IntN(nodes)].Charge(context.Background(), "w"); err == nil {
					admitted++
				}
				if perSecond <= 100 {
					break
				}
			}
		}
		return admitted, offered
	}
	run(9)
	admitted, offered := run(9)
	assert.Assert(t, admitted >= offered*95/100, "%d of %d requests within the rate were admitted", admitted, offered)
	run(90)
	admitted, _ = run(90)
	limit := (w.Rate*window.Seconds()+w.Burst)*(1+tolerance) + extra
	assert.Assert(t, float64(admitted) <= limit, "admitted %d, limit %v", admitted, limit)
}

// Guards against requests within the rate that are refused because the few holders
// that a node asks happen to have no token while others do.
func TestBorrowingNearTheRate(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	const nodes, dataCentres = 69, 4
	w := config.Workspace{Name: "w", Rate: 15, Burst: 15}
	fleet := map[string]*partition.Quota{}
	for i := range nodes {
		view := members(nodes, i)
		b := partition.Borrower{
			DataCentre: name(i % dataCentres),
			RequestTokens: func(_ context.Context, address, workspace string, want float64) (float64, error) {
				return fleet[address].Lend(workspace, want), nil
			},
		}
		fleet[name(i)] = partition.New(partition.Config{
			Members: func() partition.Members {
				m := view()
				for n := range m.Nodes {
					m.Nodes[n].DataCentre = name(n % dataCentres)
				}
				return m
			},
			Tolerance: tolerance, Slack: extra, Clock: clock, Borrow: b.Borrow,
		})
		fleet[name(i)].Configure([]config.Workspace{w})
	}
	random := rand.New(rand.NewPCG(1, 2))
	offered, admitted := 0, 0
	const step, perStep = 10 * time.Millisecond, 0.12 // 12 requests a second of 15
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += step {
		now = now.Add(step)
		if random.Float64() >= perStep {
			continue
		}
		_, err := fleet[name(random.IntN(nodes))].Charge(context.Background(), "w")
		if elapsed < 5*time.Second {
			continue
		}
		offered++
		if err == nil {
			admitted++
		}
	}
	assert.Assert(t, float64(admitted) >= 0.995*float64(offered), "%d of %d requests within the rate were admitted", admitted, offered)
}

// Guards against a node that has restarted without the store and takes the whole
// bound, because it knows no other node that has a part of it.
func TestUnknownMembers(t *testing.T) {
	now := time.Unix(0, 0)
	known := false
	p := partition.New(partition.Config{
		Members: func() partition.Members {
			if !known {
				return partition.Members{Version: 1, Self: name(0)}
			}
			m := members(8, 0)()
			m.Version = 2
			return m
		},
		Tolerance: tolerance, Slack: extra, Clock: func() time.Time { return now },
	})
	w := config.Workspace{Name: "w", Rate: 80, Burst: 80}
	p.Configure([]config.Workspace{w})
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, err := p.Charge(context.Background(), "w")
		assert.Equal(t, refusal.FromError(err).Reason, refusal.NoConfiguration)
		assert.Equal(t, refusal.FromError(err).Ran, refusal.RanNo)
	}
	known = true
	admitted := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if _, err := p.Charge(context.Background(), "w"); err == nil {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 8 && admitted <= 15, "admitted %d in a second of a part of 10", admitted)
}
