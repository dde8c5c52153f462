package status_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/status"
)

func report() status.Node {
	n := status.Node{
		Node: "dudley-1", DataCentre: "dudley", Region: "midlands", State: status.Serving, PlatformReachable: true, KeysVerified: true,
		Endpoints: []status.Endpoint{status.FromEndpoint(balancer.Endpoint{
			Node: "dudley-1", DataCentre: "dudley", Service: "orderbook", Slots: 165, Connections: 1100, State: balancer.Serving, PeerAddress: "127.0.0.1:1",
		})},
		Workspaces: []status.WorkspaceShare{{Name: "black-horse-farm", Rate: 50, Burst: 100, Level: 37.25}},
		Thresholds: []status.Threshold{status.FromThreshold("orderbook", "dudley-1", peer.Threshold{Lowest: config.Normal, Limit: 120})},
	}
	n.SetSnapshot(&config.Snapshot{Version: 17, Digest: "3fa94c01d2e4aaaaaaaaaaaaaaaa"})
	return n
}

// Guards against fields that are lost between handler and client, and against a
// node without a valid response that counts as reached.
func TestFetchAndSummarise(t *testing.T) {
	good := httptest.NewServer(status.Handler(report))
	defer good.Close()
	behind := httptest.NewServer(status.Handler(func() status.Node { return status.Node{Node: "walsall-1", DataCentre: "walsall", Version: 16} }))
	defer behind.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	notFound := httptest.NewServer(nil)
	defer notFound.Close()
	var addresses []string
	for _, s := range []*httptest.Server{good, behind, closed, notFound} {
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	results := status.FetchAll(context.Background(), status.DefaultClient(10*time.Second), addresses)
	assert.NilError(t, results[0].Err)
	assert.DeepEqual(t, results[0].Node, report())
	assert.Assert(t, status.ErrUnreachable.Has(results[2].Err) && status.ErrUnreachable.Has(results[3].Err))

	assert.DeepEqual(t, status.Summarise(17, results), status.Rollout{
		Version: 17,
		DataCentres: []status.DataCentreRollout{
			{Name: "dudley", Nodes: 1, InForce: 1, Behind: []string{}},
			{Name: "walsall", Nodes: 1, Behind: []string{"walsall-1"}},
		},
		Unreachable: addresses[2:],
	})
	assert.Assert(t, status.Summarise(16, results[:2]).Complete)
}

// Guards against lines that exceed the terminal width when names have the maximum
// length.
func TestRenderFitsWidth(t *testing.T) {
	long := strings.Repeat("n", 63)
	n := report()
	n.Node, n.DataCentre, n.Region = long, long, long
	n.Endpoints[0].Service, n.Endpoints[0].Node, n.Endpoints[0].DataCentre = long, long, long
	n.Workspaces[0].Name, n.Workspaces[0].Rate = long, 123456789.5
	n.Thresholds[0].Service, n.Thresholds[0].Node = long, long
	var b strings.Builder
	assert.NilError(t, status.Render(&b, []status.Result{{Node: n}, {Address: "127.0.0.1:1", Err: status.ErrUnreachable.New("x")}}))
	for _, line := range strings.Split(b.String(), "\n") {
		assert.Assert(t, utf8.RuneCountInString(line) <= status.Width, "%q", line)
	}
	assert.Assert(t, strings.Contains(b.String(), "UNREACHABLE"))
}

func ExampleRender() {
	_ = status.Render(os.Stdout, []status.Result{{Address: "127.0.0.1:8083", Node: report()}})
	// Output:
	// dudley-1  SERVING
	//   data centre   dudley (midlands)
	//   version       17, digest 3fa94c01d2e4
	//   platform      reachable
	//   keys          verified
	//   ENDPOINT   NODE      DATA CENTRE  STATE    SLOTS  CONNECTIONS
	//   orderbook  dudley-1  dudley       serving    165         1100
	//   WORKSPACE (SHARE HERE)  RATE/S  BURST  LEVEL
	//   black-horse-farm          50.0  100.0   37.2
	//   DESTINATION  NODE      ADMITS FROM  IN FLIGHT  QUEUED  LIMIT
	//   orderbook    dudley-1  normal               0       0    120
}

// Guards against a wait that ends before the version is in force, and against losing
// a node's earlier result when the context ends during its next poll.
func TestWait(t *testing.T) {
	var asked atomic.Uint64
	updating := httptest.NewServer(status.Handler(func() status.Node {
		return status.Node{Node: "dudley-1", DataCentre: "dudley", Version: 14 + asked.Add(1)}
	}))
	defer updating.Close()
	outdated := httptest.NewServer(status.Handler(func() status.Node {
		return status.Node{Node: "walsall-1", DataCentre: "walsall", Version: 16}
	}))
	defer outdated.Close()
	addresses := []string{strings.TrimPrefix(updating.URL, "http://"), strings.TrimPrefix(outdated.URL, "http://")}

	w := status.Waiter{Client: http.DefaultClient, Addresses: addresses[:1], Pause: func(context.Context, time.Duration) {}}
	assert.Assert(t, w.Wait(context.Background(), 17).Complete)
	assert.Equal(t, asked.Load(), uint64(3))

	ctx, cancel := context.WithCancel(context.Background())
	w = status.Waiter{Client: http.DefaultClient, Addresses: addresses, Pause: func(context.Context, time.Duration) { cancel() }}
	got := w.Wait(ctx, 17)
	assert.Assert(t, !got.Complete)
	assert.DeepEqual(t, got.DataCentres, []status.DataCentreRollout{
		{Name: "dudley", Nodes: 1, InForce: 1, Behind: []string{}},
		{Name: "walsall", Nodes: 1, Behind: []string{"walsall-1"}},
	})
}
