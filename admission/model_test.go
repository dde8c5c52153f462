package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// model applies random operations to a Controller in fake time and checks its
// invariants after each of them.
type model struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	c       *Controller
	cancels []context.CancelFunc

	mu      sync.Mutex // guards the fields below
	running []Ticket
	classes []int // of the requests admitted in this step
	ended   int
	started int
}

func (m *model) arrive() {
	r := Request{
		Importance: config.Importance(m.rng.IntN(config.ImportanceLevels)), Admitted: m.rng.IntN(3) == 0,
		Workspace: fmt.Sprint(m.rng.IntN(5)),
	}
	if m.rng.IntN(3) == 0 {
		r.Deadline = time.Now().Add(time.Duration(m.rng.IntN(200)) * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancels = append(m.cancels, cancel)
	m.started++
	go func() {
		ticket, err := m.c.Acquire(ctx, r)
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil {
			reason(m.t, err)
			m.ended++
			return
		}
		m.classes = append(m.classes, classOf(r.Importance, r.Admitted))
		m.running = append(m.running, ticket)
	}()
}

func (m *model) release() {
	m.mu.Lock()
	if len(m.running) == 0 {
		m.mu.Unlock()
		return
	}
	i := m.rng.IntN(len(m.running))
	ticket := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.ended++
	m.mu.Unlock()
	ticket.Release(Outcome(m.rng.IntN(int(OnwardRefused) + 1)))
}

func (m *model) step() {
	m.mu.Lock()
	m.classes = nil
	m.mu.Unlock()
	switch m.rng.IntN(8) {
	case 0, 1, 2:
		m.arrive()
	case 3, 4:
		m.release()
	case 5:
		m.c.Resize(1+m.rng.IntN(8), 1+m.rng.IntN(8))
	case 6:
		m.cancels[m.rng.IntN(len(m.cancels))]()
	default:
		time.Sleep(time.Duration(m.rng.IntN(60)) * time.Millisecond)
	}
	synctest.Wait()
	m.check()
}

// check verifies the counts, and that no request admitted in this step has a lower
// class than one that is still queued. It must be called while all goroutines are
// blocked.
func (m *model) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	q := &m.c.queue
	assert.Equal(m.t, m.c.inFlight, len(m.running), "seed %d", m.seed)
	assert.Assert(m.t, q.length <= max(m.c.queueLimit(), queueLengthPerSlot*8), "seed %d: %d queued", m.seed, q.length)
	waiting := 0
	for class := range classCount {
		for _, f := range q.flows[class] {
			waiting += len(f.waiters)
			for _, admitted := range m.classes {
				assert.Assert(m.t, admitted >= class, "seed %d: class %d admitted while %d is queued", m.seed, admitted, class)
			}
		}
	}
	assert.Equal(m.t, waiting, q.length, "seed %d", m.seed)
	assert.Equal(m.t, m.started-m.ended, m.c.inFlight+waiting, "seed %d: a request was lost", m.seed)
}

// Guards against priority inversion, lost requests, and leaked slots or queue entries
// under random sequences of arrivals, releases, cancellations, timeouts and resizes.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			m := &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), c: New(Config{Slots: 4})}
			m.arrive()
			for range 300 {
				m.step()
			}
			for _, cancel := range m.cancels {
				cancel()
			}
			synctest.Wait()
			for m.ended < m.started {
				m.release()
				synctest.Wait()
			}
			m.check()
			assert.Equal(t, m.c.inFlight+m.c.queue.length, 0, "seed %d", seed)
		})
	}
}

// Guards against data races, and against more requests in flight than slots.
func TestConcurrentUse(t *testing.T) {
	const slots, callers, calls = 4, 16, 200
	c := New(Config{Slots: slots, QueueTimeout: time.Minute, QueueLength: callers})
	var mu sync.Mutex
	running, most := 0, 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for range calls {
				ticket, err := c.Acquire(context.Background(), Request{Importance: config.Importance(i % 4), Workspace: fmt.Sprint(i % 3)})
				assert.Check(t, err)
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				mu.Lock()
				running--
				mu.Unlock()
				ticket.Release(OK)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, most <= slots, "%d in flight", most)
	assert.Equal(t, c.inFlight+c.queue.length, 0)
}
