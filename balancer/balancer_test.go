package balancer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// clock is a clock that is advanced by the test only.
type clock struct{ t time.Time }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

func endpoint(node, dc, region string) Endpoint {
	return Endpoint{Node: node, Incarnation: 1, DataCentre: dc, Region: region, Slots: 10, State: Serving}
}

// newTestBalancer returns a Balancer in data centre a of region r with 2 endpoints in
// the same data centre, 2 in another one of the region and 2 in another region.
func newTestBalancer() (*Balancer, *clock, []Endpoint) {
	c := &clock{t: time.Unix(1000, 0)}
	b := New(Config{DataCentre: "a", Region: "r", Clock: c.now})
	endpoints := []Endpoint{
		endpoint("a1", "a", "r"), endpoint("a2", "a", "r"), endpoint("b1", "b", "r"), endpoint("b2", "b", "r"),
		endpoint("c1", "c", "s"), endpoint("c2", "c", "s"),
	}
	b.Update(endpoints)
	return b, c, endpoints
}

// callsPerNode makes n successful calls and returns how many of them each node gets.
func callsPerNode(t *testing.T, b *Balancer, n int, latency time.Duration) map[string]int {
	t.Helper()
	m := map[string]int{}
	for range n {
		p, err := b.Pick(PickInfo{})
		assert.NilError(t, err)
		m[p.Endpoint().Node]++
		p.Done(Result{Outcome: OK, Latency: latency})
	}
	return m
}

// callAndFinish picks an endpoint outside the excluded nodes, ends the call with r and
// returns the endpoint's node.
func callAndFinish(t *testing.T, b *Balancer, r Result, exclude ...string) string {
	t.Helper()
	p, err := b.Pick(PickInfo{Exclude: exclude})
	assert.NilError(t, err)
	p.Done(r)
	return p.Endpoint().Node
}

func failCalls(t *testing.T, b *Balancer, times int, exclude ...string) {
	t.Helper()
	for range times {
		callAndFinish(t, b, Result{Outcome: Failed}, exclude...)
	}
}

// Guards against calls that leave the data centre while it has headroom, and against
// calls that stay when it is full or refuses them.
func TestSpillOver(t *testing.T) {
	full := peer.Threshold{InFlight: 10, Queued: 3, Limit: 10}
	refusing := peer.Threshold{Lowest: config.High, Limit: 10}
	for _, tc := range []struct {
		name string
		a, b *peer.Threshold // reported by the endpoints of data centres a and b
		want string          // data centre that gets the calls
	}{
		{name: "own first", want: "a"},
		{name: "own full", a: &full, want: "b"},
		{name: "own refuses", a: &refusing, want: "b"},
		{name: "own region full", a: &full, b: &full, want: "c"},
		{name: "own region refuses", a: &refusing, b: &refusing, want: "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bal, _, _ := newTestBalancer()
			exclude := map[string][]string{
				"a1": {"a2"}, "a2": {"a1"}, "b1": {"a1", "a2", "b2"}, "b2": {"a1", "a2", "b1"},
			}
			for node, others := range exclude {
				th := map[byte]*peer.Threshold{'a': tc.a, 'b': tc.b}[node[0]]
				got := callAndFinish(t, bal, Result{Outcome: Refused, Threshold: th}, others...)
				assert.Equal(t, got, node)
			}
			for range 100 {
				p, err := bal.Pick(PickInfo{})
				assert.NilError(t, err)
				assert.Equal(t, p.Endpoint().DataCentre, tc.want)
				p.Done(Result{Outcome: OK, Latency: time.Millisecond})
			}
		})
	}
}

// Guards against calls that stay in the own data centre while its endpoints are slow
// and those of another data centre are fast, and against calls that leave it while the
// service is slow everywhere.
func TestSpillOverBySlowness(t *testing.T) {
	for _, tc := range []struct {
		name      string
		near, far time.Duration
		timeOut   bool // calls to the near endpoints end at their deadline
		maxNear   int
		maxFar    int
	}{
		{name: "near slow", near: 250 * time.Millisecond, far: 5 * time.Millisecond, maxNear: 20, maxFar: 200},
		{name: "near gives no answer", near: 250 * time.Millisecond, far: 5 * time.Millisecond, timeOut: true, maxNear: 20, maxFar: 200},
		{name: "slow everywhere", near: 200 * time.Millisecond, far: 205 * time.Millisecond, maxNear: 200, maxFar: 20},
		{name: "fast", near: 5 * time.Millisecond, far: 5 * time.Millisecond, maxNear: 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bal, clock, _ := newTestBalancer()
			near, far := 0, 0
			for range 200 {
				p, err := bal.Pick(PickInfo{})
				assert.NilError(t, err)
				r := Result{Outcome: OK, Latency: tc.far}
				if p.Endpoint().DataCentre != "a" {
					far++
				} else {
					near++
					r.Latency = tc.near
					if tc.timeOut {
						r.Outcome = Cancelled
					}
				}
				clock.advance(10 * time.Millisecond)
				p.Done(r)
			}
			assert.Assert(t, near <= tc.maxNear && far <= tc.maxFar, "%d calls near, %d far", near, far)
		})
	}
}

