package pipeline

import (
	"math"
	"net"
	"net/http"
	"os"
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
			go func() { _ = srv.Serve(NewListener(failing, nil)) }()
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
	p := NewListener(failing, func(error) { once.Do(func() { close(failed) }) })
	t.Cleanup(func() { _ = p.Close() })
	<-failed
	assert.Assert(t, !p.Accepting())
	failing.failures.Store(0)
	for !p.Accepting() { // nobody connects meanwhile
		time.Sleep(acceptErrorAge / 4)
	}
}
