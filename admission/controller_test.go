package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// runWithFakeTime runs f in a synctest bubble.
func runWithFakeTime(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func mustAcquire(t *testing.T, c *Controller, r Request) Ticket {
	t.Helper()
	ticket, err := c.Acquire(context.Background(), r)
	assert.NilError(t, err)
	return ticket
}

func reason(t *testing.T, err error) refusal.Reason {
	t.Helper()
	var r *refusal.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Equal(t, r.Ran, refusal.RanNo)
	return r.Reason
}

// recorder queues requests and records the order in which they are admitted and
// refused.
type recorder struct {
	t *testing.T
	c *Controller

	mu      sync.Mutex // guards the fields below
	order   []string
	refused []string
}

// queue starts an Acquire whose ticket is released as soon as it is admitted.
func (r *recorder) queue(name string, req Request) {
	go func() {
		ticket, err := r.c.Acquire(context.Background(), req)
		r.mu.Lock()
		if err != nil {
			r.refused = append(r.refused, name)
			r.mu.Unlock()
			return
		}
		r.order = append(r.order, name)
		r.mu.Unlock()
		ticket.Release(OK)
	}()
	synctest.Wait()
}

// Guards against an admission order other than importance, call trees that have
// already been admitted, least served workspace, age.
func TestQueueOrder(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 1})
		for range 3 {
			mustAcquire(t, c, Request{Workspace: "heavy"}).Release(OK)
		}
		busy := mustAcquire(t, c, Request{Workspace: "other"})
		r := &recorder{t: t, c: c}
		r.queue("low heavy 1", Request{Importance: config.Low, Workspace: "heavy"})
		r.queue("low heavy 2", Request{Importance: config.Low, Workspace: "heavy"})
		r.queue("low light", Request{Importance: config.Low, Workspace: "light"})
		r.queue("low admitted", Request{Importance: config.Low, Workspace: "heavy", Admitted: true})
		r.queue("high", Request{Importance: config.High, Workspace: "heavy"})
		r.queue("critical", Request{Importance: config.Critical, Workspace: "heavy"})
		busy.Release(OK)
		synctest.Wait()
		assert.DeepEqual(t, r.order,
			[]string{"critical", "high", "low admitted", "low light", "low heavy 1", "low heavy 2"})
	})
}

// Guards against a full queue that refuses an arrival while it holds a request of
// lower importance or of a more served workspace.
func TestFullQueueDisplaces(t *testing.T) {
	for _, tc := range []struct {
		name    string
		queued  []Request
		arrival Request
		refused string
	}{
		{"less important is displaced", []Request{{Importance: config.Low, Workspace: "a"}, {Importance: config.High, Workspace: "a"}},
			Request{Importance: config.Normal, Workspace: "a"}, "queued 0"},
		{"arrival is least important", []Request{{Importance: config.High, Workspace: "a"}, {Importance: config.High, Workspace: "a"}},
			Request{Importance: config.Normal, Workspace: "b"}, "arrival"},
		{"new request is displaced by an admitted call tree", []Request{{Workspace: "a"}, {Workspace: "a", Admitted: true}},
			Request{Workspace: "a", Admitted: true}, "queued 0"},
		{"newest of the workspace with the most requests is displaced", []Request{{Workspace: "a"}, {Workspace: "a"}},
			Request{Workspace: "b"}, "queued 1"},
		{"workspace does not displace its own requests", []Request{{Workspace: "a"}, {Workspace: "a"}},
			Request{Workspace: "a"}, "arrival"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T) {
				c := New(Config{Slots: 1, QueueLength: len(tc.queued)})
				busy := mustAcquire(t, c, Request{Workspace: "other"})
				r := &recorder{t: t, c: c}
				for i, q := range tc.queued {
					r.queue(fmt.Sprintf("queued %d", i), q)
				}
				r.queue("arrival", tc.arrival)
				assert.DeepEqual(t, r.refused, []string{tc.refused})
				busy.Release(OK)
				synctest.Wait()
				assert.Equal(t, len(r.order), len(tc.queued))
			})
		})
	}
}

// Guards against queued requests that are refused with the wrong reason, that are
// admitted after their caller has cancelled, or that remain in the counts of queued
// and running requests.
func TestQueuedRequestEnds(t *testing.T) {
	for _, tc := range []struct {
		name    string
		cancel  time.Duration // 0 means never
		release time.Duration
		want    refusal.Reason // "" means admitted
	}{
		{name: "slot becomes free in time", release: 50 * time.Millisecond},
		{name: "waits too long", release: time.Second, want: refusal.Overload},
		{name: "caller cancels", cancel: 20 * time.Millisecond, release: 50 * time.Millisecond, want: refusal.Deadline},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T) {
				c := New(Config{Slots: 1})
				busy := mustAcquire(t, c, Request{})
				time.AfterFunc(tc.release, func() { busy.Release(OK) })
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if tc.cancel > 0 {
					time.AfterFunc(tc.cancel, cancel)
				}
				ticket, err := c.Acquire(ctx, Request{})
				if tc.want == "" {
					assert.NilError(t, err)
					ticket.Release(OK)
				} else {
					assert.Equal(t, reason(t, err), tc.want)
				}
				time.Sleep(2 * time.Second)
				assert.DeepEqual(t, c.Threshold(), peer.Threshold{Limit: 1})
			})
		})
	}
}

