// Package overhead measures the latency that nodes add to a call. It compares calls
// directly to a backend server, through the node on its host, and through an entry
// node and that node. Everything runs in one process over loopback HTTP.
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
	sliceDuration  = time.Second            // load on one path in each round
	warmUpDuration = 500 * time.Millisecond // per path, not measured
	maxInFlight    = 4 * CallsPerSecond     // the experiment fails above it
)

// Result holds latencies in microseconds and the rate of completed calls, which is
// about CallsPerSecond, and lower if the machine was too slow. Each latency is the
// median of the rounds' percentiles, so that a disturbance during one round does not
// affect it.
type Result struct {
	DirectP50      float64 `json:"direct_p50_us"`
	DirectP99      float64 `json:"direct_p99_us"`
	OneNodeP50     float64 `json:"one_node_p50_us"`
	OneNodeP99     float64 `json:"one_node_p99_us"`
	TwoNodeP50     float64 `json:"two_node_p50_us"`
	TwoNodeP99     float64 `json:"two_node_p99_us"`
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Run makes the measurement, which takes a little over 20 s. The three paths are
// measured in turn in each round, so that slow changes of the machine's speed affect
// all paths alike. Errors of the load are of class Error; errors of starting the
// nodes may be of other classes.
func Run(ctx context.Context) (Result, error) { return run(ctx, rounds, sliceDuration) }

func run(ctx context.Context, rounds int, slice time.Duration) (Result, error) {
	tb, err := newTestbed(defaultAnswerBytes)
	if err != nil {
		return Result{}, err
	}
	defer tb.close()
	urls := []string{tb.direct, tb.oneNode, tb.twoNodes}
	for _, url := range urls {
		if _, err := tb.sendLoad(ctx, url, min(warmUpDuration, slice)); err != nil {
			return Result{}, err
		}
	}
	p50s, p99s := make([][]float64, len(urls)), make([][]float64, len(urls))
	started, count := time.Now(), 0
	for range rounds {
		for i, url := range urls {
			latencies, err := tb.sendLoad(ctx, url, slice)
			if err != nil {
				return Result{}, err
			}
			p50, p99 := percentiles(latencies)
			p50s[i], p99s[i] = append(p50s[i], p50), append(p99s[i], p99)
			count += len(latencies)
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
func percentiles(latencies []time.Duration) (p50, p99 float64) {
	slices.Sort(latencies)
	quantile := func(p float64) float64 {
		return float64(latencies[int(p*float64(len(latencies)-1))].Nanoseconds()) / 1e3
	}
	return quantile(0.50), quantile(0.99)
}

func median(v []float64) float64 {
	slices.Sort(v)
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}
