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
	service     = "stock"
	workspace   = "farm"
	key         = "k1.secret"
	answerBytes = 256
	slots       = 256
	connections = 512
	announce    = 500 * time.Millisecond
)

// bench is a backend server with the node on its host and an entry node.
type bench struct {
	client                    *http.Client
	direct, oneNode, twoNodes string
	answerBytes               int
	stop                      context.CancelFunc
	done                      sync.WaitGroup
}

func newBench(answerBytes int) (*bench, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bench{answerBytes: answerBytes, stop: cancel, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
	if err := b.start(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) start(ctx context.Context) error {
	snapshot, err := snapshot()
	if err != nil {
		return err
	}
	backend, err := b.startBackend(ctx)
	if err != nil {
		return err
	}
	dir := &directory{}
	local, entry := "", ""
	if b.oneNode, local, err = b.startNode(ctx, "destination", dir, snapshot); err != nil {
		return err
	}
	if entry, _, err = b.startNode(ctx, "entry", dir, snapshot); err != nil {
		return err
	}
	b.direct, b.twoNodes = "http://"+backend+"/items/1", entry
	return b.announce(ctx, local, backend)
}

// startBackend serves fixed answers.
func (b *bench) startBackend(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	answer := bytes.Repeat([]byte{'a'}, b.answerBytes)
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Length"] = []string{strconv.Itoa(b.answerBytes)}
		_, _ = w.Write(answer) // the caller checks the length
	})}
	go func() { _ = srv.Serve(l) }() // ends with Close
	b.closeAfter(ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

func (b *bench) closeAfter(ctx context.Context, f func()) {
	b.done.Go(func() { <-ctx.Done(); f() })
}

// startNode returns the URL of a call through the node and its local listener.
func (b *bench) startNode(ctx context.Context, id string, dir *directory, s *config.Snapshot) (url, local string, err error) {
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
		Configuration: fixedConfiguration{s}, Keys: fixedKeys{}, Quota: noQuota{}, Directory: dir,
		Ledger: ledger.New(nil), // no route uses it
	})
	if err != nil {
		return "", "", err
	}
	b.done.Go(func() { _ = n.Run(ctx) }) // ends with ctx
	return "http://" + listeners[0].Addr().String() + "/" + service + "/items/1", listeners[1].Addr().String(), nil
}

// announce announces the backend server once and then until ctx ends.
func (b *bench) announce(ctx context.Context, local, backend string) error {
	body, err := json.Marshal(edge.Announcement{Service: service, Address: backend, Slots: slots, Connections: connections, State: "serving"})
	if err != nil {
		return Error.Wrap(err)
	}
	post := func() error {
		resp, err := b.client.Post("http://"+local+"/v1/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		return Error.Wrap(err)
	}
	b.done.Go(func() {
		tick := time.NewTicker(announce)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				_ = post() // the calls fail when announcements do
			}
		}
	})
	return post()
}

func (b *bench) close() {
	b.stop()
	b.done.Wait()
	b.client.CloseIdleConnections()
}

func snapshot() (*config.Snapshot, error) {
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

// directory holds the one endpoint.
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

type fixedConfiguration struct{ s *config.Snapshot }

func (c fixedConfiguration) Current() *config.Snapshot { return c.s }

type fixedKeys struct{}

func (fixedKeys) Lookup(string) (string, error) { return workspace, nil }

type noQuota struct{}

func (noQuota) Charge(context.Context, string) (node.Charge, error) { return noQuota{}, nil }
func (noQuota) Sent()                                               {}
func (noQuota) Return()                                             {}
