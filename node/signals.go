package node

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/peer"
)

// observeSignals applies what the backend server says about itself in the response to a
// request that was sent at sentAt.
func (d *delivery) observeSignals(resp *http.Response, sentAt time.Time) {
	signals := d.node.cfg.Protocol.Signals(resp)
	if signals.Leaving {
		d.draining = true
		d.node.noteBackendLeaving(d.backend, "answer")
	}
	log, b := d.node.log, d.backend
	if signals.UnreadableLeaving != "" {
		log.sampled("leaving_not_readable", "service", b.Service, "instance", b.Instance, "value", signals.UnreadableLeaving)
	}
	if signals.UnreadableLimit != "" {
		log.sampled("limit_not_readable", "service", b.Service, "instance", b.Instance, "value", signals.UnreadableLimit)
		return
	}
	if before, changed := b.admission.ObserveRateLimit(sentAt, signals.RateLimit); changed {
		log.sampled("backend_limited", "request_id", d.logID(), "service", b.Service, "instance", b.Instance,
			"per_second", signals.RateLimit, "before", before)
	}
}

// learnReport applies a report that another node has received from this host, if it is of
// the same start of the backend server.
func (d *delivery) learnReport(r *peer.BackendReport) {
	b := d.node.backend.reported(r)
	if b == nil {
		return
	}
	if r.Leaving {
		d.node.noteBackendLeaving(b, "report")
	}
	if math.IsNaN(r.RateLimit) || r.RateLimit < 0 {
		return
	}
	if b.admission.LearnRateLimit(r.RateLimit) {
		d.node.log.sampled("backend_limited", "service", b.Service, "instance", b.Instance, "per_second", r.RateLimit, "heard_from", d.hop.SenderAddress)
	}
}

// backendReportLifetime bounds the memory for reports of hosts that are gone. A host in
// use reports with each result.
const backendReportLifetime = time.Hour

// backendReports holds the latest report of the backend server on each host, by node ID.
// It is safe for concurrent use.
type backendReports struct{ byNode sync.Map }

// receivedReport is a value of backendReports.
type receivedReport struct {
	*peer.BackendReport
	at time.Time
}

// get returns the latest report, or nil if there is none.
func (b *backendReports) get(node string) *peer.BackendReport {
	v, ok := b.byNode.Load(node)
	if !ok {
		return nil
	}
	return v.(receivedReport).BackendReport
}

// record keeps the report of a result. A result of a node without a backend server says
// nothing about it.
func (b *backendReports) record(node string, result *peer.HopResult, now time.Time) {
	if result.Threshold.Limit == 0 {
		return
	}
	if result.Backend == nil {
		b.byNode.Delete(node)
		return
	}
	if _, known := b.byNode.Swap(node, receivedReport{result.Backend, now}); !known {
		b.removeExpired(now)
	}
}

func (b *backendReports) removeExpired(now time.Time) {
	b.byNode.Range(func(node, v any) bool {
		if now.Sub(v.(receivedReport).at) > backendReportLifetime {
			b.byNode.Delete(node)
		}
		return true
	})
}
