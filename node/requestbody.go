package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// maxReplayBody is the size up to which a request body is buffered, so that it can be
// sent again in another try.
const maxReplayBody = 64 << 10 // bytes

// lingerTime is how long the server continues to read after a response that was sent
// before the end of the request body.
const lingerTime = time.Second

var errBodyClosed = errors.New("request body is no longer available")

// requestBody is the body of a request to be delivered to a backend server. A body of
// up to maxReplayBody is fully buffered; a larger one is streamed.
type requestBody struct {
	declaredLength int64       // bytes; -1 if unknown
	limit          int64       // largest allowed length, bytes
	trailer        http.Header // trailers that may be forwarded; filled at the end of the body
	idleTimeout    time.Duration
	deadline       time.Time
	control        *http.ResponseController
	request        *http.Request

	refused  atomic.Pointer[refusal.Refusal] // why the body could not be read from the sender
	complete atomic.Bool                     // the body was read to its end
	closed   atomic.Bool

	streamMu sync.Mutex
	stream   *bodyStream // of the current try; nil between tries
	consumed bool        // a stream has read from the body, so no other one can read all of it

	// mu serialises read with finish. It guards buffered and bytesRead once the body
	// is streamed.
	mu            sync.Mutex
	buffered      []byte // the part not yet streamed, or the whole body if fullyBuffered
	fullyBuffered bool   // does not change after newRequestBody
	bytesRead     int64  // read from the sender
}

// newRequestBody returns the body of r after reading the part that is buffered.
// declared is the declared length in bytes, or -1; on hops it differs from
// r.ContentLength. The sender may pause for idleTimeout and must finish by the
// deadline. The body is returned with a refusal too, and finish must be called on it
// in any case.
func newRequestBody(w http.ResponseWriter, r *http.Request, declared, limit int64, idleTimeout time.Duration, deadline time.Time) (*requestBody, *refusal.Refusal) {
	b := &requestBody{declaredLength: declared, limit: limit, idleTimeout: idleTimeout, deadline: deadline, request: r}
	if declared > limit {
		b.control = http.NewResponseController(w)
		_ = b.control.EnableFullDuplex()
		return b, refusal.New(refusal.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		b.fullyBuffered = true
		b.complete.Store(true)
		if declared > 0 {
			return b, refusal.New(refusal.BodyIncomplete, "the body has 0 of %d promised bytes", declared)
		}
		b.declaredLength = 0
		return b, nil
	}
	b.trailer = forwardableTrailers(r.Trailer)
	b.control = http.NewResponseController(w)
	// Without full duplex, net/http reads the rest of the body before it sends a
	// response, so that a slow sender would delay a refusal.
	_ = b.control.EnableFullDuplex()
	if declared > maxReplayBody {
		return b, nil
	}
	return b, b.buffer()
}

// buffer reads up to maxReplayBody bytes.
func (b *requestBody) buffer() *refusal.Refusal {
	var buf bytes.Buffer
	if b.declaredLength > 0 {
		buf.Grow(int(b.declaredLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(readerFunc(b.readRequest), maxReplayBody))
	b.buffered = buf.Bytes()
	switch {
	case b.refused.Load() != nil:
		return b.refused.Load()
	case err != nil:
		return refusal.New(refusal.BodyIncomplete, "%v", err)
	case len(b.buffered) < maxReplayBody || b.declaredLength == maxReplayBody:
		b.fullyBuffered = true
		b.declaredLength = int64(len(b.buffered))
	}
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readRequest reads from the sender, limits its pauses and checks the length.
func (b *requestBody) readRequest(p []byte) (int, error) {
	// An error means that the connection does not support deadlines; the deadline of
	// the request still ends the exchange.
	_ = b.control.SetReadDeadline(b.readDeadline())
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	n, err := b.request.Body.Read(p)
	b.bytesRead += int64(n)
	switch {
	case b.bytesRead > b.limit:
		return 0, b.refuse(refusal.BodyTooLarge, "the body is longer than %d bytes", b.limit)
	case b.declaredLength >= 0 && b.bytesRead > b.declaredLength:
		return 0, b.refuse(refusal.BodyIncomplete, "the body is longer than the promised %d bytes", b.declaredLength)
	case errors.Is(err, io.EOF) && b.declaredLength >= 0 && b.bytesRead < b.declaredLength:
		return 0, b.refuse(refusal.BodyIncomplete, "the body has %d of %d promised bytes", b.bytesRead, b.declaredLength)
	case errors.Is(err, io.EOF):
		b.markComplete()
		return n, io.EOF
	case err != nil && !time.Now().Before(b.deadline):
		return 0, b.refuse(refusal.Deadline, "the body was not complete at the deadline")
	case err != nil:
		return 0, b.refuse(refusal.BodyIncomplete, "the body ended after %d bytes: %v", b.bytesRead, err)
	}
	return n, nil
}

func (b *requestBody) readDeadline() time.Time {
	t := time.Now().Add(b.idleTimeout)
	if t.After(b.deadline) {
		return b.deadline
	}
	return t
}

// markComplete copies the trailers and removes the read deadline, which would
// otherwise cancel the request while it waits for its response.
func (b *requestBody) markComplete() {
	b.complete.Store(true)
	_ = b.control.SetReadDeadline(time.Time{})
	for name := range b.trailer {
		b.trailer[name] = b.request.Trailer[name]
	}
}

// forwardableTrailers returns the declared trailers that may be forwarded, without
// values.
func forwardableTrailers(declared http.Header) http.Header {
	var out http.Header
	for name := range declared {
		if hopByHop[name] || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = nil
	}
	return out
}

func (b *requestBody) refuse(reason refusal.Reason, format string, args ...any) error {
	r := refusal.New(reason, format, args...)
	b.refused.Store(r)
	return r
}

// read reads a part of a streamed body.
func (b *requestBody) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	return b.readRequest(p)
}

// finish makes the body unreadable and interrupts a read that waits for the sender. It
// must be called before the handler returns, because the goroutine that writes the
// request may still be reading.
func (b *requestBody) finish() {
	if b.control == nil || b.complete.Load() {
		return
	}
	b.closed.Store(true)
	_ = b.control.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	// net/http reads part of the rest, so that the sender receives the response before
	// the connection is reset.
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
}

// senderRefusal returns why the body could not be read from the sender, or nil.
func (b *requestBody) senderRefusal() *refusal.Refusal { return b.refused.Load() }

// replayable reports whether the body can be sent (again). It must not be called during a
// try.
func (b *requestBody) replayable() bool {
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	return b.fullyBuffered || !b.consumed
}
