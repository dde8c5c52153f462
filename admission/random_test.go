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

// randomDriver applies random operations to a Controller in fake time and checks its
// invariants after each of them.
type randomDriver struct {
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

func (d *randomDriver) arrive() {
	r := Request{
		Importance: config.Importance(d.rng.IntN(config.ImportanceLevels)), Admitted: d.rng.IntN(3) == 0,
		Workspace: fmt.Sprint(d.rng.IntN(5)),
	}
	if d.rng.IntN(3) == 0 {
		r.Deadline = time.Now().Add(time.Duration(d.rng.IntN(200)) * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancels = append(d.cancels, cancel)
	d.started++
	go func() {
		ticket, err := d.c.Acquire(ctx, r)
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil {
			reason(d.t, err)
			d.ended++
			return
		}
		d.classes = append(d.classes, classOf(r.Importance, r.Admitted))
		d.running = append(d.running, ticket)
	}()
}

func (d *randomDriver) release() {
	d.mu.Lock()
	if len(d.running) == 0 {
		d.mu.Unlock()
		return
	}
	i := d.rng.IntN(len(d.running))
	ticket := d.running[i]
	d.running = append(d.running[:i], d.running[i+1:]...)
	d.ended++
	d.mu.Unlock()
	ticket.Release(Outcome(d.rng.IntN(int(OnwardRefused) + 1)))
}

func (d *randomDriver) step() {
	d.mu.Lock()
	d.classes = nil
	d.mu.Unlock()
	switch d.rng.IntN(8) {
	case 0, 1, 2:
		d.arrive()
	case 3, 4:
		d.release()
	case 5:
		d.c.Resize(1+d.rng.IntN(8), 1+d.rng.IntN(8))
	case 6:
		d.cancels[d.rng.IntN(len(d.cancels))]()
	default:
		time.Sleep(time.Duration(d.rng.IntN(60)) * time.Millisecond)
	}
	synctest.Wait()
	d.check()
}

// check verifies the counts, and that no request admitted in this step has a lower
// class than one that is still queued. It must be called while all goroutines are
// blocked.
func (d *randomDriver) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	q := &d.c.queue
	assert.Equal(d.t, d.c.inFlight, len(d.running), "seed %d", d.seed)
	assert.Assert(d.t, q.length <= max(d.c.queueLimit(), queueLengthPerSlot*8), "seed %d: %d queued", d.seed, q.length)
	waiting := 0
	for class := range classCount {
		for _, f := range q.flows[class] {
			waiting += len(f.waiters)
			for _, admitted := range d.classes {
				assert.Assert(d.t, admitted >= class, "seed %d: class %d admitted while %d is queued", d.seed, admitted, class)
			}
		}
	}
	assert.Equal(d.t, waiting, q.length, "seed %d", d.seed)
	assert.Equal(d.t, d.started-d.ended, d.c.inFlight+waiting, "seed %d: a request was lost", d.seed)
}

// Guards against priority inversion, lost requests, and leaked slots or queue entries
// under random sequences of arrivals, releases, cancellations, timeouts and resizes.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			d := &randomDriver{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), c: New(Config{Slots: 4})}
			d.arrive()
			for range 300 {
				d.step()
			}
			for _, cancel := range d.cancels {
				cancel()
			}
			synctest.Wait()
			for d.ended < d.started {
				d.release()
				synctest.Wait()
			}
			d.check()
			assert.Equal(t, d.c.inFlight+d.c.queue.length, 0, "seed %d", seed)
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
