package admission

import "math"

const (
	// minWindowDuration (in nanoseconds) and minWindowSamples are the minimum
	// duration of a window and the minimum number of outcomes in it.
	minWindowDuration = int64(50e6)
	minWindowSamples  = 10
	// congestionFactor is the ratio of the latency to its minimum above which a
	// window counts as congested. Below 2, the ordinary variation between routes
	// would lower the limit.
	congestionFactor = 2.0
	// decreaseFactor multiplies the limit after a congested window.
	decreaseFactor = 0.8
	// increaseFraction is the fraction of the maximum by which the limit rises after
	// an uncongested window. With windows of 50 ms, the limit rises from its minimum
	// to its maximum within 0.4 s.
	increaseFraction = 0.125
	// minLatencyDrift is the fraction of the difference by which the minimum latency
	// approaches the latency of each window, so that an outdated minimum expires.
	minLatencyDrift = 0.001
	// minLimitFraction is the lowest limit as a fraction of the maximum.
	minLimitFraction = 0.1
	// minDecreaseEffect is the fraction of the expected fall in latency that a
	// decrease of the limit must achieve. If latency falls by less, concurrency is
	// not the cause of the high latency, and a lower limit would only cost
	// throughput.
	minDecreaseEffect = 0.5
	// maxShedFraction is the fraction of requests shed by the backend server above
	// which a window counts as congested.
	maxShedFraction = 0.02
	// meanWeight is the weight of a new sample in the average latency.
	// serviceFallWeight and serviceRiseWeight are its weights in the estimate of the
	// service time, which falls faster than it rises, so it approximates a low
	// quantile and falls quickly when the backend server recovers.
	meanWeight        = 1.0 / 16
	serviceFallWeight = 1.0 / 4
	serviceRiseWeight = 1.0 / 32
)

// limiter adapts the concurrency limit to the latency, by additive increase and
// multiplicative decrease. A decrease that does not lower the latency is undone. All
// times are in nanoseconds.
type limiter struct {
	fixed    bool
	maxLimit int
	limit    float64

	meanLatency     float64 // moving average
	serviceEstimate float64 // low estimate of the service time
	minLatency      float64 // lowest average latency of a window, with minLatencyDrift

	window               window
	windowBeforeDecrease window
	limitBeforeDecrease  float64 // 0 unless the effect of a decrease has still to be checked
}

// window collects the observations between two changes of the limit.
type window struct {
	start        int64
	latencySum   float64
	samples      int
	shed         int
	peakInFlight int
}

func (w *window) meanLatency() float64 { return w.latencySum / float64(max(w.samples, 1)) }

// setMaxLimit changes the maximum. A limit that was at the old maximum moves to the
// new one.
func (l *limiter) setMaxLimit(n int) {
	atMax := l.limit >= float64(l.maxLimit)
	l.maxLimit = n
	if atMax || l.limit > float64(n) {
		l.limit = float64(n)
	}
}

func (l *limiter) current() int { return int(l.limit) }

// serviceTime returns a low estimate of the service time, in nanoseconds.
func (l *limiter) serviceTime() int64 { return int64(l.serviceEstimate) }

func (l *limiter) recordInFlight(n int) { l.window.peakInFlight = max(l.window.peakInFlight, n) }

// observe records the end of a request. The latency of a failed request is ignored;
// that of a cancelled one is a lower bound.
func (l *limiter) observe(now, latency int64, o Outcome) {
	v := float64(latency)
	switch {
	case l.limitBeforeDecrease > 0 && now-latency < l.window.start:
		// The request was admitted before the decrease whose effect is to be checked.
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

// closeWindow adjusts the limit to the observations of the window and starts a new
// window.
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

// decreaseHelped reports whether the latency fell sufficiently after the last
// decrease of the limit.
func (l *limiter) decreaseHelped(latency float64) bool {
	old := l.windowBeforeDecrease.meanLatency()
	expected := old * (1 - l.limit/l.limitBeforeDecrease)
	return old-latency >= minDecreaseEffect*expected
}

func (l *limiter) setLimit(v float64) {
	floor := math.Max(math.Min(1, float64(l.maxLimit)), minLimitFraction*float64(l.maxLimit))
	l.limit = math.Min(math.Max(v, floor), float64(l.maxLimit))
}

// rampStartFraction is the fraction of the limit that applies at the beginning of a
// cold start.
const rampStartFraction = 0.2

// ramp lowers the limit of a backend server during its cold start. Its times are in
// nanoseconds.
type ramp struct{ start, duration int64 }

func (r *ramp) apply(now int64, limit int) int {
	elapsed := now - r.start
	if elapsed >= r.duration || limit == 0 {
		return limit
	}
	fraction := rampStartFraction + (1-rampStartFraction)*float64(elapsed)/float64(r.duration)
	return max(int(fraction*float64(limit)), 1)
}
