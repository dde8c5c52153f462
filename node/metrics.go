package node

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dotterelseam/dotterelseam/internal/pipeline"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// nodeMetrics holds the metrics of a node, whose names are part of GET /v1/metrics. It
// is safe for concurrent use.
type nodeMetrics struct {
	registry           metrics.Registry
	requests           metrics.Counter   // requests on the callers listener
	onward             metrics.Counter   // onward calls of the backend server
	answered           metrics.Counter   // responses forwarded completely
	aborted            metrics.Counter   // responses that broke off after their first byte
	retries            metrics.Counter   // tries after the first
	admissionWait      metrics.Histogram // time in the admission queue, microseconds
	latencies          sync.Map          // by service: time from a request to the end of its response, microseconds
	refusedByReason    map[refusal.Reason]metrics.Counter
	hopRefusedByReason map[refusal.Reason]metrics.Counter
}

func newNodeMetrics(r metrics.Registry) *nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	m := &nodeMetrics{
		registry: r, requests: counter("requests"), onward: counter("onward_calls"), answered: counter("answered"),
		aborted: counter("answers_aborted"), retries: counter("retries"),
		refusedByReason: map[refusal.Reason]metrics.Counter{}, hopRefusedByReason: map[refusal.Reason]metrics.Counter{},
	}
	m.admissionWait = metrics.NewRegisteredHistogram("admission_wait_us", r, newSample())
	for _, reason := range refusal.Reasons() {
		m.refusedByReason[reason] = counter("refused." + string(reason))
		m.hopRefusedByReason[reason] = counter("hop_refused." + string(reason))
	}
	return m
}

// registerRateLimit adds the limit that the backend server on this host names, rounded up;
// -1 means none.
func (m *nodeMetrics) registerRateLimit(current func() float64) {
	metrics.NewRegisteredFunctionalGauge("backend_rate_limit", m.registry, func() int64 {
		limit := current()
		if math.IsInf(limit, 1) {
			return -1
		}
		return int64(math.Ceil(limit))
	})
}

// registerConnections adds the metrics of the callers' connections.
func (m *nodeMetrics) registerConnections(stats func() pipeline.Stats) {
	metrics.NewRegisteredFunctionalGauge("caller_connections", m.registry, func() int64 { return stats().Open })
	metrics.NewRegisteredFunctionalGauge("caller_connections_accepted", m.registry, func() int64 { return stats().Accepted })
	metrics.NewRegisteredFunctionalGauge("caller_connections_quiet", m.registry, func() int64 { return stats().Quiet })
	metrics.NewRegisteredFunctionalGauge("caller_connections_displaced", m.registry, func() int64 { return stats().Displaced })
	metrics.NewRegisteredFunctionalGauge("caller_answer_bytes_kept", m.registry, func() int64 { return stats().Buffered })
	metrics.NewRegisteredFunctionalGauge("caller_accept_errors", m.registry, func() int64 { return stats().AcceptErrors })
}

// histogramSamples is the number of values that a histogram keeps.
const histogramSamples = 256

func newSample() metrics.Sample { return metrics.NewUniformSample(histogramSamples) }

// recordLatency records the time from a request to the end of its response.
func (m *nodeMetrics) recordLatency(service string, d time.Duration) {
	h, ok := m.latencies.Load(service)
	if !ok {
		h = metrics.GetOrRegisterHistogram("latency_us."+service, m.registry, newSample())
		m.latencies.Store(service, h)
	}
	h.(metrics.Histogram).Update(d.Microseconds())
}

func (m *nodeMetrics) countRefusal(r *refusal.Refusal) { inc(m.refusedByReason, r) }

func (m *nodeMetrics) countHopRefusal(r *refusal.Refusal) { inc(m.hopRefusedByReason, r) }

func inc(counters map[refusal.Reason]metrics.Counter, r *refusal.Refusal) {
	if c, ok := counters[r.Reason]; ok {
		c.Inc(1)
	}
}
