package quota

import (
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

// measure compares the received requests with the bound (rate × window + burst) and
// with those that a single token bucket, which sees all arrivals, would admit.
func (l *loadGenerator) measure(mode string) Result {
	r := Result{Mode: mode, WorstWorkspaceRatio: 1}
	var reference, shortfall [2]float64 // index 0: without faults, 1: with faults
	for i, w := range l.workspaces {
		arrivals := l.arrivals[i]
		r.Requests += len(arrivals)
		received := receivedTimes(arrivals)
		r.Received += len(received)
		r.MaxOverBoundRatio = max(r.MaxOverBoundRatio, maxOverBound(received, w))
		admitted := admittedByReference(arrivals, w)
		for phase := range 2 {
			from, to := l.phaseEnds[phase], l.phaseEnds[phase+1]
			want, got := countBetween(admitted, from, to), countReceived(arrivals, from, to)
			reference[phase] += want
			shortfall[phase] += max(0, want-got)
			if phase == 0 && want > 0 && got/want < r.WorstWorkspaceRatio {
				r.WorstWorkspaceRatio, r.WorstWorkspace = got/want, w.Name
			}
		}
	}
	r.WronglyRefusedRatio = shortfall[0] / reference[0]
	r.WronglyRefusedFaultsRatio = shortfall[1] / reference[1]
	return r
}

func receivedTimes(arrivals []arrival) []time.Duration {
	var out []time.Duration
	for _, a := range arrivals {
		if a.received > 0 {
			out = append(out, a.received)
		}
	}
	slices.Sort(out)
	return out
}

// maxOverBound returns the largest ratio of received requests to rate × window +
// burst, over all windows that begin and end with a received request.
func maxOverBound(times []time.Duration, w config.Workspace) float64 {
	highest := 0.0
	for i := range times {
		for j := i; j < len(times); j++ {
			bound := w.Rate*(times[j]-times[i]).Seconds() + w.Burst
			highest = max(highest, float64(j-i+1)/bound)
		}
	}
	return highest
}

// admittedByReference returns the arrivals that a single token bucket admits. It
// starts empty, like the buckets of the nodes.
func admittedByReference(arrivals []arrival, w config.Workspace) []time.Duration {
	times := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		times[i] = a.at
	}
	slices.Sort(times)
	var out []time.Duration
	level, last := 0.0, time.Duration(0)
	for _, at := range times {
		level, last = min(w.Burst, level+w.Rate*(at-last).Seconds()), at
		if level >= 1 {
			level--
			out = append(out, at)
		}
	}
	return out
}

func countBetween(times []time.Duration, from, to time.Duration) float64 {
	n := 0.0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// countReceived counts the received requests that arrived in [from, to).
func countReceived(arrivals []arrival, from, to time.Duration) float64 {
	n := 0.0
	for _, a := range arrivals {
		if a.received > 0 && a.at >= from && a.at < to {
			n++
		}
	}
	return n
}
