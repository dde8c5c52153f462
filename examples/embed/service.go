package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/retry"
)

const (
	requestTimeout = time.Second // of a request with its retries, of one call and of the shutdown
	maxAttempts    = 3           // calls of the catalogue for one request
	slots          = 32          // requests at the same time
	maxPriceBytes  = 1 << 10     // read from an answer of the catalogue
)

// importance of the requests of each workspace; others are Low. A real service would
// set it for each route.
var importance = map[string]config.Importance{"farm": config.High, "joinery": config.Normal}

// service handles GET /price.
type service struct {
	catalogue string // base URL
	admission *admission.Controller
	quota     *quota.Service
	retries   *retry.Policy
	client    *http.Client
}

func newService(catalogue string) *service {
	s := &service{
		catalogue: catalogue, client: &http.Client{Timeout: requestTimeout},
		admission: admission.New(admission.Config{Slots: slots}),
		retries:   retry.New(retry.Config{}),
		quota: quota.New(quota.Config{
			Node: "embed-1", Incarnation: uint64(time.Now().UnixNano()), DataCentre: "here",
			// With several processes, use a platform.Client as Table and a peer.Mesh as
			// Transport; the processes together then keep to the rates.
			Table: newTable(), Transport: noTransport{}, Members: func() []string { return []string{"embed-1"} },
		}),
	}
	s.quota.Configure(1, &config.Fleet{
		DataCentres: []config.DataCentre{{Name: "here", Region: "here", Share: 1}},
		Workspaces:  []config.Workspace{{Name: "farm", Rate: 20, Burst: 10}, {Name: "joinery", Rate: 5, Burst: 5}},
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	price, err := s.price(ctx, r.Header.Get("Workspace"))
	if err != nil {
		refusal.Write(w, refusal.FromError(err))
		return
	}
	_, _ = w.Write(price) // a write error means that the caller has closed the connection
}

// price charges the quota of the workspace, waits for admission and reads the price
// from the catalogue. The error is a *refusal.Refusal.
func (s *service) price(ctx context.Context, workspace string) ([]byte, error) {
	charge, err := s.quota.Bucket.Charge(ctx, workspace)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	ticket, err := s.admission.Acquire(ctx, admission.Request{
		Importance: importance[workspace], Workspace: workspace, Deadline: deadline,
	})
	if err != nil {
		charge.Return() // the request did not run, so it does not count
		return nil, err
	}
	charge.Sent()
	body, refused := s.fetchPrice(ctx, deadline)
	switch {
	case refused == nil:
		ticket.Release(admission.OK)
		return body, nil
	case ctx.Err() != nil:
		ticket.Release(admission.Cancelled)
	default:
		ticket.Release(admission.Failed)
	}
	return nil, refused
}

// fetchPrice reads the price from the catalogue and retries after a failure if the
// policy allows it.
func (s *service) fetchPrice(ctx context.Context, deadline time.Time) ([]byte, *refusal.Refusal) {
	s.retries.RecordCall()
	for attempt := 1; ; attempt++ {
		body, err := s.fetchPriceOnce(ctx)
		if err == nil {
			return body, nil
		}
		refused := refusal.NewRan(refusal.BackendFailed, refusal.RanMaybe, "catalogue: %v", err)
		wait, ok := s.retries.Allow(retry.Try{
			Number: attempt, Reason: refused.Reason, Ran: refused.Ran, Idempotent: true, BodyReplayable: true,
			AttemptsLeft: maxAttempts - attempt, Deadline: deadline,
		})
		if !ok {
			return nil, refused
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, refused
		}
	}
}

func (s *service) fetchPriceOnce(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.catalogue, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxPriceBytes))
}
