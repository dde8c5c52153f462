package admission

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// limited returns a Controller with many slots whose backend server has named a limit.
func limited(perSecond float64) *Controller {
	c := New(Config{Slots: 100, QueueTimeout: time.Hour})
	c.ObserveRateLimit(c.clock(), perSecond)
	return c
}

// Guards against more requests than the rate limit allows in any span of time, and against requests that wait although it allows them.
func TestRateLimitHolds(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 7.5, 50} {
		runWithFakeTime(t, func(t *testing.T) {
			const length = 40 * time.Second
			c, admitted := limited(perSecond), 0
			ctx, cancel := context.WithCancel(context.Background())
			for range 10 {
				go func() {
					for {
						ticket, err := c.Acquire(ctx, Request{})
						if err != nil {
							return
						}
						admitted++
						ticket.Release(OK)
					}
				}()
			}
			time.Sleep(length)
			cancel()
			synctest.Wait()
			want := max(perSecond, minRate) * length.Seconds()
			assert.Assert(t, math.Abs(float64(admitted)-want) <= 2, "%v per second: admitted %d, want %.0f", perSecond, admitted, want)
		})
	}
}

// Guards against a pause that is followed by more requests at once than a quarter of a second of the rate.
func TestRateLimitBurst(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := limited(40)
		time.Sleep(time.Hour)
		for range 10 {
			mustAcquire(t, c, Request{}).Release(OK)
		}
		_, err := c.Acquire(context.Background(), Request{NoRateWait: true})
		assert.Equal(t, reason(t, err), refusal.BackendLimited)
	})
}

// Guards against answers that overtake each other: one to a request that was sent before the limit was known must not lift it.
func TestRateLimitOfOvertakenAnswers(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 1})
		early := c.clock()
		time.Sleep(time.Second)
		c.ObserveRateLimit(early, 20)
		_, changed := c.ObserveRateLimit(early, math.Inf(1))
		assert.Assert(t, !changed)
		c.ObserveRateLimit(early, 10)
		assert.Equal(t, c.RateLimit(), 10.0)
		time.Sleep(time.Second)
		late := c.clock()
		time.Sleep(time.Second)
		before, changed := c.ObserveRateLimit(late, math.Inf(1))
		assert.Assert(t, changed && before == 10)
		assert.Assert(t, math.IsInf(c.RateLimit(), 1))
	})
}

// Guards against another node's outdated report that replaces what the backend server has told this node.
func TestLearnedRateLimit(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := New(Config{Slots: 1})
		assert.Assert(t, c.LearnRateLimit(20))
		assert.Assert(t, !c.LearnRateLimit(20))
		time.Sleep(time.Second)
		c.ObserveRateLimit(c.clock(), 30)
		assert.Assert(t, !c.LearnRateLimit(10))
		assert.Equal(t, c.RateLimit(), 30.0)
	})
}

// Guards against queued requests that stay queued when the limit rises or ends.
func TestRaisedRateLimitAdmitsQueued(t *testing.T) {
	for _, raised := range []float64{10, math.Inf(1)} {
		runWithFakeTime(t, func(t *testing.T) {
			c := limited(minRate)
			r := &recorder{t: t, c: c}
			for _, name := range []string{"a", "b", "c"} {
				r.queue(name, Request{})
			}
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(r.order), 0)
			c.ObserveRateLimit(c.clock(), raised)
			time.Sleep(400 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(r.order), 3)
		})
	}
}

// Guards against refusals for the rate limit that look like overload: entry nodes would not try the backend servers that have room.
func TestRateLimitRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		queued  int
		request Request
		timeout time.Duration // 0: none
	}{
		"another server has room":         {request: Request{NoRateWait: true}},
		"turn after the longest wait":     {queued: 4, request: Request{MaxWait: 300 * time.Millisecond}},
		"turn after the deadline":         {queued: 4, timeout: 300 * time.Millisecond},
		"overtaken by important requests": {request: Request{MaxWait: 300 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T) {
				c := limited(10)
				if tc.timeout > 0 {
					tc.request.Deadline = time.Now().Add(tc.timeout)
				}
				r := &recorder{t: t, c: c}
				for range tc.queued {
					r.queue("queued", Request{Importance: tc.request.Importance})
				}
				result := make(chan error, 1)
				go func() {
					_, err := c.Acquire(context.Background(), tc.request)
					result <- err
				}()
				synctest.Wait()
				for range 10 {
					r.queue("important", Request{Importance: config.Critical})
				}
				assert.Equal(t, reason(t, <-result), refusal.BackendLimited)
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a rate limit that lets requests overtake more important ones.
func TestRateLimitKeepsOrder(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := limited(10)
		r := &recorder{t: t, c: c}
		r.queue("low", Request{Importance: config.Low})
		r.queue("high", Request{Importance: config.High})
		r.queue("critical", Request{Importance: config.Critical})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, r.order, []string{"critical", "high", "low"})
	})
}
