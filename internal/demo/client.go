package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	lookupPath    = "/stockroom/stock/m6-bolt"
	orderPath     = "/orderbook/orders"
	callerTimeout = 5 * time.Second
)

// caller is an HTTP client that sends requests of a workspace to nodes.
type caller struct{ client *http.Client }

func newCaller() caller {
	return caller{&http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

type request struct {
	method, path, key, id, body string
}

// response is the result of a request.
type response struct {
	status   int
	reason   refusal.Reason // empty if the request was not refused
	ran      refusal.Ran
	replayed bool
	took     time.Duration
	err      error
}

func (r response) String() string {
	took := r.took.Round(100 * time.Microsecond)
	switch {
	case r.err != nil:
		return fmt.Sprintf("failed after %v: %v", took, r.err)
	case r.reason != "":
		return fmt.Sprintf("%d %s, ran: %s (%v)", r.status, r.reason, r.ran, took)
	case r.replayed:
		return fmt.Sprintf("%d, replayed from the recorded response (%v)", r.status, took)
	}
	return fmt.Sprintf("%d (%v)", r.status, took)
}

// send sends one request to the callers listener of the node of h.
func (c caller) send(ctx context.Context, h *host, r request) (a response) {
	begin := time.Now()
	defer func() { a.took = time.Since(begin) }()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.settings.Addresses.Callers+r.path, strings.NewReader(r.body))
	if err != nil {
		return response{err: err}
	}
	for name, value := range map[string]string{"Dotterel-Key": r.key, "Dotterel-Request-Id": r.id} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return response{
		status: resp.StatusCode, reason: refusal.Reason(resp.Header.Get(refusal.HeaderReason)),
		ran: refusal.Ran(resp.Header.Get(refusal.HeaderRan)), replayed: resp.Header.Get("Dotterel-Replayed") == "true", err: err,
	}
}

// sendWithRetry retries a request while it is refused with over_rate. The token
// buckets of a new fleet are empty, so its first requests may be refused. err is set
// only if the retries time out; other failures are reported in the response.
func (c caller) sendWithRetry(ctx context.Context, h *host, r request) (a response, err error) {
	err = poll(ctx, func() error {
		if a = c.send(ctx, h, r); a.reason == refusal.OverRate {
			return fmt.Errorf("%s %s: %v", r.method, r.path, a)
		}
		return nil
	})
	return a, err
}
