package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	secret      = "cluster secret of the test"
	testTimeout = 20 * time.Second
)

// resolver maps the node IDs of one test to addresses.
type resolver struct{ m sync.Map }

func (a *resolver) resolve(node string) (string, bool) {
	addr, ok := a.m.Load(node)
	if !ok {
		return "", false
	}
	return addr.(string), true
}

// testNode is a mesh that listens on a loopback address.
type testNode struct {
	*peer.Mesh
	addr   string
	server *httptest.Server
}

// start runs a mesh that listens on addr, or on a free port if addr is empty.
func (a *resolver) start(t *testing.T, node string, incarnation uint64, addr string) testNode {
	t.Helper()
	m := peer.NewMesh(peer.Config{
		Identity: peer.Identity{Node: node, Incarnation: incarnation, DataCentre: "dudley"},
		Secret:   secret, Resolve: a.resolve, WriteTimeout: time.Second,
	})
	m.Handle("echo", func(_ context.Context, from peer.Identity, payload []byte) (any, error) {
		var text string
		if err := peer.Unmarshal(payload, &text); err != nil {
			return nil, err
		}
		return from.Node + ":" + text, nil
	})
	m.Handle("fail", func(context.Context, peer.Identity, []byte) (any, error) { return nil, errors.New("handler says no") })
	srv := httptest.NewUnstartedServer(m)
	if addr != "" {
		_ = srv.Listener.Close() // replaced
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		srv.Listener = l
	}
	srv.Start()
	l := testNode{m, srv.Listener.Addr().String(), srv}
	a.m.Store(node, l.addr)
	t.Cleanup(l.stop)
	return l
}

func (l testNode) stop() {
	l.Mesh.Close()
	l.server.Close()
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against calls that fail or return the wrong reply or identity, in both
// directions of one connection.
func TestCall(t *testing.T) {
	var nodes resolver
	a, b := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, "")
	ctx := testContext(t)
	var reply string
	assert.NilError(t, a.Call(ctx, "b", "echo", "x", &reply))
	assert.Equal(t, reply, "a:x")
	assert.NilError(t, b.Call(ctx, "a", "echo", "y", &reply))
	assert.Equal(t, reply, "b:y")
	id, err := a.CallAddress(ctx, b.addr, "echo", "z", &reply)
	assert.NilError(t, err)
	assert.Equal(t, id, peer.Identity{Node: "b", Incarnation: 1, DataCentre: "dudley"})
	sent, received := a.Traffic()
	assert.Assert(t, sent > 0 && received > 0)
}

// Guards against failed calls that hang or return an error of the wrong class.
func TestCallFailures(t *testing.T) {
	var nodes resolver
	a, b := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, "")
	nodes.m.Store("moved", b.addr)
	nodes.m.Store("gone", "127.0.0.1:1")
	for _, tc := range []struct {
		name, node, kind string
		msg              any
		is               func(error) bool
	}{
		{"unknown node", "nobody", "echo", "x", peer.ErrUnreachable.Has},
		{"nothing listens", "gone", "echo", "x", peer.ErrUnreachable.Has},
		{"another node at the address", "moved", "echo", "x", peer.ErrIdentity.Has},
		{"this node itself", "a", "echo", "x", peer.ErrIdentity.Has},
		{"handler fails", "b", "fail", "x", peer.ErrRemote.Has},
		{"unknown kind", "b", "nothing", "x", peer.ErrRemote.Has},
		{"payload of another type", "b", "echo", 5, peer.ErrRemote.Has},
		{"message too large", "b", "echo", strings.Repeat("x", peer.MaxMessageBytes), peer.ErrTooLarge.Has},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := a.Call(testContext(t), tc.node, tc.kind, tc.msg, nil)
			assert.Assert(t, tc.is(err), "%v", err)
		})
	}
	var reply string
	assert.NilError(t, a.Call(testContext(t), "b", "echo", "still works", &reply))
}

// Guards against a control connection without the cluster token.
func TestTokenIsRequired(t *testing.T) {
	var nodes resolver
	a := nodes.start(t, "a", 1, "")
	for _, token := range []string{"", "wrong", secret + "x"} {
		_, resp, err := websocket.Dial(testContext(t), "ws://"+a.addr+peer.ControlPath,
			&websocket.DialOptions{HTTPHeader: http.Header{peer.HeaderToken: {token}}})
		assert.Assert(t, err != nil)
		assert.Equal(t, resp.StatusCode, http.StatusForbidden)
	}
	assert.Assert(t, !peer.TokenEqual("", ""), "an empty secret must admit no one")
}

