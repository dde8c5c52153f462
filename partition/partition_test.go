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

// The platform enforces this rate limit in these tests: at most (rate × window + burst)
// × (1 + tolerance) + slack requests in each window.
const (
	tolerance = 0.1
	slack     = 20
	window    = 5 * time.Second
)

// members returns the view of the node with index self in a fleet of n nodes.
func members(n, self int) func() partition.Members {
	m := partition.Members{Version: 1, Self: nodeName(self)}
	for i := range n {
		m.Nodes = append(m.Nodes, balancer.Endpoint{Node: nodeName(i), PeerAddress: nodeName(i)})
	}
	return func() partition.Members { return m }
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

// maxAdmittedInWindow offers perSecond requests to each node of a fleet for the given
// time and returns the largest number admitted within any window. A node is restarted
// whenever restart returns true; restart may be nil.
func maxAdmittedInWindow(nodes, perSecond int, w config.Workspace, length time.Duration, restart func(elapsed time.Duration) bool) int {
	now := time.Unix(0, 0)
	startNode := func(i int) *partition.Quota {
		p := partition.New(partition.Config{
			Members: members(nodes, i), Tolerance: tolerance, Slack: slack, Clock: func() time.Time { return now },
		})
		p.Configure([]config.Workspace{w})
		return p
	}
	fleet := make([]*partition.Quota, nodes)
	for i := range fleet {
		fleet[i] = startNode(i)
	}
	const step = 10 * time.Millisecond
	var admitted []int // in each step
	worst, sum := 0, 0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now = now.Add(step)
		count := 0
		for i, p := range fleet {
			if restart != nil && restart(elapsed) {
				fleet[i] = startNode(i)
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

// Guards against a workspace that exceeds its rate limit by more than the permitted
// excess in some window, also when all nodes restart.
func TestPartitionBound(t *testing.T) {
	for _, tc := range []struct {
		name    string
		nodes   int
		limits  config.Workspace
		restart func(time.Duration) bool
	}{
		{name: "large", nodes: 16, limits: config.Workspace{Name: "w", Rate: 140, Burst: 140}},
		{name: "small", nodes: 16, limits: config.Workspace{Name: "w", Rate: 4, Burst: 4}},
		{name: "restart", nodes: 16, limits: config.Workspace{Name: "w", Rate: 140, Burst: 140},
			restart: func(at time.Duration) bool { return at == 7*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := maxAdmittedInWindow(tc.nodes, 200, tc.limits, 30*time.Second, tc.restart)
			limit := (tc.limits.Rate*window.Seconds()+tc.limits.Burst)*(1+tolerance) + slack
			assert.Assert(t, float64(got) <= limit, "admitted %d, limit %v", got, limit)
			assert.Assert(t, float64(got) >= tc.limits.Rate*window.Seconds(), "admitted %d of rate %v", got, tc.limits.Rate)
		})
	}
}

// Guards against a returned token that is lost, a refusal without RetryAfter, and
// refusals of a workspace without a rate limit.
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

// newFleet returns nodes that borrow from each other by direct calls. reach decides
// whether a node can contact another one.
func newFleet(n int, clock func() time.Time, w config.Workspace, reach func(from, to int) bool) []*partition.Quota {
	fleet := make([]*partition.Quota, n)
	for i := range fleet {
		fleet[i] = partition.New(partition.Config{
			Members: members(n, i), Tolerance: tolerance, Slack: slack, Clock: clock,
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

// Guards against requests that are refused at a busy node while others have tokens
// left, and against borrowing that exceeds the rate limit.
func TestBorrowing(t *testing.T) {
	now := time.Unix(0, 0)
	w := config.Workspace{Name: "w", Rate: 100, Burst: 100}
	fleet := newFleet(8, func() time.Time { return now }, w, func(int, int) bool { return true })
	admit := func(node, n int) (count int) {
		for range n {
			if _, err := fleet[node].Charge(context.Background(), "w"); err == nil {
				count++
			}
		}
		return count
	}
	for range 500 { // all requests at one node, within the rate
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
	for range 500 { // far more requests than the rate, at every node
		now = now.Add(10 * time.Millisecond)
		for node := range fleet {
			admitted += admit(node, 4)
		}
	}
	limit := (w.Rate*window.Seconds()+w.Burst)*(1+tolerance) + slack
	assert.Assert(t, float64(admitted) <= limit, "admitted %d, limit %v", admitted, limit)
}

// Guards against a node that admits more than its own share, or nothing, while it is cut
// off from all others, and against lending for an unknown workspace.
func TestBorrowingWhileCutOff(t *testing.T) {
	now := time.Unix(0, 0)
	w := config.Workspace{Name: "w", Rate: 8, Burst: 8}
	fleet := newFleet(8, func() time.Time { return now }, w, func(from, to int) bool { return from != 0 && to != 0 })
	now = now.Add(10 * time.Second)
	count := 0
	for range 100 {
		if _, err := fleet[0].Charge(context.Background(), "w"); err == nil {
			count++
		}
	}
	assert.Assert(t, count >= 1 && count <= 3, "a node that is cut off admitted %d requests of its share", count)
	assert.Equal(t, fleet[1].Lend("other", 1), 0.0)
}

// Guards against tokens that are miscounted in the protocol between nodes: an error
// response grants none.
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
	assert.Equal(t, borrow(good.URL, 100), 3.0) // half of the tokens left
	assert.Equal(t, borrow(bad.URL, 1), 0.0)
}

// Guards against refusals of a workspace whose limit is less than one request for each
// node of a large fleet: requests within the rate have to be admitted at every node, and
// no window may exceed the rate limit.
func TestSmallWorkspaceOfLargeFleet(t *testing.T) {
	now := time.Unix(0, 0)
	const nodes = 69
	w := config.Workspace{Name: "w", Rate: 15, Burst: 15}
	fleet := newFleet(nodes, func() time.Time { return now }, w, func(int, int) bool { return true })
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
	limit := (w.Rate*window.Seconds()+w.Burst)*(1+tolerance) + slack
	assert.Assert(t, float64(admitted) <= limit, "admitted %d, limit %v", admitted, limit)
}

// Guards against requests within the rate that are refused because the holders that a
// node asks have no token while other holders do.
func TestBorrowingNearTheRate(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	const nodes, dataCentres = 69, 4
	w := config.Workspace{Name: "w", Rate: 15, Burst: 15}
	fleet := map[string]*partition.Quota{}
	for i := range nodes {
		view := members(nodes, i)
		b := partition.Borrower{
			DataCentre: nodeName(i % dataCentres),
			RequestTokens: func(_ context.Context, address, workspace string, want float64) (float64, error) {
				return fleet[address].Lend(workspace, want), nil
			},
		}
		fleet[nodeName(i)] = partition.New(partition.Config{
			Members: func() partition.Members {
				m := view()
				for n := range m.Nodes {
					m.Nodes[n].DataCentre = nodeName(n % dataCentres)
				}
				return m
			},
			Tolerance: tolerance, Slack: slack, Clock: clock, Borrow: b.Borrow,
		})
		fleet[nodeName(i)].Configure([]config.Workspace{w})
	}
	random := rand.New(rand.NewPCG(1, 2))
	offered, admitted := 0, 0
	const step, perStep = 10 * time.Millisecond, 0.12 // 12 requests per second, with a rate of 15
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += step {
		now = now.Add(step)
		if random.Float64() >= perStep {
			continue
		}
		_, err := fleet[nodeName(random.IntN(nodes))].Charge(context.Background(), "w")
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

// Guards against a node that was restarted while the store is not reachable and takes
// the whole rate limit, because it knows no other holder.
func TestUnknownMembers(t *testing.T) {
	now := time.Unix(0, 0)
	known := false
	p := partition.New(partition.Config{
		Members: func() partition.Members {
			if !known {
				return partition.Members{Version: 1, Self: nodeName(0)}
			}
			m := members(8, 0)()
			m.Version = 2
			return m
		},
		Tolerance: tolerance, Slack: slack, Clock: func() time.Time { return now },
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
	assert.Assert(t, admitted >= 8 && admitted <= 15, "admitted %d in a second, with a share of 10 per second", admitted)
}
