package publish_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
)

var ctx = context.Background()

// document returns a valid document; documents of different rates differ.
func document(rate float64) *config.Document {
	return &config.Document{Fleet: config.Fleet{
		DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
		Workspaces:  []config.Workspace{{Name: "farm", Rate: rate, Burst: 1}},
		Keys:        config.KeyPolicy{CutOffLimit: config.DefaultCutOffLimit},
	}}
}

func startPlatform(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	p := standin.NewPlatform()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, srv.URL
}

func newClient(url string) *platform.Client {
	return platform.New(platform.Config{URL: url, BackoffBase: time.Millisecond, BreakerFailures: 1000})
}

// hookedClient runs hooks before and after the write of the row and counts the
// writes.
type hookedClient struct {
	*platform.Client
	before, after func()
	puts          int
}

func (h *hookedClient) Put(ctx context.Context, key string, v uint64, value []byte) (uint64, error) {
	h.puts++
	if h.before != nil {
		h.before()
	}
	version, err := h.Client.Put(ctx, key, v, value)
	if h.after != nil {
		h.after()
	}
	return version, err
}

// Guards against a publish whose outcome is misreported, or whose row is written
// twice, when the platform fails during the write of the row.
func TestRowWriteFaults(t *testing.T) {
	for _, tc := range []struct {
		name              string
		before, after     standin.PlatformFaults
		rivalAfter        float64 // rate that another operator publishes after the write was sent; 0: none
		rivalBefore       float64 // rate that another operator publishes before the write; 0: none
		secondRivalBefore float64 // rate that is published after rivalBefore; 0: none
		want              *errs.Class
		version           uint64 // in the platform at the end, and in a conflict error
	}{
		{name: "no fault", version: 2},
		{name: "down", before: standin.PlatformFaults{Down: true}, after: standin.PlatformFaults{}, want: &publish.ErrUnavailable, version: 1},
		{name: "answer lost after the write", before: standin.PlatformFaults{DropAnswers: 1}, version: 2},
		{name: "answer lost, then superseded", before: standin.PlatformFaults{DropAnswers: 1}, rivalAfter: 3, want: &publish.ErrUnknownOutcome, version: 3},
		{name: "answer lost, then down", before: standin.PlatformFaults{DropAnswers: 1}, after: standin.PlatformFaults{Down: true}, want: &publish.ErrUnknownOutcome, version: 2},
		{name: "lost before the write", before: standin.PlatformFaults{DropRequests: 1}, want: &publish.ErrUnknownOutcome, version: 1},
		{name: "lost before the write, then superseded", before: standin.PlatformFaults{DropRequests: 1}, rivalAfter: 3, want: &publish.ErrConflict, version: 2},
		{name: "conflict", rivalBefore: 3, want: &publish.ErrConflict, version: 2},
		{name: "conflict with two later versions", rivalBefore: 3, secondRivalBefore: 4, want: &publish.ErrConflict, version: 3},
		{name: "another published the same", rivalBefore: 2, version: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, url := startPlatform(t)
			_, err := publish.Publish(ctx, newClient(url), 0, document(1))
			assert.NilError(t, err)
			other := func(rates ...float64) {
				for _, rate := range rates {
					if rate > 0 {
						now, err := publish.ReadCurrent(ctx, newClient(url))
						assert.NilError(t, err)
						_, err = publish.Publish(ctx, newClient(url), now.Version, document(rate))
						assert.NilError(t, err)
					}
				}
			}
			h := &hookedClient{Client: newClient(url)}
			h.before = func() { other(tc.rivalBefore, tc.secondRivalBefore); p.SetFaults(tc.before) }
			h.after = func() { p.SetFaults(standin.PlatformFaults{}); other(tc.rivalAfter); p.SetFaults(tc.after) }
			got, err := publish.Publisher{Client: h, Pause: func(context.Context, time.Duration) {}}.Publish(ctx, 1, document(2))
			assert.Equal(t, h.puts, 1)
			p.SetFaults(standin.PlatformFaults{})
			current, readErr := publish.ReadCurrent(ctx, newClient(url))
			assert.NilError(t, readErr)
			assert.Equal(t, current.Version, tc.version)
			if tc.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, got, current)
				return
			}
			assert.Assert(t, tc.want.Has(err), "%v", err)
			if publish.ErrUnknownOutcome.Has(err) && tc.rivalAfter == 0 { // docs/operators/publishing.md promises that publishing again is safe
				again, err := publish.Publish(ctx, newClient(url), 1, document(2))
				assert.NilError(t, err)
				assert.Equal(t, again.Version, uint64(2))
			}
			var conflict *publish.ConflictError
			if errors.As(err, &conflict) {
				assert.Equal(t, conflict.Current, current)
			}
		})
	}
}

