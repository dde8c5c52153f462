package overhead

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/node"
)

const (
	service            = "stock"
	workspace          = "farm"
	key                = "k1.secret"
	defaultAnswerBytes = 256
	slots              = 256
	connections        = 512
	announceInterval   = 500 * time.Millisecond
)

// testbed runs a backend server, the node on its host and an entry node, and sends
// calls to them.
type testbed struct {
	client                    *http.Client
	direct, oneNode, twoNodes string // URLs of a call on each path
	answerBytes               int    // size of each answer of the backend server
	stop                      context.CancelFunc
	done                      sync.WaitGroup
}

func newTestbed(answerBytes int) (*testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	tb := &testbed{answerBytes: answerBytes, stop: cancel, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
	if err := tb.start(ctx); err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) start(ctx context.Context) error {
	snapshot, err := newSnapshot()
	if err != nil {
		return err
	}
	backend, err := tb.startBackend(ctx)
	if err != nil {
		return err
	}
	dir := &directory{}
	local, entry := "", ""
	if tb.oneNode, local, err = tb.startNode(ctx, "destination", dir, snapshot); err != nil {
		return err
	}
	if entry, _, err = tb.startNode(ctx, "entry", dir, snapshot); err != nil {
		return err
	}
	tb.direct, tb.twoNodes = "http://"+backend+"/items/1", entry
	return tb.announce(ctx, local, backend)
}

// startBackend starts an HTTP server that sends the same answer to every request.
// The server is closed when ctx ends.
func (tb *testbed) startBackend(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	answer := bytes.Repeat([]byte{'a'}, tb.answerBytes)
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Length"] = []string{strconv.Itoa(tb.answerBytes)}
		_, _ = w.Write(answer) // the caller checks the length
	})}
	go func() { _ = srv.Serve(l) }() // ends with Close
	tb.onCancel(ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// onCancel runs f in the background when ctx ends. tb.close waits until f has
// returned.
func (tb *testbed) onCancel(ctx context.Context, f func()) {
	tb.done.Go(func() { <-ctx.Done(); f() })
}

// startNode starts a node that runs until ctx ends. It returns the URL of a call
// through the node, and the address of its local listener.
func (tb *testbed) startNode(ctx context.Context, id string, dir *directory, snapshot *config.Snapshot) (url, local string, err error) {
	var listeners [4]net.Listener
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", "", Error.Wrap(err)
		}
	}
	n, err := node.New(node.Config{
		ID: id, Incarnation: 1, DataCentre: "dudley", Region: "midlands", ClusterSecret: "overhead-experiment",
		PeerAddress: listeners[2].Addr().String(),
		Callers:     listeners[0], Local: listeners[1], Peers: listeners[2], Operators: listeners[3],
		Configuration: fixedConfiguration{snapshot}, Keys: fixedKeys{}, Quota: unlimitedQuota{}, Directory: dir,
		Ledger: ledger.New(nil), // no route uses it
	})
	if err != nil {
		return "", "", err
	}
	tb.done.Go(func() { _ = n.Run(ctx) }) // ends with ctx
	return "http://" + listeners[0].Addr().String() + "/" + service + "/items/1", listeners[1].Addr().String(), nil
}

// announce announces the backend server to the node at address local once, and then
// at every announceInterval until ctx ends. It returns the error of the first
// announcement.
func (tb *testbed) announce(ctx context.Context, local, backend string) error {
	body, err := json.Marshal(edge.Announcement{Service: service, Address: backend, Slots: slots, Connections: connections, State: "serving"})
	if err != nil {
		return Error.Wrap(err)
	}
	sendAnnouncement := func() error {
		resp, err := tb.client.Post("http://"+local+"/v1/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		return Error.Wrap(err)
	}
	tb.done.Go(func() {
		tick := time.NewTicker(announceInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				_ = sendAnnouncement() // if announcements fail, the measured calls fail as well
			}
		}
	})
	return sendAnnouncement()
}

func (tb *testbed) close() {
	tb.stop()
	tb.done.Wait()
	tb.client.CloseIdleConnections()
}

func newSnapshot() (*config.Snapshot, error) {
	encoded, err := config.Encode(&config.Document{
		Fleet: config.Fleet{
			DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
			Workspaces:  []config.Workspace{{Name: workspace, Rate: 1e6, Burst: 1e6}},
			Keys:        config.KeyPolicy{CutOffLimit: config.DefaultCutOffLimit},
		},
		Services: []config.Service{{Name: service, Routes: []config.Route{
			{Pattern: "GET /items/{id}", Importance: config.Normal, Idempotent: true, Attempts: 3, Timeout: time.Second, MaxBody: config.DefaultMaxBody},
		}}},
	})
	if err != nil {
		return nil, err
	}
	return config.Decode(1, encoded)
}

// directory holds the endpoint of the backend server. It is safe for concurrent use.
type directory struct {
	mu        sync.Mutex
	endpoints []balancer.Endpoint
	watchers  []func(string)
}

func (d *directory) Endpoints(string) []balancer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints
}

func (d *directory) Watch(f func(string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, f)
}

func (d *directory) Announce(e *balancer.Endpoint) {
	d.mu.Lock()
	d.endpoints = nil
	if e != nil {
		d.endpoints = []balancer.Endpoint{*e}
	}
	watchers := d.watchers
	d.mu.Unlock()
	for _, f := range watchers {
		f(service)
	}
}

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (c fixedConfiguration) Current() *config.Snapshot { return c.snapshot }

// fixedKeys accepts every key as one of workspace.
type fixedKeys struct{}

func (fixedKeys) Lookup(string) (string, error) { return workspace, nil }

// unlimitedQuota admits every request.
type unlimitedQuota struct{}

func (unlimitedQuota) Charge(context.Context, string) (node.Charge, error) {
	return unlimitedQuota{}, nil
}
func (unlimitedQuota) Sent()   {}
func (unlimitedQuota) Return() {}
