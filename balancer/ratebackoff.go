package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

// Bounds of the time for which an endpoint is avoided that has refused a call because the
// rate limit of its backend server was reached, in nanoseconds.
const (
	minRateBackoff = int64(500 * time.Millisecond)
	maxRateBackoff = int64(10 * time.Second)
)

// rateBackoff is an exponential backoff after refusals for a rate limit, which all nodes
// share: each of them tries less often the less it gets. Its times are in nanoseconds. An
// update that is lost between concurrent calls only delays the backoff.
type rateBackoff struct {
	duration atomic.Int64 // of the latest backoff; halved with each success
	until    atomic.Int64
}

// refused doubles the backoff and begins it. random varies its length.
func (b *rateBackoff) refused(now int64, random uint32) {
	d := min(max(2*b.duration.Load(), minRateBackoff), maxRateBackoff)
	b.duration.Store(d)
	b.until.Store(now + d/2 + int64(float64(d/2)*float64(random)/math.MaxUint32))
}

// succeeded shortens the next backoff.
func (b *rateBackoff) succeeded() {
	if d := b.duration.Load(); d > 0 {
		b.duration.Store(d / 2)
	}
}

func (b *rateBackoff) active(now int64) bool { return now < b.until.Load() }
