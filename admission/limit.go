package admission

import "math"

const (
	// minWindowDuration and minWindowSamples are the least time (nanoseconds) and the
	// least number of answers between two changes of the limit.
	minWindowDuration = int64(50e6)
	minWindowSamples  = 10
	// congestionFactor is the rise of latency over its lowest value that counts
	// as congestion. Below 2, ordinary variation between routes lowers the limit.
	congestionFactor = 2.0
	// decreaseFactor is applied to the limit in a congested window.
	decreaseFactor = 0.8
	// increaseFraction is the part of the bound that an uncongested window adds. With
	// windows of 50 ms, the limit returns from its floor within 0.4 s.
	increaseFraction = 0.125
	// minLatencyDrift is the part of the distance by which the lowest latency follows a
	// higher one in each window, so that an outdated value is forgotten.
	minLatencyDrift = 0.001
	// minLimitFraction is the lowest limit as a part of the bound.
	minLimitFraction = 0.1
	// minDecreaseEffect is the least part of the expected fall of latency after a decrease.
	// If latency falls by less, concurrency is not the cause of the slowness, and
	// a lower limit would only cost throughput.
	minDecreaseEffect = 0.5
	// maxShedFraction is the part of refused requests that counts as congestion.
	maxShedFraction = 0.02
	// meanWeight, serviceFallWeight and serviceRiseWeight are weights of a new latency in the
	// averages. The service time falls faster than it rises, so that it stays
	// near the lower quantiles and a healed backend server is noticed at once.
	meanWeight        = 1.0 / 16
	serviceFallWeight = 1.0 / 4
	serviceRiseWeight = 1.0 / 32
)

// limiter computes the concurrency limit from observed latencies, all in
// nanoseconds.
type limiter struct {
	fixed    bool
	maxLimit int
	limit    float64

	meanLatency     float64 // average latency
	serviceEstimate float64 // low estimate of the service time
	minLatency      float64 // lowest average latency of a window

	window               window
	windowBeforeDecrease window  // the window before the last decrease
	limitBeforeDecrease  float64 // limit before the last decrease; 0 means no decrease to judge
}

// window collects the observations between two changes of the limit.
type window struct {
	start        int64
	latencySum   float64
	samples      int
	shed         int
	peakInFlight int // highest number in flight
}

func (w *window) meanLatency() float64 { return w.latencySum / float64(max(w.samples, 1)) }

func (l *limiter) setMaxLimit(bound int) {
	full := l.limit >= float64(l.maxLimit)
	l.maxLimit = bound
	if full || l.limit > float64(bound) {
		l.limit = float64(bound)
	}
}

func (l *limiter) current() int { return int(l.limit) }

// serviceTime returns a low estimate of the service time.
func (l *limiter) serviceTime() int64 { return int64(l.serviceEstimate) }

func (l *limiter) recordInFlight(n int) { l.window.peakInFlight = max(l.window.peakInFlight, n) }

// observe records the end of a request. A failed request says nothing about the
// service time; a cancelled one says that it is at least the latency.
func (l *limiter) observe(now, latency int64, o Outcome) {
	v := float64(latency)
	switch {
	case l.limitBeforeDecrease > 0 && now-latency < l.window.start:
		// It started under the limit before the decrease that is to be judged.
	case o == Shed:
		l.window.shed++
	case o == OK, o == Cancelled && v > l.meanLatency:
		l.addSample(v)
	}
	if now-l.window.start >= minWindowDuration && l.window.samples+l.window.shed >= minWindowSamples {
		l.closeWindow(now)
	}
}

func (l *limiter) addSample(v float64) {
	l.window.latencySum += v
	l.window.samples++
	if l.meanLatency == 0 {
		l.meanLatency, l.serviceEstimate = v, v
		return
	}
	l.meanLatency += (v - l.meanLatency) * meanWeight
	if v < l.serviceEstimate {
		l.serviceEstimate += (v - l.serviceEstimate) * serviceFallWeight
	} else {
		l.serviceEstimate += (v - l.serviceEstimate) * serviceRiseWeight
	}
}

// closeWindow adjusts the limit to the observations of the window.
func (l *limiter) closeWindow(now int64) {
	w := l.window
	l.window = window{start: now}
	if l.fixed {
		return
	}
	if float64(w.shed) > maxShedFraction*float64(w.samples+w.shed) {
		l.setLimit(math.Min(l.limit, float64(w.peakInFlight)) * decreaseFactor)
		l.limitBeforeDecrease = 0
		return
	}
	latency := w.meanLatency()
	if l.limitBeforeDecrease > 0 && !l.decreaseHelped(latency) {
		l.limit, l.limitBeforeDecrease, l.minLatency = l.limitBeforeDecrease, 0, latency
		return
	}
	l.limitBeforeDecrease = 0
	if l.minLatency == 0 || latency < l.minLatency {
		l.minLatency = latency
	}
	l.minLatency += (latency - l.minLatency) * minLatencyDrift
	if latency > congestionFactor*l.minLatency && float64(w.peakInFlight) >= l.limit-1 {
		l.windowBeforeDecrease, l.limitBeforeDecrease = w, l.limit
		l.setLimit(l.limit * decreaseFactor)
		return
	}
	l.setLimit(l.limit + math.Max(1, increaseFraction*float64(l.maxLimit)))
}

// decreaseHelped reports whether latency fell along with the limit.
func (l *limiter) decreaseHelped(latency float64) bool {
	old := l.windowBeforeDecrease.meanLatency()
	expected := old * (1 - l.limit/l.limitBeforeDecrease)
	return old-latency >= minDecreaseEffect*expected
}

func (l *limiter) setLimit(v float64) {
	floor := math.Max(math.Min(1, float64(l.maxLimit)), minLimitFraction*float64(l.maxLimit))
	l.limit = math.Min(math.Max(v, floor), float64(l.maxLimit))
}

// rampStartFraction is the part of the limit at the beginning of a cold start.
const rampStartFraction = 0.2

// ramp lowers the limit of a backend server during its cold start.
type ramp struct{ start, duration int64 }

func (r *ramp) apply(now int64, limit int) int {
	passed := now - r.start
	if passed >= r.duration || limit == 0 {
		return limit
	}
	part := rampStartFraction + (1-rampStartFraction)*float64(passed)/float64(r.duration)
	return max(int(part*float64(limit)), 1)
}
