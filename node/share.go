package node

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// shareAge is how long a share told by a destination is used as it is; then it
	// rises by shareRise a second, because nothing may come to tell a new one.
	shareAge  = time.Second
	shareRise = 0.2
	// shareWeight is the least weight of a newly told share in the average over the
	// destinations, and failingWeight that of a newly told part of failing calls.
	shareWeight   = 0.2
	failingWeight = 0.05
	// toldMemory is the time constant of both averages, so that nodes with few
	// requests follow as fast as others.
	toldMemory = 200 * time.Millisecond
	// shareRetryAfter is told to callers that a share keeps out. It is about the
	// time in which a share changes noticeably.
	shareRetryAfter = time.Second
	// onwardRecent is how long refused onward calls explain a failed request, and
	// onwardCount how many there must have been in that time.
	onwardRecent = 500 * time.Millisecond
	onwardCount  = 3
)

// shares holds, for the routes of a service, which share of the requests its
// destinations can complete at present.
type shares struct{ byKey sync.Map }

type shareKey struct {
	route      string
	importance config.Importance
}

type toldShare struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// note takes over a share told by a destination; 0 means that it told none.
func (s *shares) note(route string, i config.Importance, told float64, now time.Time) {
	if told <= 0 {
		return
	}
	key := shareKey{route, i}
	v, ok := s.byKey.Load(key)
	if !ok {
		if told >= 1 {
			return
		}
		v, _ = s.byKey.LoadOrStore(key, &toldShare{value: 1, at: now})
	}
	share := v.(*toldShare)
	share.mu.Lock()
	defer share.mu.Unlock()
	share.value += (told - share.value) * toldWeight(shareWeight, now.Sub(share.at))
	share.at = now
}

// toldWeight returns the weight of a told value that comes some time after the one
// before.
func toldWeight(least float64, after time.Duration) float64 {
	return max(least, 1-math.Exp(-after.Seconds()/toldMemory.Seconds()))
}

// admits draws whether a request is within the share.
func (s *shares) admits(route string, i config.Importance, now time.Time) bool {
	v, ok := s.byKey.Load(shareKey{route, i})
	if !ok {
		return true
	}
	share := v.(*toldShare)
	share.mu.Lock()
	value := share.value
	if age := now.Sub(share.at) - shareAge; age > 0 {
		value += shareRise * age.Seconds()
	}
	share.mu.Unlock()
	return value >= 1 || rand.Float64() < value
}

var errShare = refusal.New(refusal.Overload, "a service further down is overloaded").WithRetryAfter(shareRetryAfter)

// onwardOverload remembers the latest onward calls that failed for overload,
// where nothing tells which request an onward call belongs to.
type onwardOverload struct {
	next atomic.Uint32
	at   [onwardCount]atomic.Int64

	mu      sync.Mutex
	failing map[string]*toldFailing // by service
}

// toldFailing is which part of calls to a service is told to fail.
type toldFailing struct {
	value float64
	at    time.Time
}

// told takes over which part of the calls to a service fails for overload.
func (o *onwardOverload) told(service string, failing float64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failing == nil {
		o.failing = map[string]*toldFailing{}
	}
	f := o.failing[service]
	if f == nil {
		f = &toldFailing{at: now}
		o.failing[service] = f
	}
	f.value += (failing - f.value) * toldWeight(failingWeight, now.Sub(f.at))
	f.at = now
}

// refusing returns the highest part of calls to any service that fails at present.
func (o *onwardOverload) refusing(now time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	most := 0.0
	for _, f := range o.failing {
		if now.Sub(f.at) < shareAge {
			most = max(most, f.value)
		}
	}
	return most
}

func (o *onwardOverload) note(now time.Time) {
	o.at[o.next.Add(1)%onwardCount].Store(now.UnixNano())
}

// recent reports whether several onward calls failed for overload lately.
func (o *onwardOverload) recent(now time.Time) bool {
	for i := range o.at {
		if now.UnixNano()-o.at[i].Load() > int64(onwardRecent) {
			return false
		}
	}
	return true
}