// Guards against an outage that is reported as an unknown outcome although the
// row was never written.
func TestObjectWriteFaults(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down":            {Down: true},
		"slow":            {Delay: 500 * time.Millisecond},
		"answers lost":    {DropAnswers: 3},
		"requests lost":   {DropRequests: 3},
		"one answer lost": {DropAnswers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, url := startPlatform(t)
			p.SetFaults(faults)
			cfg := platform.Config{URL: url, BackoffBase: time.Millisecond}
			if faults.Delay > 0 {
				cfg.CallTimeout = faults.Delay / 5 // well below the delay, so that calls time out on any machine
			}
			c := platform.New(cfg)
			got, err := publish.Publish(ctx, c, 0, document(1))
			p.SetFaults(standin.PlatformFaults{})
			present, readErr := publish.ReadCurrent(ctx, newClient(url))
			assert.NilError(t, readErr)
			if name == "one answer lost" { // writes of objects are idempotent and are retried
				assert.NilError(t, err)
				assert.Equal(t, present, got)
				return
			}
			assert.Assert(t, publish.ErrUnavailable.Has(err), "%v", err)
			assert.Equal(t, present.Version, uint64(0))
		})
	}
}

// Guards against two concurrent operators who are both told that their document
// was published, and against a version whose document nodes cannot fetch.
func TestRacingOperators(t *testing.T) {
	_, url := startPlatform(t)
	const operators = 8
	results, failures := make([]publish.Current, operators), make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { results[i], failures[i] = publish.Publish(ctx, newClient(url), 0, document(float64(i+1))) })
	}
	wg.Wait()
	winners := 0
	for i, err := range failures {
		if err != nil {
			assert.Assert(t, publish.ErrConflict.Has(err), "%v", err)
			continue
		}
		winners++
		s, err := publish.ReadSnapshot(ctx, newClient(url))
		assert.NilError(t, err)
		assert.Equal(t, publish.Current{Version: s.Version, Digest: s.Digest}, results[i])
		assert.Equal(t, s.Document.Fleet.Workspaces[0].Rate, float64(i+1))
	}
	assert.Equal(t, winners, 1)
}

// Guards against invalid documents that are published and malformed rows that are
// accepted.
func TestInvalid(t *testing.T) {
	p, url := startPlatform(t)
	_, err := publish.Publish(ctx, newClient(url), 0, &config.Document{})
	assert.Assert(t, publish.ErrInvalid.Has(err), "%v", err)
	_, writes := p.Calls()
	assert.Equal(t, writes, uint64(0))
	_, err = newClient(url).Put(ctx, publish.RowKey, 0, []byte("x"))
	assert.NilError(t, err)
	_, err = publish.ReadCurrent(ctx, newClient(url))
	assert.Assert(t, publish.ErrMalformed.Has(err), "%v", err)
}

func ExamplePublish() {
	srv := httptest.NewServer(standin.NewPlatform().Handler())
	defer srv.Close()
	client := platform.New(platform.Config{URL: srv.URL})
	first, err := publish.Publish(ctx, client, 0, document(1))
	fmt.Println(first.Version, err)
	_, err = publish.Publish(ctx, client, 0, document(2))
	fmt.Println(publish.ErrConflict.Has(err))
	// Output:
	// 1 <nil>
	// true
}
