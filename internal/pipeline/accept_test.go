package pipeline

import (
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// acceptTestTimeout ends a request whose connection is never accepted.
const acceptTestTimeout = 10 * time.Second

// failingListener returns an error from the first failures calls of Accept.
type failingListener struct {
	net.Listener
	failures atomic.Int64
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, l.err
	}
	return l.Listener.Accept()
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// Guards against a listener that accepts no more connections after an error of Accept that passes.
func TestAcceptsAfterTemporaryError(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN} {
		t.Run(errno.Error(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			failing := &failingListener{Listener: l, err: acceptError(errno)}
			failing.failures.Store(3)
			srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: ConnState}
			go func() { _ = srv.Serve(NewListener(failing, Config{MaxConns: testMaxConns})) }()
			t.Cleanup(func() { _ = srv.Close() })
			client := &http.Client{Timeout: acceptTestTimeout}
			resp, err := client.Get("http://" + l.Addr().String() + "/")
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
		})
	}
}

// Guards against a node that says ready while every attempt to accept a connection fails, or for good after one has failed.
func TestAcceptingFollowsErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: l, err: acceptError(syscall.EMFILE)}
	failing.failures.Store(math.MaxInt64)
	failed := make(chan struct{})
	var once sync.Once
	p := NewListener(failing, Config{MaxConns: testMaxConns, OnAcceptError: func(error) { once.Do(func() { close(failed) }) }})
	t.Cleanup(func() { _ = p.Close() })
	<-failed
	assert.Assert(t, !p.Accepting())
	failing.failures.Store(0)
	for !p.Accepting() { // nobody connects meanwhile
		time.Sleep(acceptErrorAge / 4)
	}
}

// Guards against connections without a request that leave no room for new ones.
func TestNewConnectionsDisplaceQuietOnes(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan string, 2)
	l := serveListener(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/wait") {
			arrived <- r.URL.Path
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}, 0)
	address := l.Addr().String()
	waiting, waitingAnswer := dial(t, address)
	_, err := io.WriteString(waiting, getRequest("/wait"))
	assert.NilError(t, err)
	<-arrived
	// Its second request is on the stream that gets all bytes.
	posting, postingAnswer := dial(t, address)
	post := func(path string) {
		_, err := io.WriteString(posting, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		assert.NilError(t, err)
	}
	post("/first")
	assert.Equal(t, readBody(t, postingAnswer), "/first")
	post("/wait-too")
	<-arrived
	for i := range 3 * testMaxConns {
		conn, r := dial(t, address)
		if i%2 == 0 { // the others never send a request
			_, err := io.WriteString(conn, getRequest("/"))
			assert.NilError(t, err)
			assert.Equal(t, readBody(t, r), "/")
		}
		assert.Assert(t, l.Stats().Open <= testMaxConns+1) // the newest may not have displaced another yet
	}
	close(release)
	assert.Equal(t, readBody(t, waitingAnswer), "/wait")
	assert.Equal(t, readBody(t, postingAnswer), "/wait-too")
}

// Guards against connections that stay open for ever because their first request never arrives whole.
func TestConnectionWithoutRequestEnds(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, cfg := range map[string]Config{
		"no byte":          {MaxConns: testMaxConns, FirstRequestTimeout: limit},
		"part of a header": {MaxConns: testMaxConns, HeaderTimeout: limit},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			srv := &http.Server{Handler: http.NotFoundHandler(), ConnState: ConnState}
			go func() { _ = srv.Serve(NewListener(l, cfg)) }()
			t.Cleanup(func() { _ = srv.Close() })
			conn, r := dial(t, l.Addr().String())
			if cfg.HeaderTimeout > 0 {
				_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost:")
				assert.NilError(t, err)
			}
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(acceptTestTimeout)))
			_, err = io.ReadAll(r)
			assert.NilError(t, err)
		})
	}
}
