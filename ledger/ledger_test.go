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

// backendOutcome is what the backend server does with a request that reaches it.
type backendOutcome int

const (
	answers backendOutcome = iota
	failsBefore
	failsAfter
)

// testNode is one node with its own ledger and platform client.
type testNode struct {
	ledger *ledger.Ledger
	runs   *atomic.Int64
}

// testFleet is a platform with any number of nodes.
type testFleet struct {
	t        *testing.T
	platform *standin.Platform
	url      string
	runs     atomic.Int64
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, platform: standin.NewPlatform()}
	srv := httptest.NewServer(f.platform.Handler())
	t.Cleanup(srv.Close)
	f.url = srv.URL
	return f
}

// newNode returns a new node. Nodes share nothing but the platform, so to the
// ledger a node of another data centre is like any other node.
func (f *testFleet) newNode() testNode {
	client := platform.New(platform.Config{URL: f.url, CallTimeout: 100 * time.Millisecond, BackoffBase: time.Millisecond, BreakerFailures: 1 << 30})
	return testNode{ledger.New(client), &f.runs}
}

var request = ledger.Request{Workspace: "farm", RequestID: "order/../1", Digest: [32]byte{1}}

const recordedBody = "order 1 placed"

// send handles one request as a node does: it begins the entry, counts the run
// and records the outcome. It returns "run", "not run", "replayed" with the
// body, or a refusal as its reason and its Ran.
func (n testNode) send(r ledger.Request, outcome backendOutcome) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	entry, answer, err := n.ledger.Begin(ctx, r)
	if err != nil {
		refused := refusal.FromError(err)
		return fmt.Sprintf("%s %s", refused.Reason, refused.Ran)
	}
	if answer != nil {
		return "replayed " + string(answer.Body)
	}
	defer func() { _ = n.ledger.Close(ctx) }()
	switch outcome {
	case failsBefore:
		entry.Abandon(ctx)
		return "not run"
	case failsAfter:
		n.runs.Add(1)
		entry.KeepStarted()
		return "backend_failed maybe"
	}
	n.runs.Add(1)
	entry.Done(ledger.Answer{Status: 201, Body: []byte(recordedBody)})
	return "run"
}

// Guards every combination in the at-most-once table of docs/design.md: first send or
// repeat, same node or another, state of the platform, outcome of the first run.
func TestRepeatsRunAtMostOnce(t *testing.T) {
	up := standin.PlatformFaults{}
	states := []struct {
		name   string
		faults standin.PlatformFaults
		usable bool
	}{
		{"up", up, true},
		{"slow", standin.PlatformFaults{Delay: 10 * time.Millisecond}, true},
		{"answer lost", standin.PlatformFaults{DropAnswers: 1}, true},
		{"lost before", standin.PlatformFaults{DropRequests: 1}, true},
		{"down", standin.PlatformFaults{Down: true}, false},
	}
	first := map[backendOutcome]string{answers: "run", failsBefore: "not run", failsAfter: "backend_failed maybe"}
	repeat := map[backendOutcome]string{answers: "replayed " + recordedBody, failsBefore: "run", failsAfter: "duplicate maybe"}
	runsAfterFirst := map[backendOutcome]int64{answers: 1, failsBefore: 0, failsAfter: 1}
	for _, firstState := range states {
		for _, repeatState := range states {
			for _, outcome := range []backendOutcome{answers, failsBefore, failsAfter} {
				for _, repeatNode := range []string{"same node", "other node"} {
					name := fmt.Sprintf("first %s, outcome %d, repeat on %s, %s", firstState.name, outcome, repeatNode, repeatState.name)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						f := newTestFleet(t)
						node := f.newNode()
						f.platform.SetFaults(firstState.faults)
						got, runs := node.send(request, outcome), int64(0)
						if firstState.usable {
							assert.Equal(t, got, first[outcome])
							runs = runsAfterFirst[outcome]
						} else {
							assert.Equal(t, got, "ledger_unavailable no")
						}
						assert.Equal(t, f.runs.Load(), runs)

						if repeatNode == "other node" {
							node = f.newNode()
						}
						f.platform.SetFaults(repeatState.faults)
						got = node.send(request, answers)
						switch {
						case !repeatState.usable:
							assert.Equal(t, got, "ledger_unavailable no")
						case !firstState.usable:
							assert.Equal(t, got, "run")
						default:
							assert.Equal(t, got, repeat[outcome])
						}
						assert.Assert(t, f.runs.Load() <= 1)
					})
				}
			}
		}
	}
}

