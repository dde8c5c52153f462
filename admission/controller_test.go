package admission

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// run executes f with fake time.
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

// recorder queues requests and records the order of their ends.
type recorder struct {
	t       *testing.T
	c       *Controller
	order   []string
	refused []string
}

// queue starts an Acquire that is released as soon as it is admitted.
func (r *recorder) queue(name string, req Request) {
	go func() {
		ticket, err := r.c.Acquire(context.Background(), req)
		if err != nil {
			r.refused = append(r.refused, name)
			return
		}
		r.order = append(r.order, name)
		ticket.Release(OK)
	}()
	synctest.Wait()
}

// Guards against an order of the queue other than importance, admitted work,
// least served workspace, age.
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

// Guards against a full queue that refuses an important or a less served request
// while it holds one that ranks below.
func TestFullQueueDisplaces(t *testing.T) {
	for _, tc := range []struct {
		name    string
		queued  []Request
		arrival Request
		refused string
	}{
		{"less important goes", []Request{{Importance: config.Low, Workspace: "a"}, {Importance: config.High, Workspace: "a"}},
			Request{Importance: config.Normal, Workspace: "a"}, "queued 0"},
		{"arrival is least important", []Request{{Importance: config.High, Workspace: "a"}, {Importance: config.High, Workspace: "a"}},
			Request{Importance: config.Normal, Workspace: "b"}, "arrival"},
		{"new work goes before admitted work", []Request{{Workspace: "a"}, {Workspace: "a", Admitted: true}},
			Request{Workspace: "a", Admitted: true}, "queued 0"},
		{"newest of the greedy workspace goes", []Request{{Workspace: "a"}, {Workspace: "a"}},
			Request{Workspace: "b"}, "queued 1"},
		{"greedy workspace does not displace itself", []Request{{Workspace: "a"}, {Workspace: "a"}},
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

// Guards against requests that are refused with the wrong reason, that run
// although their caller is gone, or that leave the queue without a trace.
func TestQueuedRequestEnds(t *testing.T) {
	for _, tc := range []struct {
		name    string
		cancel  time.Duration // 0 means never
		release time.Duration
		want    refusal.Reason // "" means admitted
	}{
		{name: "slot is free in time", release: 50 * time.Millisecond},
		{name: "waits too long", release: time.Second, want: refusal.Overload},
		{name: "caller leaves", cancel: 20 * time.Millisecond, release: 50 * time.Millisecond, want: refusal.Deadline},
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

// Guards against work on requests that cannot end in time, and against an
// estimate that refuses everything for good after the backend server healed.
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

// Guards against a limit above the announced bounds or above the ramp.
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

// Guards against a threshold that refuses an importance of which some requests
// are still admitted, and against one that never opens again.
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

// Guards against a threshold that hides refusals further down, that refuses an
// importance of which some requests still succeed, or that opens while the onward
// service still refuses.
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
		assert.Equal(t, c.Threshold().Lowest, config.Low, "some succeed")
		c.RecordOnwardThreshold("deep", peer.Threshold{Lowest: config.Normal})
		time.Sleep(time.Duration(minRecentPeriod))
		for range minOnwardRefusals - 1 {
			assert.Equal(t, c.Threshold().Lowest, config.Low, "too few failures")
			end(config.Low, OnwardRefused)
		}
		assert.Equal(t, c.Threshold().Lowest, config.Normal, "none succeeds")
		assert.Equal(t, lowest(), config.Normal, "the onward service still refuses")
		c.RecordOnwardThreshold("other", peer.Threshold{})
		assert.Equal(t, lowest(), config.Normal, "another onward service does not matter")
		c.RecordOnwardThreshold("deep", peer.Threshold{})
		assert.Equal(t, lowest(), config.Low)
	})
}

// Guards against a backend server that states its slots exactly and stands idle
// after its start while requests are refused.
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