// Guards against a node whose own calls exceed the slots of its data centre while
// others are idle.
func TestSpillOverByOwnInFlight(t *testing.T) {
	b, _, _ := newTestBalancer()
	m := map[string]int{}
	for range 60 {
		p, err := b.Pick(PickInfo{})
		assert.NilError(t, err)
		m[p.Endpoint().DataCentre]++
	}
	assert.DeepEqual(t, m, map[string]int{"a": 20, "b": 20, "c": 20})
}

// Guards against a threshold that is still used after 1 s, or that refuses more
// important calls or those of call trees that have already been admitted.
func TestRefusalOfAllEndpoints(t *testing.T) {
	b, c, _ := newTestBalancer()
	refuse := Result{Outcome: Refused, Threshold: &peer.Threshold{Lowest: config.High}}
	var seen []string
	for range 6 {
		seen = append(seen, callAndFinish(t, b, refuse, seen...))
	}
	_, err := b.Pick(PickInfo{Importance: config.Normal})
	var r *refusal.Refusal
	assert.Assert(t, errors.As(err, &r))
	assert.Equal(t, r.Reason, refusal.Overload)
	assert.Equal(t, r.Ran, refusal.RanNo)
	assert.Assert(t, !b.Admits(PickInfo{Importance: config.Normal}))
	assert.Assert(t, b.Admits(PickInfo{Importance: config.High}))
	assert.Assert(t, b.Admits(PickInfo{Importance: config.Normal, Admitted: true}))
	c.advance(time.Second)
	assert.Assert(t, b.Admits(PickInfo{Importance: config.Normal}))
}

// Guards against a cached refusal of all endpoints that is used after an endpoint
// admits again or is added, or after the last endpoint was removed.
func TestCachedRefusalEnds(t *testing.T) {
	normal := PickInfo{Importance: config.Normal}
	for _, tc := range []struct {
		name   string
		change func(b *Balancer, p Pick)
		want   refusal.Reason // "" means admitted
	}{
		{"nothing", func(*Balancer, Pick) {}, refusal.Overload},
		{"an answer admits", func(_ *Balancer, p Pick) { p.Done(Result{Outcome: OK, Threshold: &peer.Threshold{}}) }, ""},
		{"an endpoint is added", func(b *Balancer, _ Pick) { b.Update([]Endpoint{endpoint("new", "a", "r")}) }, ""},
		{"all endpoints are removed", func(b *Balancer, _ Pick) { b.Update(nil) }, refusal.NoBackendServer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{t: time.Unix(1000, 0)}
			b := New(Config{DataCentre: "a", Clock: c.now})
			b.Update([]Endpoint{endpoint("a1", "a", "r")})
			inFlight, err := b.Pick(normal)
			assert.NilError(t, err)
			callAndFinish(t, b, Result{Outcome: Refused, Threshold: &peer.Threshold{Lowest: config.High}})
			assert.Assert(t, !b.Admits(normal))
			tc.change(b, inFlight)
			assert.Equal(t, b.Admits(normal), tc.want == "")
			_, err = b.Pick(normal)
			if tc.want == "" {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, refusal.FromError(err).Reason, tc.want)
			}
		})
	}
}

