package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sealedFields are the header fields of an answer that the platform's protocol accepts. ID
// stands for the ID of the request.
const sealedFields = "X-Attempt-Id: ID\r\nX-Server-Seal: seal\r\n"

// shopAndEntry starts a host whose backend server serves all routes, and one whose node
// reaches it across one hop.
func (f *fleet) shopAndEntry() (shop, entry *host) {
	f.t.Helper()
	shop, entry = f.host("shop-1", "shop"), f.host("other-1", "other")
	f.configure(4, farm)
	shop.awaitServing("read.example")
	entry.awaitServing("read.example")
	return shop, entry
}

// sendRaw returns a handler that leaves the connection to answer, and closes it afterwards.
func sendRaw(answer func(conn *net.TCPConn, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		answer(conn.(*net.TCPConn), r)
	}
}

// forRequest returns text with the ID of a request in the place of ID.
func forRequest(text string, r *http.Request) string {
	return strings.ReplaceAll(text, "ID", requestID(r.Header))
}

// requestID returns the ID of the request with the header h.
func requestID(h http.Header) string { return h.Get("X-Attempt-Id") }

// seal adds the signature of a server to an answer.
func seal(w http.ResponseWriter) { w.Header().Set("X-Server-Seal", "seal") }

// refuseAsNotRun sends a refusal which says that the request did not run.
func refuseAsNotRun(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// requestHead returns the header of a POST with a body of the given length.
func requestHead(hostName string, timeout time.Duration, length int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n",
		hostName, attempts.Add(1), timeout.Milliseconds(), length)
}

// sealed reports whether the answer has the signature of a server.
func (a *result) sealed() bool { return a.header.Get("X-Server-Seal") != "" }

// Guards against responses that are corrupt, lost or belong to another request and
// that reach a caller as success, and against a request that runs twice.
func TestBadAnswers(t *testing.T) {
	hijack := func(w http.ResponseWriter, text string) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		status  int  // of a non-idempotent request
		once    bool // the request must be delivered exactly once
	}{
		{"success without seal", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, 502, true},
		{"of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Attempt-Id", "zzz")
			w.Header().Set("X-Server-Seal", "seal")
			w.WriteHeader(200)
		}, 502, true},
		{"cut off", func(w http.ResponseWriter, r *http.Request) {
			hijack(w, "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\nContent-Length: 100\r\n\r\nshort")
		}, 502, true},
		{"no HTTP", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "nonsense\r\n\r\n") }, 502, true},
		{"none", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }, 502, true},
		{"shed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(503)
		}, 503, false},
		{"another server", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, 503, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			shop := f.host("shop-1", "shop")
			f.configure(4, farm)
			shop.awaitServing("read.example")
			shop.setResponse(tc.handler)
			before := len(shop.requests())
			a := shop.call("POST", "order.example", "k1")
			assert.Equal(t, a.status, tc.status)
			assert.Equal(t, a.header.Get("X-Server-Seal"), "")
			if tc.once {
				assert.Equal(t, len(shop.requests())-before, 1)
			}
		})
	}
}

// Guards against a caller that gets the answer to an earlier request, because the backend
// server sent a second copy of it on the connection that carries the next request.
func TestSecondCopyOfAnswer(t *testing.T) {
	answer := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	for name, script := range map[string]func(conn net.Conn, next func() string){
		"with the answer": func(conn net.Conn, next func() string) {
			first := next()
			_, _ = io.WriteString(conn, answer(first)+answer(first))
			_, _ = io.WriteString(conn, answer(next()))
		},
		"between two requests": func(conn net.Conn, next func() string) {
			first := next()
			_, _ = io.WriteString(conn, answer(first))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, answer(first))
			_, _ = io.WriteString(conn, answer(next()))
		},
		"after the next request": func(conn net.Conn, next func() string) {
			first := next()
			_, _ = io.WriteString(conn, answer(first))
			second := next()
			_, _ = io.WriteString(conn, answer(first)+answer(second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			shop := f.host("shop-1", "shop")
			f.configure(4, farm)
			shop.awaitServing("read.example")
			shop.setResponse(func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				request := r
				script(conn, func() string {
					if request == nil {
						request, err = http.ReadRequest(buffered.Reader)
					}
					if err != nil {
						return "none"
					}
					id := request.Header.Get("X-Attempt-Id")
					request = nil
					return id
				})
			})
			for range 4 {
				got := shop.call("GET", "read.example", "k1")
				if got.status == http.StatusOK {
					assert.Equal(t, got.body, got.id)
				}
				time.Sleep(40 * time.Millisecond) // a late copy arrives while the connection is idle
			}
		})
	}
}

// Guards against a refusal of an earlier request that a backend server sends once more on a
// kept connection, and that is taken for that of the next request: its caller would be told
// that it did not run, or it would run at a second server.
func TestSecondCopyOfRefusal(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-2\r\nContent-Length: 0\r\n"
	withID := func(refusal string) func(id string) string {
		return func(id string) string { return refusal + "X-Attempt-Id: " + id + "\r\n\r\n" }
	}
	withoutID := func(refusal string) func(string) string {
		return func(string) string { return refusal + "\r\n" }
	}
	for name, refusal := range map[string]func(id string) string{
		"full, names the request":           withID(notRun),
		"full, names no request":            withoutID(notRun),
		"another server, names the request": withID(misdirected),
		"another server, names no request":  withoutID(misdirected),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			shop := f.host("shop-1", "shop")
			f.host("shop-2", "shop")
			f.configure(4, farm)
			shop.awaitServing("read.example")
			shop.awaitEndpoints("shop", 2)
			var running sync.Map // IDs of requests that the server runs
			shop.setResponse(func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				first := r.Header.Get("X-Attempt-Id")
				_, _ = io.WriteString(conn, refusal(first))
				next, err := http.ReadRequest(buffered.Reader)
				if err != nil {
					return // the node did not keep the connection
				}
				running.Store(next.Header.Get("X-Attempt-Id"), true)
				_, _ = io.WriteString(conn, refusal(first))
				if _, err := http.ReadRequest(buffered.Reader); err == nil {
					t.Error("a connection with an answer that belongs to no request is used again")
				}
			})
			for range 10 {
				a := shop.call("POST", "order.example", "k1")
				if _, ran := running.Load(a.id); ran {
					assert.Equal(t, a.status, http.StatusBadGateway, a.body)
				}
			}
		})
	}
}