// Guards against two nodes that both run a request which is sent to them at the
// same time, and against a request that no node runs.
func TestConcurrentSendsRunOnce(t *testing.T) {
	for _, faults := range []standin.PlatformFaults{{}, {DropAnswers: 3}, {DropRequests: 3}, {DropAnswers: 2, DropRequests: 2}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			f := newTestFleet(t)
			f.platform.SetFaults(faults)
			var wg sync.WaitGroup
			for range 16 {
				node := f.newNode()
				wg.Go(func() { node.send(request, answers) })
			}
			wg.Wait()
			assert.Equal(t, f.runs.Load(), int64(1))
		})
	}
}

// Guards against replaying an answer to another request with the same request
// ID, against request IDs shared between workspaces, and against request IDs of
// an invalid length.
func TestReusedRequestID(t *testing.T) {
	f := newTestFleet(t)
	assert.Equal(t, f.newNode().send(request, answers), "run")
	other := request
	other.Digest[0]++
	assert.Equal(t, f.newNode().send(other, answers), "bad_request no")
	other = request
	other.Workspace = "smithy" // each workspace has request IDs of its own
	assert.Equal(t, f.newNode().send(other, answers), "run")
	for _, id := range []string{"", string(make([]byte, ledger.MaxRequestID+1))} {
		other.RequestID = id
		assert.Equal(t, f.newNode().send(other, answers), "bad_request no")
	}
}

// Guards against truncating a large answer and replaying it as complete.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	f := newTestFleet(t)
	node := f.newNode()
	entry, _, err := node.ledger.Begin(context.Background(), request)
	assert.NilError(t, err)
	entry.Done(ledger.Answer{Status: 200, Body: make([]byte, ledger.MaxRecordedBody+1)})
	assert.NilError(t, node.ledger.Close(context.Background()))
	assert.Equal(t, f.newNode().send(request, answers), "duplicate yes")
}

// Guards against a recorded answer whose status cannot be sent: the caller would get a
// closed connection, and nothing would say that the request ran.
func TestInvalidStatusIsNotReplayed(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 199, 600, 1000} {
		f := newTestFleet(t)
		node := f.newNode()
		entry, _, err := node.ledger.Begin(context.Background(), request)
		assert.NilError(t, err)
		entry.Done(ledger.Answer{Status: status})
		assert.NilError(t, node.ledger.Close(context.Background()))
		assert.Equal(t, f.newNode().send(request, answers), "duplicate yes", "status %d", status)
	}
}

// delayedTable delays the first write until applyHeld is called. The write
// itself returns an unknown outcome.
type delayedTable struct {
	ledger.Table
	applyHeld func()
}

func (d *delayedTable) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	if d.applyHeld != nil {
		return d.Table.Put(ctx, key, ifVersion, value)
	}
	d.applyHeld = func() { _, _ = d.Table.Put(context.Background(), key, ifVersion, value) }
	return 0, store.ErrUnknownOutcome.Wrap(errors.New("answer lost"))
}

// Guards against a claim that takes effect after the node has answered "not
// run": the row would then make every repeat fail.
func TestLateClaimAfterRefusal(t *testing.T) {
	f := newTestFleet(t)
	client := platform.New(platform.Config{URL: f.url})
	table := &delayedTable{Table: client}
	node := ledger.New(table)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no time to read back
	_, _, err := node.Begin(ctx, request)
	assert.Equal(t, refusal.FromError(err).Reason, refusal.LedgerUnavailable)
	assert.NilError(t, node.Close(context.Background())) // waits for abandonInBackground
	table.applyHeld()
	assert.Equal(t, f.newNode().send(request, answers), "run")
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