// Guards against new calls to a draining endpoint, whether the announcement or a
// refusal arrives first, and against an endpoint that gets no calls after its backend
// server was restarted.
func TestDraining(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal func(b *Balancer, e []Endpoint)
	}{
		{"announcement", func(b *Balancer, e []Endpoint) {
			e[0].State = Draining
			b.Update(e)
		}},
		{"refusal", func(b *Balancer, e []Endpoint) {
			p, _ := b.Pick(PickInfo{Exclude: []string{"a2"}})
			p.Done(Result{Outcome: Refused, Draining: true})
		}},
		{"refusal, then a late announcement", func(b *Balancer, e []Endpoint) {
			p, _ := b.Pick(PickInfo{Exclude: []string{"a2"}})
			p.Done(Result{Outcome: Refused, Draining: true})
			e[0].Connections = 7
			b.Update(e)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, _, e := newTestBalancer()
			tc.signal(b, e)
			assert.Equal(t, callsPerNode(t, b, 100, time.Millisecond)["a1"], 0)
			e[0].State = Draining
			b.Update(e)
			e[0].State = Serving
			b.Update(e)
			assert.Assert(t, callsPerNode(t, b, 100, time.Millisecond)["a1"] > 0)
		})
	}
}

// Guards against calls to an endpoint that always fails, an ejection that does not
// end, and the ejection of more than half of the endpoints.
func TestEjection(t *testing.T) {
	b, c, _ := newTestBalancer()
	failCalls(t, b, failuresToEject, "a2")
	assert.Equal(t, callsPerNode(t, b, 100, time.Millisecond)["a1"], 0)
	c.advance(minEjectionTime)
	failCalls(t, b, 1, "a2")
	c.advance(minEjectionTime)
	assert.Equal(t, callsPerNode(t, b, 100, time.Millisecond)["a1"], 0, "the second ejection is longer")
	c.advance(minEjectionTime)
	assert.Assert(t, callsPerNode(t, b, 100, time.Millisecond)["a1"] > 0)

	failCalls(t, b, 1000)
	b.mu.Lock()
	more := b.canEject(b.now())
	b.mu.Unlock()
	assert.Assert(t, !more)
	assert.Equal(t, countEjected(b), 3)
}

func countEjected(b *Balancer) int {
	n := 0
	for _, s := range b.table.Load().all {
		if b.now() < s.ejectedUntil.Load() {
			n++
		}
	}
	return n
}

// Guards against a new incarnation that inherits ejection or draining, and against an
// update that resets the state of other endpoints.
func TestNewIncarnationHasNewState(t *testing.T) {
	b, _, e := newTestBalancer()
	failCalls(t, b, failuresToEject, "a2")
	callAndFinish(t, b, Result{Outcome: Refused, Draining: true}, "a1")
	e[0].Incarnation = 2
	b.Update(e)
	m := callsPerNode(t, b, 100, time.Millisecond)
	assert.DeepEqual(t, m, map[string]int{"a1": 100})
}

// Guards against an endpoint that is slow or in its cold start and gets as many calls
// as the others.
func TestCost(t *testing.T) {
	c := &clock{t: time.Unix(1000, 0)}
	b := New(Config{DataCentre: "a", Clock: c.now})
	slow, cold := endpoint("slow", "a", ""), endpoint("cold", "a", "")
	b.Update([]Endpoint{slow, endpoint("fast", "a", "")})
	callAndFinish(t, b, Result{Outcome: OK, Latency: 100 * time.Millisecond}, "fast")
	callAndFinish(t, b, Result{Outcome: OK, Latency: time.Millisecond}, "slow")
	assert.DeepEqual(t, callsPerNode(t, b, 100, time.Millisecond), map[string]int{"fast": 100})

	cold.ColdStart = 10 * time.Second
	b.Update([]Endpoint{cold, endpoint("fast", "a", "")})
	assert.Assert(t, callsPerNode(t, b, 100, time.Millisecond)["cold"] < 50)
	c.advance(10 * time.Second)
	p1, _ := b.Pick(PickInfo{})
	p2, _ := b.Pick(PickInfo{})
	assert.Assert(t, p1.Endpoint().Node != p2.Endpoint().Node)
}

// Guards against allocations in Pick and Done.
func TestPickDoesNotAllocate(t *testing.T) {
	b, _, _ := newTestBalancer()
	exclude := []string{"a1"}
	th := &peer.Threshold{Limit: 10}
	allocs := testing.AllocsPerRun(1000, func() {
		p, err := b.Pick(PickInfo{Exclude: exclude})
		if err != nil {
			t.Fatal(err)
		}
		p.Done(Result{Outcome: OK, Latency: time.Millisecond, Threshold: th})
	})
	assert.Equal(t, allocs, 0.0)
}

