package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/keepalive"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// newScriptedServer starts a TCP server that sends the next response of the script
// after each request of a connection and closes the connection after the last one.
func newScriptedServer(t *testing.T, requests *atomic.Int64, responses ...string) (address string) {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, requests, responses)
		}
	}()
	return l.Addr().String()
}

func serveScript(conn net.Conn, requests *atomic.Int64, responses []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		_, _ = io.WriteString(conn, response)
	}
}

// Guards the exchange with servers that close or break connections at any point: each
// request must be sent at most once, whatever its method, and each response must be
// complete.
func TestExchangeFaults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, tc := range []struct {
		name   string
		script []string
		bodies [2]string // of the responses to two consecutive exchanges; "" if the exchange fails
		sent   int64
	}{
		{name: "keeps the connection", script: []string{ok, ok}, bodies: [2]string{"ok", "ok"}, sent: 2},
		{name: "closes while idle", script: []string{ok}, bodies: [2]string{"ok", "ok"}, sent: 2},
		{name: "asks to close", script: []string{strings.Replace(ok, "\r\n", "\r\nConnection: close\r\n", 1), ok}, bodies: [2]string{"ok", "ok"}, sent: 2},
		{name: "breaks a used connection", script: []string{ok, ""}, bodies: [2]string{"ok", ""}, sent: 2},
		{name: "no answer", script: []string{""}, sent: 2},
		{name: "truncated header", script: []string{"HTTP/1.1 200 OK\r\nContent-Le"}, sent: 2},
		{name: "truncated body", script: []string{ok[:len(ok)-1]}, sent: 2},
		{name: "truncated chunk", script: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}, sent: 2},
		{name: "not HTTP", script: []string{"hello\r\n\r\n"}, sent: 2},
		{name: "endless header", script: []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxResponseHeaderBytes)}, sent: 2},
		{name: "informational first", script: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + ok, ok}, bodies: [2]string{"ok", "ok"}, sent: 2},
		{name: "informational only", script: []string{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*maxInformationalResponses)}, sent: 2},
		{name: "switches protocols", script: []string{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}, sent: 2},
		{name: "longer than declared", script: []string{ok + "more", ok}, bodies: [2]string{"ok", "ok"}, sent: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			address := newScriptedServer(t, &requests, tc.script...)
			p := newConnPool(nil, hopDialTimeout, time.Minute, 4, 4)
			defer p.close()
			for _, want := range tc.bodies {
				body, err := doExchange(p, address)
				assert.Equal(t, err == nil, want != "", "%v", err)
				if err == nil {
					assert.Equal(t, body, want)
				}
				// Waits for the server's close to arrive, so that the next exchange
				// sees it.
				waitFor(t, func() bool { return !stale(p, address, len(tc.script)) })
			}
			assert.Equal(t, requests.Load(), tc.sent)
			assert.Equal(t, len(p.slots), 0)
		})
	}
}

// stale reports whether the pool holds a connection whose script has ended but which
// still appears to be open.
func stale(p *connPool, address string, scriptLength int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return scriptLength == 1 && len(p.idle[address]) > 0 && p.idle[address][0].reusable()
}

func doExchange(p *connPool, address string) (string, error) {
	resp, _, err := p.roundTrip(context.Background(), &outboundRequest{
		method: "GET", address: address, host: "h", url: &url.URL{Path: "/"},
		header: http.Header{"Idempotency-Key": {"1"}}, body: &requestBody{fullyBuffered: true},
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against an unreachable host that costs one request for each idle connection
// to it: after one connection has broken, the next exchange must open a new one.
func TestBrokenConnectionClosesIdleOnes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var requests, connections atomic.Int64
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// The first three connections break at their second request.
			script := []string{ok, ""}
			if connections.Add(1) > 3 {
				script = []string{ok, ok, ok}
			}
			go serveScript(conn, &requests, script)
		}
	}()
	p := newConnPool(nil, hopDialTimeout, time.Minute, 4, 0)
	defer p.close()
	n := &Node{hops: p}
	send := func() *failure {
		req := &inboundRequest{method: "GET", host: "h", header: http.Header{}, body: &requestBody{fullyBuffered: true}, deadline: time.Now().Add(time.Minute)}
		n.cfg.Clock = time.Now
		_, f := n.forward(context.Background(), balancer.Endpoint{PeerAddress: l.Addr().String()}, &peer.Hop{Attempts: 1}, req)
		return f
	}
	conns := make([]*pooledConn, 3) // three idle connections that have been used once
	for i := range conns {
		c, err := p.get(context.Background(), l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadFull(c.Conn, make([]byte, len(ok)))
		assert.NilError(t, err)
		conns[i] = c
	}
	for _, c := range conns {
		c.headerBytesLeft = noHeaderLimit
		c.release()
	}
	f := send()
	assert.Assert(t, f != nil && f.refusal.Reason == refusal.BackendFailed && f.refusal.Ran == refusal.RanMaybe, "%+v", f)
	send()
	assert.Equal(t, connections.Load(), int64(4))
}

// Guards against connections to other hosts without the timeout for unacknowledged
// bytes, by which an unreachable host is detected.
func TestHopsLimitUnacknowledgedBytes(t *testing.T) {
	var requests atomic.Int64
	address := newScriptedServer(t, &requests, "")
	p := newConnPool(nil, hopDialTimeout, time.Minute, 4, 0)
	defer p.close()
	p.dialer.Control = keepalive.UserTimeout(hopUnackedTimeout)
	c, err := p.get(context.Background(), address)
	assert.NilError(t, err)
	defer c.Close()
	got := 0
	assert.NilError(t, c.raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(got)*time.Millisecond, hopUnackedTimeout)
}
