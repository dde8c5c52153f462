package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that runs out of memory because it keeps long answers, or answers
// without end, behind one that is not written yet, and against answers that are lost when
// there is no room to keep them.
func TestBufferedAnswersOfAllConnections(t *testing.T) {
	const (
		conns       = 20
		answerBytes = maxBufferedBytes
		maxBuffered = 4 << 20
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := NewListener(l, Config{MaxConns: testMaxConns, MaxBuffered: maxBuffered})
	release := make(chan struct{})
	var peak atomic.Int64
	part := strings.Repeat("x", 64<<10)
	srv := &http.Server{ConnState: ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-release
			return
		}
		for range answerBytes / len(part) {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			for kept := p.Stats().Buffered; ; {
				if old := peak.Load(); kept <= old || peak.CompareAndSwap(old, kept) {
					break
				}
			}
		}
	})}
	go func() { _ = srv.Serve(p) }()
	t.Cleanup(func() { _ = srv.Close() })
	var clients sync.WaitGroup
	for range conns {
		conn, r := dial(t, p.Addr().String())
		assert.NilError(t, conn.SetDeadline(time.Now().Add(acceptTestTimeout)))
		_, err := io.WriteString(conn, getRequest("/hold")+strings.Repeat(getRequest("/long"), maxOutstanding-1))
		assert.NilError(t, err)
		clients.Go(func() {
			for i := range maxOutstanding {
				resp, err := http.ReadResponse(r, nil)
				if !assert.Check(t, err) {
					return
				}
				n, err := io.Copy(io.Discard, resp.Body)
				assert.Check(t, err)
				assert.Check(t, i == 0 || n == answerBytes, "answer %d has %d bytes", i, n)
			}
		})
	}
	for p.Stats().Buffered < maxBuffered/2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	clients.Wait()
	assert.Assert(t, peak.Load() <= maxBuffered, "%d bytes were kept", peak.Load())
	assert.Equal(t, p.Stats().Buffered, int64(0))
}