// Guards against admitting requests that cannot meet their deadline, and against an
// estimate of the service time that stays too high, so that all requests with a
// deadline are refused after the backend server has recovered.
func TestDeadlineIsChecked(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 4})
		serve := func(d time.Duration, n int) {
			for range n {
				ticket := mustAcquire(t, c, Request{})
				time.Sleep(d)
				ticket.Release(OK)
			}
		}
		short := func() error {
			ticket, err := c.Acquire(context.Background(), Request{Deadline: time.Now().Add(50 * time.Millisecond)})
			if err == nil {
				defer ticket.Release(Failed)
			}
			return err
		}
		serve(100*time.Millisecond, 20)
		held := []Ticket{mustAcquire(t, c, Request{}), mustAcquire(t, c, Request{})}
		assert.Equal(t, reason(t, short()), refusal.Deadline)
		held[0].Release(Failed)
		assert.NilError(t, short(), "a probe is admitted")
		serve(time.Millisecond, 20)
		assert.NilError(t, short())
		held[1].Release(Failed)
	})
}

// Guards against a limit above the announced slots or connections, or above the ramp
// of a cold start.
func TestLimitBounds(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 100, Connections: 40})
		assert.Equal(t, c.Threshold().Limit, 40)
		c.Resize(20, 40)
		assert.Equal(t, c.Threshold().Limit, 20)
		c.Resize(200, 0)
		assert.Equal(t, c.Threshold().Limit, 200)
		c.SetColdStart(10 * time.Second)
		assert.Equal(t, c.Threshold().Limit, 40)
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.Threshold().Limit, 120)
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.Threshold().Limit, 200)
	})
}

// Guards against a threshold that excludes an importance of which requests are still
// admitted, and against one that is not lowered after the overload.
func TestThreshold(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 1, QueueLength: 1})
		busy := mustAcquire(t, c, Request{Importance: config.High})
		r := &recorder{t: t, c: c}
		time.Sleep(time.Second)
		r.queue("normal", Request{Importance: config.Normal})
		r.queue("low", Request{Importance: config.Low})
		assert.DeepEqual(t, r.refused, []string{"low"})
		th := c.Threshold()
		assert.Equal(t, th.Lowest, config.Normal)
		assert.Assert(t, Admits(th, config.Normal, false))
		assert.Assert(t, !Admits(th, config.Low, false))
		assert.Assert(t, Admits(th, config.Low, true))
		busy.Release(OK)
		time.Sleep(time.Second)
		assert.Equal(t, c.Threshold().Lowest, config.Low)
	})
}

// Guards against a threshold that does not reflect refusals of onward calls, that
// excludes an importance of which requests still succeed, or that is lowered while the
// onward service still refuses.
func TestThresholdFollowsOnwardService(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 10})
		end := func(i config.Importance, o Outcome) {
			ticket := mustAcquire(t, c, Request{Importance: i})
			time.Sleep(time.Millisecond)
			ticket.Release(o)
		}
		lowest := func() config.Importance {
			time.Sleep(time.Duration(maxRecentPeriod))
			return c.Threshold().Lowest
		}
		end(config.Low, OK)
		end(config.Low, OnwardRefused)
		assert.Equal(t, c.Threshold().Lowest, config.Low, "some requests succeed")
		c.RecordOnwardThreshold("deep", peer.Threshold{Lowest: config.Normal})
		time.Sleep(time.Duration(minRecentPeriod))
		for range minOnwardRefusals - 1 {
			assert.Equal(t, c.Threshold().Lowest, config.Low, "too few failures")
			end(config.Low, OnwardRefused)
		}
		assert.Equal(t, c.Threshold().Lowest, config.Normal, "no request succeeds")
		assert.Equal(t, lowest(), config.Normal, "the onward service still refuses")
		c.RecordOnwardThreshold("other", peer.Threshold{})
		assert.Equal(t, lowest(), config.Normal, "the threshold of another onward service has no effect")
		c.RecordOnwardThreshold("deep", peer.Threshold{})
		assert.Equal(t, lowest(), config.Low)
	})
}

// Guards against a ramp on a fixed limit: requests would be refused after the start
// of the backend server although it has free slots.
func TestFixedLimitHasNoRamp(t *testing.T) {
	now := time.Unix(0, 0)
	c := New(Config{Slots: 4, FixedLimit: true, Clock: func() time.Time { return now }})
	c.SetColdStart(time.Minute)
	for range 4 {
		_, err := c.Acquire(context.Background(), Request{})
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Threshold().InFlight, 4)
}
