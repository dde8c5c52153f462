package attempt

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// callTree makes a call tree of random shape. It uses attempts in the same steps as the
// nodes: split, deliver, make onward calls, return unused attempts.
type callTree struct {
	mu          sync.Mutex
	rng         *rand.Rand
	registry    *Registry
	deliveries  atomic.Int64
	onwardCalls sync.WaitGroup // includes calls that outlive their parents
}

func (tr *callTree) intn(n int) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.rng.IntN(n)
}

// call makes up to four tries, each with all that is left of budget.
func (tr *callTree) call(ctx context.Context, budget *Budget, depth int) {
	for range tr.intn(4) + 1 {
		given := budget.Split(budget.Left())
		if given == 0 {
			return
		}
		unused := tr.deliver(ctx, given, depth)
		if tr.intn(5) > 0 { // otherwise the answer with the unused attempts is lost
			budget.Return(unused)
		}
		if tr.intn(2) == 0 {
			return // no retry
		}
	}
}

// deliver makes one delivery, whose backend server makes onward calls and does not always
// wait for their end.
func (tr *callTree) deliver(ctx context.Context, given, depth int) (unused int) {
	tr.deliveries.Add(1)
	c := tr.registry.Begin(ctx, Info{Depth: depth}, given-1)
	var wg sync.WaitGroup
	fanOut := 0
	if depth < 6 {
		fanOut = tr.intn(4)
	}
	wait := tr.intn(4) > 0
	for range fanOut {
		tr.onwardCalls.Add(1)
		wg.Go(func() {
			defer tr.onwardCalls.Done()
			tr.callOnward(c.Token(), 1+tr.intn(8), depth+1)
		})
	}
	if wait {
		wg.Wait()
	}
	return c.End()
}

func (tr *callTree) callOnward(token string, attempts, depth int) {
	parent, ok := tr.registry.Lookup(token)
	if !ok {
		return
	}
	given := parent.Budget.Split(attempts)
	child := NewBudget(given)
	tr.call(parent.Context(), child, depth)
	parent.Budget.Return(child.Close())
}

// Guards against call trees that cause more deliveries than the budget of the root
// allows, through fan-out, retries at every level, lost answers or calls that outlive
// their parent.
func TestCallTreeStaysWithinBudget(t *testing.T) {
	for seed := range uint64(400) {
		tr := &callTree{rng: rand.New(rand.NewPCG(seed, 1)), registry: NewRegistry()}
		limit := 1 + tr.intn(60)
		root := NewBudget(limit)
		tr.call(context.Background(), root, 0)
		tr.onwardCalls.Wait()
		total := int(tr.deliveries.Load()) + root.Left()
		assert.Assert(t, total <= limit, "seed %d: %d deliveries and unused attempts of %d", seed, total, limit)
	}
}

// Guards against attempts that are returned after the end of their call: they would be
// counted twice.
func TestClosedBudget(t *testing.T) {
	b := NewBudget(5)
	assert.Equal(t, b.Split(2), 2)
	assert.Equal(t, b.Close(), 3)
	b.Return(2)
	assert.Equal(t, b.Left(), 0)
	assert.Equal(t, b.Split(1), 0)
	assert.Equal(t, b.Close(), 0)
}

// Guards against tokens that are accepted and onward calls that continue after the end
// of their call.
func TestEndInvalidatesToken(t *testing.T) {
	r := NewRegistry()
	c := r.Begin(context.Background(), Info{Workspace: "farm"}, 3)
	got, ok := r.Lookup(c.Token())
	assert.Assert(t, ok && got == c)
	assert.Equal(t, c.End(), 3)
	_, ok = r.Lookup(c.Token())
	assert.Assert(t, !ok)
	assert.Assert(t, c.Context().Err() != nil)
	assert.Equal(t, r.Len(), 0)
	for _, forged := range []string{"", "x", c.Token() + "x"} {
		_, ok = r.Lookup(forged)
		assert.Assert(t, !ok)
	}
}
