package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

var start = time.Unix(1000, 0)

func newTestPolicy(now *time.Time, cfg Config) *Policy {
	cfg.Clock = func() time.Time { return *now }
	cfg.Rand = func() float64 { return 1 - 1e-9 }
	return New(cfg)
}

// combinations calls f with every combination of the boolean inputs.
func combinations(f func(idempotent, retried, replayable, elsewhere, attempts, time bool)) {
	for i := range 64 {
		bit := func(n int) bool { return i>>n&1 == 1 }
		f(bit(0), bit(1), bit(2), bit(3), bit(4), bit(5))
	}
}

// Guards against a retry that could run a request twice, multiply over the levels of a
// call tree, exceed the attempt budget or the deadline, or add to an overload. Each
// listed reason is tested with all combinations of the other inputs. The expected result
// is stated by rule, independently of the order of the checks in Allow.
func TestAllow(t *testing.T) {
	retryableReasons := map[refusal.Reason]bool{
		refusal.Overload: true, refusal.Draining: true, refusal.BackendFailed: true, refusal.AnswerIncomplete: true,
		refusal.NoBackendServer: true, refusal.Internal: true, refusal.Deadline: false, refusal.BadRequest: false,
		refusal.OverRate: false, refusal.NoContext: false, refusal.Duplicate: false, refusal.AttemptsExhausted: false,
		refusal.UnknownKey: false, refusal.LedgerUnavailable: false, refusal.BodyIncomplete: false, "": false,
	}
	for reason, reasonRetryable := range retryableReasons {
		for _, ran := range []refusal.Ran{refusal.RanNo, refusal.RanMaybe, refusal.RanYes, ""} {
			combinations(func(idempotent, retried, replayable, elsewhere, attempts, inTime bool) {
				a := Try{
					Number: 1, Reason: reason, Ran: ran, Idempotent: idempotent, RetriedOnward: retried,
					BodyReplayable: replayable, OtherEndpointAdmits: elsewhere, Deadline: start,
				}
				if attempts {
					a.AttemptsLeft = 1
				}
				if inTime {
					a.Deadline = start.Add(time.Second)
				}
				safe := idempotent || ran == refusal.RanNo
				useful := reasonRetryable && (reason != refusal.Overload || elsewhere)
				want := safe && useful && !retried && replayable && attempts && inTime
				now := start
				_, got := newTestPolicy(&now, Config{}).Allow(a)
				assert.Equal(t, got, want, "%+v", a)
			})
		}
	}
}

var failedTry = Try{
	Number: 1, Importance: config.Critical, Reason: refusal.BackendFailed, Ran: refusal.RanMaybe, Idempotent: true, BodyReplayable: true, AttemptsLeft: 9,
}

// Guards against more retries than the ratio allows, and against retries that are not
// allowed but spend tokens.
func TestTokenBucket(t *testing.T) {
	now := start
	p := newTestPolicy(&now, Config{Ratio: 0.1, Burst: 2})
	allowed := func(n int) (count int) {
		for range n {
			if _, ok := p.Allow(failedTry); ok {
				count++
			}
		}
		return count
	}
	exhausted := failedTry
	exhausted.AttemptsLeft = 0
	_, ok := p.Allow(exhausted)
	assert.Assert(t, !ok)
	assert.Equal(t, allowed(10), 2)
	for range 10 {
		p.RecordCall()
	}
	assert.Equal(t, allowed(10), 1)
	for range 1000 {
		p.RecordCall()
	}
	assert.Equal(t, allowed(10), 2, "the bucket holds no more than the burst")
	now = now.Add(time.Second)
	assert.Equal(t, allowed(10), 1, "MinPerSecond")
}

// Guards against less important calls that use up the retries of important ones.
func TestReserve(t *testing.T) {
	now := start
	p := newTestPolicy(&now, Config{Burst: 8})
	for i := config.Low; i <= config.Critical; i++ {
		a := failedTry
		a.Importance = i
		n := 0
		for range 10 {
			if _, ok := p.Allow(a); ok {
				n++
			}
		}
		assert.Equal(t, n, 2, i.String())
	}
}

// Guards against a small bucket whose reserve for important calls is larger than what a
// less important call may ever take, so that such calls are never retried.
func TestReserveOfSmallBucket(t *testing.T) {
	for burst := 1; burst <= 4; burst++ {
		for i := config.Low; i <= config.Critical; i++ {
			now := start
			p := newTestPolicy(&now, Config{Burst: burst})
			a := failedTry
			a.Importance = i
			_, ok := p.Allow(a)
			assert.Assert(t, ok, "burst %d, importance %s", burst, i)
		}
	}
}

// Guards against a backoff that exceeds MaxBackoff or is the same for all callers, and
// against a delay that passes the deadline.
func TestDelay(t *testing.T) {
	now := start
	p := newTestPolicy(&now, Config{BaseBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond})
	for number, want := range map[int]time.Duration{
		0: 10 * time.Millisecond, 1: 10 * time.Millisecond, 2: 20 * time.Millisecond, 4: 80 * time.Millisecond,
		5: 100 * time.Millisecond, 70: 100 * time.Millisecond,
	} {
		got := p.Backoff(number)
		assert.Assert(t, got <= want && got > want-time.Microsecond, "try %d: %v", number, got)
	}
	p.cfg.Rand = func() float64 { return 0 }
	assert.Equal(t, p.Backoff(1), 5*time.Millisecond)

	a := failedTry
	a.Reason, a.Ran, a.RetryAfter = refusal.NoBackendServer, refusal.RanNo, 300*time.Millisecond
	d, ok := p.Allow(a)
	assert.Assert(t, ok)
	assert.Equal(t, d, 300*time.Millisecond)
	a.Deadline = start.Add(300 * time.Millisecond)
	_, ok = p.Allow(a)
	assert.Assert(t, !ok)
	a.OtherEndpointAdmits = true
	d, ok = p.Allow(a)
	assert.Assert(t, ok)
	assert.Equal(t, d, time.Duration(0))
}

func ExamplePolicy() {
	p := New(Config{})
	p.RecordCall()
	_, ok := p.Allow(Try{Number: 1, Reason: refusal.BackendFailed, Ran: refusal.RanMaybe, AttemptsLeft: 2, BodyReplayable: true})
	fmt.Println("order that may have run is retried:", ok)
	// Output: order that may have run is retried: false
}

// Guards against retries that the token bucket prevents although no backend server was
// reached, and against unlimited retries after overload refusals.
func TestRetryIsFreeIfBackendNotReached(t *testing.T) {
	for reason, limited := range map[refusal.Reason]bool{
		refusal.BackendFailed: false, refusal.NoBackendServer: false, refusal.WrongNode: false, refusal.Draining: false,
		refusal.Overload: true,
	} {
		now := start
		p := newTestPolicy(&now, Config{Ratio: 0.1, Burst: 2})
		a := failedTry
		a.Reason, a.Ran, a.BackendNotReached, a.OtherEndpointAdmits = reason, refusal.RanNo, true, true
		allowed := 0
		for range 10 {
			if _, ok := p.Allow(a); ok {
				allowed++
			}
		}
		assert.Equal(t, allowed < 10, limited, "%s", reason)
	}
}
