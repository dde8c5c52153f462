package node

import (
	"net/http"
	"time"
)

// observeSignals applies what the backend server says about itself in the response to a
// request that was sent at sentAt.
func (d *delivery) observeSignals(resp *http.Response, sentAt time.Time) {
	signals := d.node.cfg.Protocol.Signals(resp)
	log, b := d.node.log, d.backend
	if signals.Unreadable != "" {
		log.sampled("limit_not_readable", "service", b.Service, "instance", b.Instance, "value", signals.Unreadable)
		return
	}
	if before, changed := b.admission.ObserveRateLimit(sentAt, signals.RateLimit); changed {
		log.sampled("backend_limited", "request_id", d.logID(), "service", b.Service, "instance", b.Instance,
			"per_second", signals.RateLimit, "before", before)
	}
}
