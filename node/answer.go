package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// copyBufferBytes is the size of the buffers that answers are copied with. An
// answer of up to this size is complete before its first byte is passed on.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// failure is a try that gave no usable answer.
type failure struct {
	refusal *refusal.Refusal
	result  peer.HopResult
	heard   bool             // result comes from the destination node
	kind    balancer.Outcome // for the balancer
	// unreachable tells that the destination node could not be connected to, or is
	// another one than was meant.
	unreachable bool
	untried     bool // no endpoint or no attempt was there for the try
}

// kindOf tells the balancer what a refusal by the destination node means.
func kindOf(r *refusal.Refusal) balancer.Outcome {
	switch r.Reason {
	case refusal.BackendFailed, refusal.AnswerIncomplete, refusal.NoBackendServer, refusal.Internal, refusal.WrongNode:
		return balancer.Failed
	case refusal.Overload, refusal.Draining:
		return balancer.Refused
	case refusal.Deadline:
		if r.Ran == refusal.RanNo {
			return balancer.Refused
		}
	}
	return balancer.Cancelled
}

// answer is an answer of a backend server on its way to the caller. All
// internal headers are removed from header.
type answer struct {
	status  int
	header  http.Header
	length  int64 // promised length, bytes; -1 if unknown
	resp    *http.Response
	noBody  bool           // the status or the method excludes a body
	pick    *balancer.Pick // nil once it was told the result
	flushes bool           // the length is unknown: pass on each part at once
	latency time.Duration  // from the start of the try to the head of the answer

	// finish ends the exchange and returns its result, or false if the result
	// is lost. complete tells that the whole body was read. Call close instead.
	finish func(complete bool) (peer.HopResult, bool)
	closed bool
	onEnd  func()         // called by close
	result peer.HopResult // after close
	lost   bool           // after close: result is unknown

	buffer *[copyBufferBytes]byte
	head   []byte // read ahead
	whole  bool   // head is the whole body
}

func newAnswer(resp *http.Response, method string, length int64) *answer {
	return &answer{
		status: resp.StatusCode, header: forwardable(resp.Header, 2), length: length, resp: resp,
		noBody: method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified,
	}
}

var errAnswerLength = errors.New("the answer does not have its promised length")

// readAhead reads the first part of the body: all of it if it is short enough
// and its length is known or all is set. Without an error, either the answer
// is whole or its body goes on.
func (a *answer) readAhead(all bool) error {
	a.buffer = copyBuffers.Get().(*[copyBufferBytes]byte)
	n := 0
	for n < len(a.buffer) {
		m, err := a.resp.Body.Read(a.buffer[n:])
		n += m
		a.head = a.buffer[:n]
		if errors.Is(err, io.EOF) {
			return a.end(int64(n))
		}
		if err != nil {
			return err
		}
		if a.length < 0 && !all && n > 0 {
			break
		}
	}
	a.flushes = a.length < 0
	return nil
}

// end checks that a body of n bytes is the whole answer.
func (a *answer) end(n int64) error {
	if a.length >= 0 && n != a.length && !a.noBody {
		return errAnswerLength
	}
	a.close(true)
	if a.lost || !a.result.Complete {
		return errAnswerLength
	}
	a.whole = true
	return nil
}

// close ends the exchange. Later calls have no effect.
func (a *answer) close(complete bool) {
	if a.closed {
		return
	}
	a.closed = true
	result, ok := a.finish(complete)
	a.result, a.lost = result, !ok
	if a.onEnd != nil {
		a.onEnd()
	}
}

// whenEnded calls f when the exchange ends, or at once if it has ended.
func (a *answer) whenEnded(f func()) {
	a.onEnd = f
	if a.closed {
		f()
	}
}

// release closes the exchange, if a panic has kept that from happening, and
// gives the buffer back. It must be called at the end.
func (a *answer) release() {
	a.close(false)
	if a.buffer != nil {
		copyBuffers.Put(a.buffer)
		a.buffer, a.head = nil, nil
	}
}

// writeTo passes the answer on. An error means that the answer is incomplete
// at w and that the connection must not be used any more. The exchange is
// closed in either case. The receiver has until the deadline to take the answer.
func (a *answer) writeTo(w http.ResponseWriter, deadline time.Time) error {
	if !a.whole {
		// A receiver that does not read must not hold the backend server's slot.
		_ = http.NewResponseController(w).SetWriteDeadline(deadline)
	}
	w.WriteHeader(a.status)
	if a.noBody {
		return nil
	}
	if _, err := w.Write(a.head); err != nil {
		return a.fail(err)
	}
	if a.whole {
		return nil
	}
	return a.stream(w, int64(len(a.head)))
}

func (a *answer) fail(err error) error {
	a.close(false)
	return err
}

// stream passes on the rest of the body after the first count bytes.
func (a *answer) stream(w http.ResponseWriter, count int64) error {
	control := http.NewResponseController(w)
	for {
		if a.flushes {
			if err := control.Flush(); err != nil {
				return a.fail(err)
			}
		}
		n, err := a.resp.Body.Read(a.buffer[:])
		count += int64(n)
		if err == nil && count == a.length {
			err = a.expectEnd()
		}
		if errors.Is(err, io.EOF) {
			if err := a.end(count); err != nil {
				return a.fail(err)
			}
			_, err := w.Write(a.buffer[:n])
			return err
		}
		if err == nil && a.length >= 0 && count > a.length {
			err = errAnswerLength
		}
		if err == nil {
			_, err = w.Write(a.buffer[:n])
		}
		if err != nil {
			return a.fail(err)
		}
	}
}

// expectEnd reads the end of a body that has its promised length. The last
// part is passed on only after that, so the receiver does not see a complete
// body before the exchange has ended.
func (a *answer) expectEnd() error {
	var one [1]byte
	n, err := a.resp.Body.Read(one[:])
	if n > 0 {
		return errAnswerLength
	}
	return err
}

// setHeaders copies the answer's headers to those of w. On a data hop the
// length travels in a header of its own, because every body is chunked.
func (a *answer) setHeaders(h http.Header, toHop, trailers bool) {
	for name, values := range a.header {
		h[name] = values
	}
	switch {
	case a.length < 0 && (!a.whole || trailers):
	case toHop && !a.noBody:
		h[headerAnswerLength] = []string{strconv.FormatInt(a.bodyLength(), 10)}
	case a.status != http.StatusNoContent:
		if n := a.bodyLength(); n >= 0 {
			h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func (a *answer) bodyLength() int64 {
	if a.length < 0 && !a.noBody {
		return int64(len(a.head))
	}
	return a.length
}

// trailerNames returns the declared trailers that may be passed on.
func (a *answer) trailerNames() []string {
	var names []string
	for name := range a.resp.Trailer {
		if !hopByHop[name] && !strings.HasPrefix(name, internalPrefix) {
			names = append(names, name)
		}
	}
	return names
}

// setTrailers copies the declared trailers after the end of the body.
func (a *answer) setTrailers(h http.Header, names []string) {
	for _, name := range names {
		h[name] = a.resp.Trailer[name]
	}
}