// Guards against malformed input that is accepted, keeps the connection open, or
// makes the node fail for other peers.
func TestBadInput(t *testing.T) {
	var nodes resolver
	a, b := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, "")
	frame := func(kind int, id uint64, name string, payload any) []byte {
		raw, err := cbor.Marshal(payload)
		assert.NilError(t, err)
		bytes, err := cbor.Marshal([]any{kind, id, name, cbor.RawMessage(raw)})
		assert.NilError(t, err)
		return bytes
	}
	hello := func(protocol int, node string) []byte {
		return frame(0, 0, "", map[int]any{1: protocol, 2: map[int]any{1: node, 2: 7, 3: "dudley"}})
	}
	for name, messages := range map[string][][]byte{
		"no hello":             {frame(2, 1, "echo", "x")},
		"unknown protocol":     {hello(99, "c")},
		"hello without a node": {hello(1, "")},
		"hello is not CBOR":    {[]byte("hello")},
		"empty message":        {nil},
		"garbage after hello":  {hello(1, "c"), {0xff, 0x00}},
		"deep nesting":         {hello(1, "c"), []byte(strings.Repeat("\x81", 100) + "\x00")},
		"huge array length":    {hello(1, "c"), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"message too large":    {hello(1, "c"), make([]byte, peer.MaxMessageBytes+1)},
		"the node's own ID":    {hello(1, "a")},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			ws, _, err := websocket.Dial(ctx, "ws://"+a.addr+peer.ControlPath,
				&websocket.DialOptions{HTTPHeader: http.Header{peer.HeaderToken: {secret}}})
			assert.NilError(t, err)
			defer ws.CloseNow()
			for _, m := range messages {
				if ws.Write(ctx, websocket.MessageBinary, m) != nil {
					break
				}
			}
			for err == nil { // the node closes the connection
				_, _, err = ws.Read(ctx)
			}
			assert.NilError(t, ctx.Err())
			var reply string
			assert.NilError(t, b.Call(ctx, "a", "echo", "x", &reply))
		})
	}
}

// Guards against messages that are sent to, or accepted from, an earlier process
// of a restarted node.
func TestRestartAtSameAddress(t *testing.T) {
	var nodes resolver
	a, old := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, "")
	ctx := testContext(t)
	assert.NilError(t, a.Call(ctx, "b", "echo", "x", nil))
	old.stop()
	restarted := nodes.start(t, "b", 2, old.addr)
	var reply string
	for a.Call(ctx, "b", "echo", "x", &reply) != nil {
		assert.NilError(t, ctx.Err())
	}
	id, err := a.CallAddress(ctx, restarted.addr, "echo", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, id.Incarnation, uint64(2))

	late := nodes.start(t, "b", 1, "") // the earlier process is still running
	err = late.Call(ctx, "a", "echo", "x", &reply)
	assert.Assert(t, peer.ErrUnreachable.Has(err), "%v", err)
	nodes.m.Store("b", restarted.addr)
	assert.NilError(t, a.Call(ctx, "b", "echo", "x", &reply))
}

// Guards against a peer that accepts connections but never answers and thereby
// delays messages to other peers.
func TestStalledPeer(t *testing.T) {
	var nodes resolver
	a := nodes.start(t, "a", 1, "")
	nodes.start(t, "b", 1, "")
	stalled, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer stalled.Close()
	nodes.m.Store("stalled", stalled.Addr().String()) // accepts connections but never answers
	ctx := testContext(t)
	failed := make(chan error, 1)
	go func() { failed <- a.Call(ctx, "stalled", "echo", "x", nil) }()
	for range 100 {
		assert.NilError(t, a.Call(ctx, "b", "echo", "x", nil))
	}
	err = <-failed
	assert.Assert(t, peer.ErrUnreachable.Has(err), "%v", err)
}

// Guards against an unbounded number of requests to a peer whose handlers do not
// return, and against such a peer that no longer answers other nodes.
func TestBoundedRequests(t *testing.T) {
	var nodes resolver
	a, b, c := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, ""), nodes.start(t, "c", 1, "")
	release := make(chan struct{})
	b.Handle("wait", func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		<-release
		return nil, nil
	})
	ctx := testContext(t)
	const calls = 200
	results := make(chan error, calls)
	for range calls {
		go func() { results <- a.Call(ctx, "b", "wait", "x", nil) }()
	}
	busy := <-results
	assert.Assert(t, peer.ErrBusy.Has(busy), "%v", busy)
	assert.NilError(t, c.Call(ctx, "b", "echo", "x", nil))
	close(release)
	for range calls - 1 {
		err := <-results
		assert.Assert(t, err == nil || peer.ErrBusy.Has(err), "%v", err)
	}
}

// Guards against lost calls when both sides dial at once and each closes the
// other's connection.
func TestBothDialAtOnce(t *testing.T) {
	var nodes resolver
	a, b := nodes.start(t, "a", 1, ""), nodes.start(t, "b", 1, "")
	ctx := testContext(t)
	errs := make(chan error, 40)
	for range 20 {
		go func() { errs <- a.Call(ctx, "b", "echo", "x", nil) }()
		go func() { errs <- b.Call(ctx, "a", "echo", "x", nil) }()
	}
	for range 40 {
		assert.NilError(t, <-errs)
	}
}

func ExampleMesh() {
	identity := peer.Identity{Node: "host-1", Incarnation: uint64(time.Now().UnixNano()), DataCentre: "dudley"}
	server := peer.NewMesh(peer.Config{Identity: identity, Secret: "from the settings"})
	defer server.Close()
	server.Handle("greet", func(_ context.Context, from peer.Identity, payload []byte) (any, error) {
		var name string
		err := peer.Unmarshal(payload, &name)
		return "hello " + name + " of " + from.Node, err
	})
	listener := httptest.NewServer(server)
	defer listener.Close()

	client := peer.NewMesh(peer.Config{
		Identity: peer.Identity{Node: "host-2", Incarnation: 1, DataCentre: "dudley"},
		Secret:   "from the settings",
		Resolve:  func(string) (string, bool) { return listener.Listener.Addr().String(), true },
	})
	defer client.Close()
	var reply string
	fmt.Println(client.Call(context.Background(), "host-1", "greet", "world", &reply), reply)
	// Output: <nil> hello world of host-2
}