func ExampleBalancer() {
	b := New(Config{DataCentre: "dudley", Region: "midlands"})
	b.Update([]Endpoint{
		{Node: "n1", PeerAddress: "10.0.0.1:7003", DataCentre: "dudley", Region: "midlands", Slots: 165, State: Serving},
		{Node: "n2", PeerAddress: "10.1.0.1:7003", DataCentre: "walsall", Region: "midlands", Slots: 165, State: Serving},
	})
	p, err := b.Pick(PickInfo{Importance: config.Critical})
	if err != nil {
		fmt.Println("refused:", err)
		return
	}
	fmt.Println(p.Endpoint().Node)
	p.Done(Result{Outcome: OK, Latency: 3 * time.Millisecond})
	// Output: n1
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 92, 1100} {
		for _, load := range []string{"idle", "local full", "all full", "all refuse"} {
			b.Run(fmt.Sprintf("%d/%s", n, load), func(b *testing.B) { benchmarkPick(b, n, load) })
		}
	}
}

func benchmarkPick(b *testing.B, n int, load string) {
	bal := New(Config{DataCentre: "dc0", Region: "r"})
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, endpoint(fmt.Sprint("n", i), fmt.Sprint("dc", i%4), "r"))
	}
	bal.Update(endpoints)
	for _, s := range bal.table.Load().all {
		if load == "all full" || load == "local full" && s.endpoint.Load().DataCentre == "dc0" {
			s.inFlight.Store(10)
		}
		if load == "all refuse" {
			s.threshold.store(bal.now()+int64(time.Hour), peer.Threshold{Lowest: config.High})
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		if load == "all refuse" {
			if bal.Admits(PickInfo{Importance: config.Normal}) {
				b.Fatal("admitted")
			}
			continue
		}
		p, err := bal.Pick(PickInfo{Importance: config.Normal})
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Result{Outcome: OK, Latency: time.Millisecond})
	}
}

// Guards against calls that leave the own data centre under normal load only because
// the load of an endpoint that gets few calls is not known.
func TestNormalLoadStaysInDataCentre(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{DataCentre: "a", Region: "r", Clock: func() time.Time { return now }})
	b.Update([]Endpoint{
		{Node: "near", DataCentre: "a", Region: "r", Slots: 100, State: Serving},
		{Node: "far", DataCentre: "b", Region: "r", Slots: 100, State: Serving},
	})
	far := 0
	var running []Pick
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		p, err := b.Pick(PickInfo{})
		assert.NilError(t, err)
		if p.Endpoint().Node == "far" {
			far++
		}
		running = append(running, p)
		if len(running) > 40 { // 40 calls in flight, of 200 ms each
			running[0].Done(Result{Latency: 200 * time.Millisecond})
			running = running[1:]
		}
	}
	assert.Assert(t, far < 2000/20, "%d of 2000 calls left the data centre", far)
}

// Guards against an endpoint whose backend server fails half of the calls and that is
// still preferred, because it is near and fast.
func TestFailingEndpointGetsFewerCalls(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{DataCentre: "a", Region: "r", Clock: func() time.Time { return now }})
	b.Update([]Endpoint{
		{Node: "near", DataCentre: "a", Region: "r", Slots: 100, State: Serving},
		{Node: "far", DataCentre: "b", Region: "r", Slots: 100, State: Serving},
	})
	near := 0
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		p, err := b.Pick(PickInfo{})
		assert.NilError(t, err)
		isNear := p.Endpoint().Node == "near"
		if isNear && i >= 200 {
			near++
		}
		p.Done(Result{Latency: 100 * time.Millisecond, BackendFailed: isNear && i%2 == 0})
	}
	assert.Assert(t, near < 400, "the failing endpoint got %d of 800 calls", near)
}

// Guards against repeated calls to an unreachable host: an endpoint is ejected at the
// first connection failure.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{DataCentre: "a", Region: "r", Clock: func() time.Time { return now }})
	b.Update([]Endpoint{
		{Node: "gone", DataCentre: "a", Region: "r", Slots: 100, State: Serving},
		{Node: "there", DataCentre: "a", Region: "r", Slots: 100, State: Serving},
	})
	gone := 0
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		p, err := b.Pick(PickInfo{})
		assert.NilError(t, err)
		if p.Endpoint().Node == "gone" {
			gone++
			p.Done(Result{Outcome: Failed, Unreachable: true})
			continue
		}
		p.Done(Result{Latency: 10 * time.Millisecond})
	}
	assert.Assert(t, gone <= 5, "%d calls in 5 s went to an unreachable host", gone)
}
