package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/store"
)

// backend is what the backend server does with a request that reaches it.
type backend int

const (
	answers backend = iota
	failsBefore
	failsAfter
)

// site is one node with its own ledger and platform client.
type site struct {
	ledger *ledger.Ledger
	runs   *atomic.Int64
}

type world struct {
	t        *testing.T
	platform *standin.Platform
	url      string
	runs     atomic.Int64
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, platform: standin.NewPlatform()}
	srv := httptest.NewServer(w.platform.Handler())
	t.Cleanup(srv.Close)
	w.url = srv.URL
	return w
}

// site returns a node of its own; nodes share nothing but the platform, so
// another node and another data centre are the same to the ledger.
func (w *world) site() site {
	client := platform.New(platform.Config{URL: w.url, CallTimeout: 100 * time.Millisecond, BackoffBase: time.Millisecond, BreakerFailures: 1 << 30})
	return site{ledger.New(client), &w.runs}
}

var request = ledger.Request{Workspace: "farm", RequestID: "order/../1", Digest: [32]byte{1}}

const recorded = "order 1 placed"

// send plays the part of a node: it begins, runs and reports one request. It
// returns "run", "replayed" or the refusal as "reason ran".
func (s site) send(r ledger.Request, b backend) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	entry, answer, err := s.ledger.Begin(ctx, r)
	if err != nil {
		refused := refusal.FromError(err)
		return fmt.Sprintf("%s %s", refused.Reason, refused.Ran)
	}
	if answer != nil {
		return "replayed " + string(answer.Body)
	}
	defer func() { _ = s.ledger.Close(ctx) }()
	switch b {
	case failsBefore:
		entry.Abandon(ctx)
		return "not run"
	case failsAfter:
		s.runs.Add(1)
		entry.KeepStarted()
		return "backend_failed maybe"
	}
	s.runs.Add(1)
	entry.Done(ledger.Answer{Status: 201, Body: []byte(recorded)})
	return "run"
}

// Guards every cell of the at-most-once table in docs/design.md: first send or
// repeat, same node or another, platform state, fate of the first run.
func TestAtMostOnceCells(t *testing.T) {
	up := standin.PlatformFaults{}
	states := []struct {
		name   string
		faults standin.PlatformFaults
		usable bool
	}{
		{"up", up, true},
		{"slow", standin.PlatformFaults{Delay: 10 * time.Millisecond}, true},
		{"answer lost", standin.PlatformFaults{LoseAnswers: 1}, true},
		{"lost before", standin.PlatformFaults{LoseBefore: 1}, true},
		{"down", standin.PlatformFaults{Down: true}, false},
	}
	first := map[backend]string{answers: "run", failsBefore: "not run", failsAfter: "backend_failed maybe"}
	repeat := map[backend]string{answers: "replayed " + recorded, failsBefore: "run", failsAfter: "duplicate maybe"}
	runsAfterFirst := map[backend]int64{answers: 1, failsBefore: 0, failsAfter: 1}
	for _, onFirst := range states {
		for _, onRepeat := range states {
			for _, fate := range []backend{answers, failsBefore, failsAfter} {
				for _, place := range []string{"same node", "other node"} {
					name := fmt.Sprintf("first %s, fate %d, repeat on %s, %s", onFirst.name, fate, place, onRepeat.name)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						w := newWorld(t)
						node := w.site()
						w.platform.SetFaults(onFirst.faults)
						got, runs := node.send(request, fate), int64(0)
						if onFirst.usable {
							assert.Equal(t, got, first[fate])
							runs = runsAfterFirst[fate]
						} else {
							assert.Equal(t, got, "ledger_unavailable no")
						}
						assert.Equal(t, w.runs.Load(), runs)

						if place == "other node" {
							node = w.site()
						}
						w.platform.SetFaults(onRepeat.faults)
						got = node.send(request, answers)
						switch {
						case !onRepeat.usable:
							assert.Equal(t, got, "ledger_unavailable no")
						case !onFirst.usable:
							assert.Equal(t, got, "run")
						default:
							assert.Equal(t, got, repeat[fate])
						}
						assert.Assert(t, w.runs.Load() <= 1)
					})
				}
			}
		}
	}
}

// Guards against two nodes that both run a request sent to them at the same time,
// and against one that none of them runs.
func TestConcurrentSendsRunOnce(t *testing.T) {
	for _, faults := range []standin.PlatformFaults{{}, {LoseAnswers: 3}, {LoseBefore: 3}, {LoseAnswers: 2, LoseBefore: 2}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			w := newWorld(t)
			w.platform.SetFaults(faults)
			var wg sync.WaitGroup
			for range 16 {
				node := w.site()
				wg.Go(func() { node.send(request, answers) })
			}
			wg.Wait()
			assert.Equal(t, w.runs.Load(), int64(1))
		})
	}
}

// Guards against a request ID that is reused for another request.
func TestReusedRequestID(t *testing.T) {
	w := newWorld(t)
	assert.Equal(t, w.site().send(request, answers), "run")
	other := request
	other.Digest[0]++
	assert.Equal(t, w.site().send(other, answers), "bad_request no")
	other = request
	other.Workspace = "smithy" // its own request IDs
	assert.Equal(t, w.site().send(other, answers), "run")
	for _, id := range []string{"", string(make([]byte, ledger.MaxRequestID+1))} {
		other.RequestID = id
		assert.Equal(t, w.site().send(other, answers), "bad_request no")
	}
}

// Guards against a large answer that is cut and replayed as a whole one.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	w := newWorld(t)
	node := w.site()
	entry, _, err := node.ledger.Begin(context.Background(), request)
	assert.NilError(t, err)
	entry.Done(ledger.Answer{Status: 200, Body: make([]byte, ledger.MaxRecordedBody+1)})
	assert.NilError(t, node.ledger.Close(context.Background()))
	assert.Equal(t, w.site().send(request, answers), "duplicate yes")
}

// delayedTable holds back the effect of its first write until release is called.
type delayedTable struct {
	ledger.Table
	held func()
}

func (d *delayedTable) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	if d.held != nil {
		return d.Table.Put(ctx, key, ifVersion, value)
	}
	d.held = func() { _, _ = d.Table.Put(context.Background(), key, ifVersion, value) }
	return 0, store.ErrUnknownOutcome.Wrap(errors.New("answer lost"))
}

// Guards against a claim that takes effect after the node said "not run": the
// row would then stop every repeat for ever.
func TestLateClaimAfterRefusal(t *testing.T) {
	w := newWorld(t)
	client := platform.New(platform.Config{URL: w.url})
	table := &delayedTable{Table: client}
	node := ledger.New(table)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no time to read back
	_, _, err := node.Begin(ctx, request)
	assert.Equal(t, refusal.FromError(err).Reason, refusal.LedgerUnavailable)
	assert.NilError(t, node.Close(context.Background())) // the background release has finished
	table.held()
	assert.Equal(t, w.site().send(request, answers), "run")
}

func ExampleLedger() {
	srv := httptest.NewServer(standin.NewPlatform().Handler())
	defer srv.Close()
	l := ledger.New(platform.New(platform.Config{URL: srv.URL}))
	ctx := context.Background()
	entry, _, err := l.Begin(ctx, ledger.Request{Workspace: "farm", RequestID: "order-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	entry.Done(ledger.Answer{Status: 201, Body: []byte("placed")})
	_ = l.Close(ctx)
	_, answer, _ := l.Begin(ctx, ledger.Request{Workspace: "farm", RequestID: "order-1"})
	fmt.Println(answer.Status, string(answer.Body))
	// Output: 201 placed
}
