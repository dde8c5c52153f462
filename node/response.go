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

// copyBufferBytes is the size of the buffers used to copy response bodies. A response
// body of up to this size is read completely before its first byte is forwarded.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// failure describes a try that produced no usable response. A try is one delivery of a
// call to one endpoint.
type failure struct {
	refusal        *refusal.Refusal
	result         peer.HopResult
	resultReceived bool             // result is that of the destination node
	outcome        balancer.Outcome // reported to the balancer
	// unreachable reports that the connection to the destination node failed, or that
	// another node answered at its address.
	unreachable bool
	notTried    bool // no endpoint was available or no attempt was left
}

// balancerOutcome returns the outcome to report to the balancer for a refusal by the
// destination node.
func balancerOutcome(r *refusal.Refusal) balancer.Outcome {
	switch r.Reason {
	case refusal.BackendFailed, refusal.AnswerIncomplete, refusal.NoBackendServer, refusal.Internal, refusal.WrongNode:
		return balancer.Failed
	case refusal.Overload, refusal.Draining, refusal.BackendLimited:
		return balancer.Refused
	case refusal.Deadline:
		if r.Ran == refusal.RanNo {
			return balancer.Refused
		}
	}
	return balancer.Cancelled
}

// response is a backend server's response on its way to the caller. Its header holds
// no internal headers. It is not safe for concurrent use.
type response struct {
	status    int
	header    http.Header
	length    int64 // declared length, bytes; -1 if unknown
	httpResp  *http.Response
	noBody    bool           // the status or the method permits no body
	pick      *balancer.Pick // nil once its result has been reported
	streaming bool           // the length is unknown: flush after each part
	latency   time.Duration  // from the start of the try until readAhead has returned

	// finish ends the exchange and returns its result, or false if no result was
	// received. complete reports that the whole body was read. Only close calls it.
	finish     func(complete bool) (peer.HopResult, bool)
	closed     bool
	onEnd      func()         // called by close
	result     peer.HopResult // after close
	resultLost bool           // after close: no result was received

	buffer        *[copyBufferBytes]byte
	buffered      []byte // what readAhead has read of the body
	fullyBuffered bool   // buffered is the whole body
}

func newResponse(resp *http.Response, method string, length int64) *response {
	return &response{
		status: resp.StatusCode, header: forwardable(resp.Header, 2), length: length, httpResp: resp,
		noBody: method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified,
	}
}

var errResponseIncomplete = errors.New("the response is incomplete or has the wrong length")

// readAhead reads the body until it ends or the buffer is full. If the length is
// unknown and all is not set, it stops after the first part. If the body ends, the
// exchange is closed and fullyBuffered is set. An error means that the response is
// incomplete or has a wrong length.
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

// endBody closes the exchange after a body of n bytes and returns an error unless the
// response is complete.
func (res *response) endBody(n int64) error {
	if res.length >= 0 && n != res.length && !res.noBody {
		return errResponseIncomplete
	}
	res.close(true)
	if res.resultLost || !res.result.Complete {
		return errResponseIncomplete
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

// setOnEnd arranges for f to be called when the exchange ends, or calls it at once if
// it has ended.
func (res *response) setOnEnd(f func()) {
	res.onEnd = f
	if res.closed {
		f()
	}
}

// release returns the buffer to its pool, and closes the exchange if a panic has
// prevented that. It must be called when the response is no longer used.
func (res *response) release() {
	res.close(false)
	if res.buffer != nil {
		copyBuffers.Put(res.buffer)
		res.buffer, res.buffered = nil, nil
	}
}

// writeTo sends the response to w and closes the exchange. The receiver has until the
// deadline to read it. After an error the response at w is incomplete and its
// connection must not be reused.
func (res *response) writeTo(w http.ResponseWriter, deadline time.Time) error {
	if !res.fullyBuffered {
		// Without a deadline, a receiver that does not read would hold the backend
		// server's slot.
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

// stream forwards the rest of the body after the first count bytes.
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
			err = errResponseIncomplete
		}
		if err == nil {
			_, err = w.Write(res.buffer[:n])
		}
		if err != nil {
			return res.fail(err)
		}
	}
}

// expectEOF reads the end of a body that has reached its declared length. The last
// part is forwarded only afterwards, so that the receiver does not see a complete body
// before the exchange has ended.
func (res *response) expectEOF() error {
	var one [1]byte
	n, err := res.httpResp.Body.Read(one[:])
	if n > 0 {
		return errResponseIncomplete
	}
	return err
}

// setHeaders copies the response headers to h. On a hop to another node (toHop) every
// body is chunked, so its length is sent in headerAnswerLength.
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
		h["Content-Type"] = nil // keeps net/http from adding a guessed one
	}
}

func (res *response) bodyLength() int64 {
	if res.length < 0 && !res.noBody {
		return int64(len(res.buffered))
	}
	return res.length
}

// trailerNames returns the declared trailers that may be forwarded.
func (res *response) trailerNames() []string {
	var names []string
	for name := range res.httpResp.Trailer {
		if !hopByHop[name] && !strings.HasPrefix(name, internalPrefix) {
			names = append(names, name)
		}
	}
	return names
}

// setTrailers copies the given trailers to h. It must be called after the end of the
// body.
func (res *response) setTrailers(h http.Header, names []string) {
	for _, name := range names {
		h[name] = res.httpResp.Trailer[name]
	}
}
