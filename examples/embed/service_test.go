package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// get returns the body of the answer, or the refusal if the request was refused.
func get(t *testing.T, url, workspace string) (string, *refusal.Refusal) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Header.Set("Workspace", workspace)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if r, ok := refusal.Parse(resp.Header, body); ok {
		return "", r
	}
	return string(body), nil
}

// getWithinQuota repeats a request while it is refused as over_rate: the quota share
// of a node starts empty and grows with the demand.
func getWithinQuota(t *testing.T, url string) (string, *refusal.Refusal) {
	t.Helper()
	for range 1000 {
		body, refused := get(t, url, "farm")
		if refused == nil || refused.Reason != refusal.OverRate {
			return body, refused
		}
		time.Sleep(refused.RetryAfter)
	}
	t.Fatal("farm got no quota")
	return "", nil
}

// start serves the example with the given catalogue and returns its base URL.
func start(t *testing.T, catalogue http.HandlerFunc) (*service, string) {
	t.Helper()
	c := httptest.NewServer(catalogue)
	t.Cleanup(c.Close)
	s := newService(c.URL)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.quota.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

// Guards the example: a failure of the catalogue is retried, a workspace without a
// rate is refused, and a service without a free slot refuses requests as not run.
func TestService(t *testing.T) {
	var calls atomic.Int64
	s, url := start(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "4.20")
	})
	body, refused := getWithinQuota(t, url)
	assert.Assert(t, refused == nil, "%v", refused)
	assert.Equal(t, body, "4.20")
	assert.Equal(t, calls.Load(), int64(2))

	_, refused = get(t, url, "unknown")
	assert.Equal(t, refused.Reason, refusal.OverRate)
	assert.Equal(t, calls.Load(), int64(2))

	var held []admission.Ticket
	for range slots {
		ticket, err := s.admission.Acquire(context.Background(), admission.Request{Importance: config.Critical})
		if err != nil {
			break // the concurrency limit starts below the number of slots
		}
		held = append(held, ticket)
		if s.admission.Threshold().InFlight >= s.admission.Threshold().Limit {
			break
		}
	}
	_, refused = getWithinQuota(t, url)
	assert.Equal(t, refused.Ran, refusal.RanNo)
	assert.Equal(t, calls.Load(), int64(2))
	for _, ticket := range held {
		ticket.Release(admission.OK)
	}
}

// Guards against unbounded retries while the catalogue is down.
func TestServiceGivesUp(t *testing.T) {
	var calls atomic.Int64
	_, url := start(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		http.Error(w, "down", http.StatusInternalServerError)
	})
	_, refused := getWithinQuota(t, url)
	assert.Equal(t, refused.Reason, refusal.BackendFailed)
	assert.Equal(t, refused.Ran, refusal.RanMaybe)
	assert.Equal(t, calls.Load(), int64(maxAttempts))
}
