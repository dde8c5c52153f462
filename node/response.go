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
	refusal        *refusal.Refusal
	result         peer.HopResult
	resultReceived bool             // result comes from the destination node
	outcome        balancer.Outcome // for the balancer
	// unreachable tells that the destination node could not be connected to, or is
	// another one than was meant.
	unreachable bool
	notTried    bool // no endpoint or no attempt was there for the try
}

// kindOf tells the balancer what a refusal by the destination node means.
func balancerOutcome(r *refusal.Refusal) balancer.Outcome {
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
type response struct {
	status    int
	header    http.Header
	length    int64 // promised length, bytes; -1 if unknown
	httpResp  *http.Response
	noBody    bool           // the status or the method excludes a body
	pick      *balancer.Pick // nil once it was told the result
	streaming bool           // the length is unknown: pass on each part at once
	latency   time.Duration  // from the start of the try to the head of the answer

	// finish ends the exchange and returns its result, or false if the result
	// is lost. complete tells that the whole body was read. Call close instead.
	finish     func(complete bool) (peer.HopResult, bool)
	closed     bool
	onEnd      func()         // called by close
	result     peer.HopResult // after close
	resultLost bool           // after close: result is unknown

	buffer        *[copyBufferBytes]byte
	buffered      []byte // read ahead
	fullyBuffered bool   // head is the whole body
}

func newResponse(resp *http.Response, method string, length int64) *response {
	return &response{
		status: resp.StatusCode, header: forwardable(resp.Header, 2), length: length, httpResp: resp,
		noBody: method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified,
	}
}

var errResponseLength = errors.New("the answer does not have its promised length")

// readAhead reads the first part of the body: all of it if it is short enough
// and its length is known or all is set. Without an error, either the answer
// is whole or its body goes on.
func (res *response) readAhead(all bool) error {
	res.buffer = copyBuffers.Get().(*[copyBufferBytes]byte)
	n := 0
	for n < len(res.buffer) {
		m, err := res.httpResp.Body.Read(res.buffer[n:])
		n += m
		res.buffered = res.buffer[:n]
		if errors.Is(err, io.EOF) {
			return res.endBody(int64(n))
		}
		if err != nil {
			return err
		}
		if res.length < 0 && !all && n > 0 {
			break
		}
	}
	res.streaming = res.length < 0
	return nil
}

// end checks that a body of n bytes is the whole answer.
func (res *response) endBody(n int64) error {
	if res.length >= 0 && n != res.length && !res.noBody {
		return errResponseLength
	}
	res.close(true)
	if res.resultLost || !res.result.Complete {
		return errResponseLength
	}
	res.fullyBuffered = true
	return nil
}

// close ends the exchange. Later calls have no effect.
func (res *response) close(complete bool) {
	if res.closed {
		return
	}
	res.closed = true
	result, ok := res.finish(complete)
	res.result, res.resultLost = result, !ok
	if res.onEnd != nil {
		res.onEnd()
	}
}

// whenEnded calls f when the exchange ends, or at once if it has ended.
func (res *response) setOnEnd(f func()) {
	res.onEnd = f
	if res.closed {
		f()
	}
}

// release closes the exchange, if a panic has kept that from happening, and
// gives the buffer back. It must be called at the end.
func (res *response) release() {
	res.close(false)
	if res.buffer != nil {
		copyBuffers.Put(res.buffer)
		res.buffer, res.buffered = nil, nil
	}
}

// writeTo passes the answer on. An error means that the answer is incomplete
// at w and that the connection must not be used any more. The exchange is
// closed in either case. The receiver has until the deadline to take the answer.
func (res *response) writeTo(w http.ResponseWriter, deadline time.Time) error {
	if !res.fullyBuffered {
		// A receiver that does not read must not hold the backend server's slot.
		_ = http.NewResponseController(w).SetWriteDeadline(deadline)
	}
	w.WriteHeader(res.status)
	if res.noBody {
		return nil
	}
	if _, err := w.Write(res.buffered); err != nil {
		return res.fail(err)
	}
	if res.fullyBuffered {
		return nil
	}
	return res.stream(w, int64(len(res.buffered)))
}

func (res *response) fail(err error) error {
	res.close(false)
	return err
}

// stream passes on the rest of the body after the first count bytes.
func (res *response) stream(w http.ResponseWriter, count int64) error {
	control := http.NewResponseController(w)
	for {
		if res.streaming {
			if err := control.Flush(); err != nil {
				return res.fail(err)
			}
		}
		n, err := res.httpResp.Body.Read(res.buffer[:])
		count += int64(n)
		if err == nil && count == res.length {
			err = res.expectEOF()
		}
		if errors.Is(err, io.EOF) {
			if err := res.endBody(count); err != nil {
				return res.fail(err)
			}
			_, err := w.Write(res.buffer[:n])
			return err
		}
		if err == nil && res.length >= 0 && count > res.length {
			err = errResponseLength
		}
		if err == nil {
			_, err = w.Write(res.buffer[:n])
		}
		if err != nil {
			return res.fail(err)
		}
	}
}

// expectEnd reads the end of a body that has its promised length. The last
// part is passed on only after that, so the receiver does not see a complete
// body before the exchange has ended.
func (res *response) expectEOF() error {
	var one [1]byte
	n, err := res.httpResp.Body.Read(one[:])
	if n > 0 {
		return errResponseLength
	}
	return err
}

// setHeaders copies the answer's headers to those of w. On a data hop the
// length travels in a header of its own, because every body is chunked.
func (res *response) setHeaders(h http.Header, toHop, trailers bool) {
	for name, values := range res.header {
		h[name] = values
	}
	switch {
	case res.length < 0 && (!res.fullyBuffered || trailers):
	case toHop && !res.noBody:
		h[headerAnswerLength] = []string{strconv.FormatInt(res.bodyLength(), 10)}
	case res.status != http.StatusNoContent:
		if n := res.bodyLength(); n >= 0 {
			h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func (res *response) bodyLength() int64 {
	if res.length < 0 && !res.noBody {
		return int64(len(res.buffered))
	}
	return res.length
}

// trailerNames returns the declared trailers that may be passed on.
func (res *response) trailerNames() []string {
	var names []string
	for name := range res.httpResp.Trailer {
		if !hopByHop[name] && !strings.HasPrefix(name, internalPrefix) {
			names = append(names, name)
		}
	}
	return names
}

// setTrailers copies the declared trailers after the end of the body.
func (res *response) setTrailers(h http.Header, names []string) {
	for _, name := range names {
		h[name] = res.httpResp.Trailer[name]
	}
}
