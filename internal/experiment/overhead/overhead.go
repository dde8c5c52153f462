// Package overhead measures the latency that nodes add to a call: directly to
// a backend server, through the node on its host, and through an entry node
// and that node. Everything runs in one process over loopback HTTP.
package overhead

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error groups the errors of this package.
var Error = errs.Class("overhead")

// The load of the experiment.
const (
	CallsPerSecond = 2000
	rounds         = 7
	sliceTime      = time.Second            // load on one path before the next one's turn
	warmUp         = 500 * time.Millisecond // per path, not measured
	maxPending     = 4 * CallsPerSecond     // calls in flight that end the experiment
)

// Result holds latencies in microseconds and the rate of calls that were
// completed, which is CallsPerSecond unless the machine could not keep up. Each
// latency is the median of the rounds' percentiles, so that a disturbance
// during one round does not decide it.
type Result struct {
	DirectP50      float64 `json:"direct_p50_us"`
	DirectP99      float64 `json:"direct_p99_us"`
	OneNodeP50     float64 `json:"one_node_p50_us"`
	OneNodeP99     float64 `json:"one_node_p99_us"`
	TwoNodeP50     float64 `json:"two_node_p50_us"`
	TwoNodeP99     float64 `json:"two_node_p99_us"`
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Run makes the measurement, which takes about 23 s. The three paths take
// turns, so that a disturbance of the machine meets all of them.
func Run(ctx context.Context) (Result, error) { return run(ctx, rounds, sliceTime) }

func run(ctx context.Context, rounds int, slice time.Duration) (Result, error) {
	b, err := newBench(answerBytes)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	urls := []string{b.direct, b.oneNode, b.twoNodes}
	for _, url := range urls {
		if _, err := b.load(ctx, url, min(warmUp, slice)); err != nil {
			return Result{}, err
		}
	}
	p50s, p99s := make([][]float64, len(urls)), make([][]float64, len(urls))
	started, count := time.Now(), 0
	for range rounds {
		for i, url := range urls {
			l, err := b.load(ctx, url, slice)
			if err != nil {
				return Result{}, err
			}
			p50, p99 := percentiles(l)
			p50s[i], p99s[i] = append(p50s[i], p50), append(p99s[i], p99)
			count += len(l)
		}
	}
	return Result{
		DirectP50: median(p50s[0]), DirectP99: median(p99s[0]),
		OneNodeP50: median(p50s[1]), OneNodeP99: median(p99s[1]),
		TwoNodeP50: median(p50s[2]), TwoNodeP99: median(p99s[2]),
		CallsPerSecond: float64(count) / time.Since(started).Seconds(),
	}, nil
}

// percentiles returns p50 and p99 in microseconds.
func percentiles(l []time.Duration) (p50, p99 float64) {
	slices.Sort(l)
	at := func(p float64) float64 { return float64(l[int(p*float64(len(l)-1))].Nanoseconds()) / 1e3 }
	return at(0.50), at(0.99)
}

func median(v []float64) float64 {
	slices.Sort(v)
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}