// Guards against an answer whose head was cut off and that reaches a caller as a success
// with an empty or short body, framed as if it were whole.
func TestHeadCutOff(t *testing.T) {
	const stride = 9 // bytes; besides, each end of a line is a place to cut
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: 3e1b.07.5a2\r\nContent-Length: 0\r\n\r\n"
	}
	whole := head("a100")
	for n := range len(whole) {
		if n%stride != 0 && !strings.ContainsAny(whole[max(n-1, 0):n+1], "\r\n") {
			continue
		}
		t.Run(fmt.Sprintf("after %q", whole[max(n-12, 0):n]), func(t *testing.T) {
			shop, entry := newFleet(t).shopAndEntry()
			shop.setResponse(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				text := head(r.Header.Get("X-Attempt-Id"))
				_, _ = io.WriteString(conn, text[:min(n, len(text)-1)])
				_ = conn.Close()
			})
			for _, h := range []*host{shop, entry} {
				before := len(shop.requests())
				a := h.call("POST", "order.example", "k1")
				assert.Equal(t, a.status, http.StatusBadGateway)
				assert.Equal(t, a.header.Get("X-Server-Seal"), "")
				assert.Equal(t, len(shop.requests())-before, 1)
			}
		})
	}
}

// sendWithoutEnd returns a handler that sends start, then repeats more until the node
// closes the connection. It pauses between repetitions.
func sendWithoutEnd(start, more string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, start)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, more)
		}
	}
}

// Guards against answers without end that hold a request until its deadline, or for which
// memory grows, although the request could run elsewhere.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		pause = 20 * time.Millisecond
		slow  = 50 * time.Millisecond
	)
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
	for name, response := range map[string]http.HandlerFunc{
		"status line":                 sendWithoutEnd("HTTP/1.1 200 ", strings.Repeat("x", 1<<10), 0),
		"headers":                     sendWithoutEnd("HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 1<<10)+"\r\n", 0),
		"one header":                  sendWithoutEnd("HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1<<10), 0),
		"interim answers":             sendWithoutEnd("", "HTTP/1.1 102 Processing\r\n\r\n", 0),
		"no HTTP":                     sendWithoutEnd("", strings.Repeat("x", 1<<10)+"\n", 0),
		"chunk size":                  sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<10), 0),
		"chunk extension":             sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), 0),
		"trailers":                    sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: "+strings.Repeat("x", 1<<10)+"\r\n", 0),
		"one trailer":                 sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", strings.Repeat("x", 1<<10), 0),
		"one name":                    sendWithoutEnd("HTTP/1.1 200 OK\r\n", strings.Repeat("x", 1<<10), 0),
		"line ends":                   sendWithoutEnd("", strings.Repeat("\r\n", 1<<10), 0),
		"zero bytes":                  sendWithoutEnd("", strings.Repeat("\x00", 1<<10), 0),
		"interim headers":             sendWithoutEnd("HTTP/1.1 103 Early Hints\r\n", "X-More: "+strings.Repeat("x", 1<<10)+"\r\n", 0),
		"refusal, chunked, slowly":    sendWithoutEnd(refusal+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", pause),
		"refusal, no length, slowly":  sendWithoutEnd(refusal+"\r\n", "x", pause),
		"refusal, long body, slowly":  sendWithoutEnd(refusal+"Content-Length: 4000\r\n\r\n", "x", pause),
		"refusal, no length, at once": sendWithoutEnd(refusal+"\r\n", strings.Repeat("x", 1<<10), 0),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			bad, good, entry := f.host("shop-1", "shop"), f.host("shop-2", "shop"), f.host("other-1", "other")
			f.configure(4, farm)
			entry.awaitServing("read.example")
			// The other server is slow, so that the faulty one is chosen first.
			good.setResponse(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(slow)
				w.Header().Set("X-Server-Seal", "seal")
				_, _ = io.WriteString(w, "shop-2")
			})
			waitUntil(t, func() string {
				var wg sync.WaitGroup
				for range 3 { // at once, so that they do not all go to the same server
					wg.Go(func() { entry.call("GET", "read.example", "k1") })
				}
				wg.Wait()
				if len(good.requests()) == 0 || len(bad.requests()) == 0 {
					return "one server has had no request"
				}
				return ""
			})
			bad.setResponse(response)
			before := len(bad.requests())
			waitUntil(t, func() string {
				answer := entry.call("GET", "read.example", "k1")
				assert.Equal(t, answer.status, http.StatusOK, answer.body)
				assert.Equal(t, answer.body, "shop-2")
				if len(bad.requests()) == before {
					return "no request reached the faulty server"
				}
				return ""
			})
		})
	}
}
