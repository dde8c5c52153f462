package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// Maximum number of messages waiting to be written to one connection.
	maxQueuedMessages = 256
	// Maximum number of bytes waiting to be written to one connection.
	maxQueuedBytes = 4 << 20
	// Frames up to this size bypass the queue. Their write blocks only if the peer
	// has not read for so long that the socket's send buffer is full.
	maxDirectBytes = 4 << 10
	// Maximum number of requests of one connection that are processed at the same
	// time. Further requests are refused, so that waiting handlers never block the
	// reading of replies.
	maxConcurrentRequests = 32
	// Timeout of a handler's context.
	handlerTimeout = 30 * time.Second
	// A connection on which a call timed out is closed if nothing has been read
	// from it for this long.
	silenceTimeout = time.Second
)

// conn is one established WebSocket connection.
type conn struct {
	mesh    *Mesh
	ws      *websocket.Conn
	remote  Identity
	address string // dialled address; empty for accepted connections
	ctx     context.Context
	cancel  context.CancelFunc

	writeMu      sync.Mutex // held during a write
	queue        chan []byte
	queuedBytes  atomic.Int64  // bytes in queue
	requestSlots chan struct{} // one element per request being processed
	lastUsed     atomic.Int64  // unix nanoseconds of the last request in either direction
	lastRead     atomic.Int64  // unix nanoseconds of the last frame read

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan frame // reply channels by call ID
}

func newConn(m *Mesh, ws *websocket.Conn, remote Identity, address string) *conn {
	ctx, cancel := context.WithCancel(m.ctx)
	c := &conn{
		mesh: m, ws: ws, remote: remote, address: address, ctx: ctx, cancel: cancel,
		queue:        make(chan []byte, maxQueuedMessages),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		pending:      map[uint64]chan frame{},
	}
	now := m.cfg.Now().UnixNano()
	c.lastUsed.Store(now)
	c.lastRead.Store(now)
	return c
}

func (c *conn) dialled() bool { return c.address != "" }

// run serves the connection until it breaks or is closed.
func (c *conn) run() {
	go c.writeLoop()
	c.readLoop()
	c.close()
}

func (c *conn) close() {
	c.cancel()
	_ = c.ws.CloseNow() // the connection is discarded, so an error does not matter
	c.mesh.unregister(c)
}

func (c *conn) markUsed() { c.lastUsed.Store(c.mesh.cfg.Now().UnixNano()) }

// send writes a small frame directly if nothing else is being written, which
// avoids a switch of goroutines, and otherwise queues it for writeLoop.
func (c *conn) send(b []byte) error {
	if c.ctx.Err() != nil {
		return ErrUnreachable.New("connection to %s is closed", c.remote.Node)
	}
	if len(b) <= maxDirectBytes && len(c.queue) == 0 && c.writeMu.TryLock() {
		defer c.writeMu.Unlock()
		if err := c.write(b); err != nil {
			c.cancel()
			return ErrUnreachable.Wrap(err)
		}
		return nil
	}
	return c.enqueue(b)
}

// enqueue queues an encoded frame for writeLoop without waiting. The error is of
// class ErrBusy if the queue is full.
func (c *conn) enqueue(b []byte) error {
	if c.queuedBytes.Add(int64(len(b))) > maxQueuedBytes {
		c.queuedBytes.Add(-int64(len(b)))
		c.mesh.dropped.Inc(1)
		return ErrBusy.New("%d bytes are waiting for %s", maxQueuedBytes, c.remote.Node)
	}
	select {
	case c.queue <- b:
		return nil
	default:
		c.queuedBytes.Add(-int64(len(b)))
		c.mesh.dropped.Inc(1)
		return ErrBusy.New("%d messages are waiting for %s", maxQueuedMessages, c.remote.Node)
	}
}

func (c *conn) writeLoop() {
	defer c.cancel()
	for {
		select {
		case <-c.ctx.Done():
			return
		case b := <-c.queue:
			c.queuedBytes.Add(-int64(len(b)))
			c.writeMu.Lock()
			err := c.write(b)
			c.writeMu.Unlock()
			if err != nil {
				return
			}
		}
	}
}

func (c *conn) write(b []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.mesh.cfg.WriteTimeout)
	defer cancel()
	err := c.ws.Write(ctx, websocket.MessageBinary, b)
	if err == nil {
		c.mesh.sent.Inc(frameBytes(len(b), c.dialled()))
	}
	return err
}

func (c *conn) readLoop() {
	for {
		f, err := c.read(c.ctx)
		if err != nil {
			return
		}
		if !c.mesh.known.observe(c.remote, c.mesh.cfg.Now()) {
			return // a newer incarnation of the node is known
		}
		c.dispatch(f)
	}
}

func (c *conn) read(ctx context.Context) (frame, error) {
	var f frame
	_, b, err := c.ws.Read(ctx)
	if err != nil {
		return f, ErrUnreachable.Wrap(err)
	}
	c.lastRead.Store(c.mesh.cfg.Now().UnixNano())
	c.mesh.received.Inc(frameBytes(len(b), !c.dialled()))
	err = Unmarshal(b, &f)
	if err != nil {
		c.mesh.malformed.Inc(1)
	}
	return f, err
}

func (c *conn) dispatch(f frame) {
	switch f.Type {
	case frameReply, frameError, frameBusy:
		c.deliverReply(f)
	case frameSend, frameCall:
		c.markUsed()
		select {
		case c.requestSlots <- struct{}{}:
			go c.serve(f)
		default:
			c.mesh.dropped.Inc(1)
			c.reply(f, frameBusy, "too many requests at once")
		}
	default:
		c.mesh.malformed.Inc(1)
	}
}

func (c *conn) deliverReply(f frame) {
	c.mu.Lock()
	ch := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f // never blocks: the channel has a buffer for the only reply
	}
}

func (c *conn) serve(f frame) {
	defer func() { <-c.requestSlots }()
	handler := c.mesh.handler(f.Kind)
	if handler == nil {
		c.reply(f, frameError, "unknown kind of message")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, handlerTimeout)
	defer cancel()
	result, err := handler(ctx, c.remote, f.Payload)
	if err != nil {
		c.reply(f, frameError, err.Error())
		return
	}
	c.reply(f, frameReply, result)
}

// reply sends the outcome of a call. Send errors are ignored; the caller then
// times out.
func (c *conn) reply(f frame, t frameType, msg any) {
	if f.Type != frameCall {
		return
	}
	b, err := encodeFrame(t, f.ID, "", msg)
	if err != nil {
		b, err = encodeFrame(frameError, f.ID, "", err.Error())
	}
	if err == nil {
		_ = c.send(b)
	}
}

// call sends a request and waits for its reply.
func (c *conn) call(ctx context.Context, kind string, req, resp any) error {
	id, ch := c.registerCall()
	defer c.unregisterCall(id)
	b, err := encodeFrame(frameCall, id, kind, req)
	if err != nil {
		return err
	}
	c.markUsed()
	start := c.mesh.cfg.Now()
	if err := c.send(b); err != nil {
		return err
	}
	select {
	case f := <-ch:
		return decodeReply(f, resp)
	case <-c.ctx.Done():
		return ErrUnreachable.New("connection to %s broke during %s", c.remote.Node, kind)
	case <-ctx.Done():
		c.closeIfSilent(start)
		return ErrUnreachable.New("%s to %s: %w", kind, c.remote.Node, ctx.Err())
	}
}

// registerCall returns the ID of a new call and the channel for its reply.
func (c *conn) registerCall() (uint64, chan frame) {
	ch := make(chan frame, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.pending[c.nextID] = ch
	return c.nextID, ch
}

func (c *conn) unregisterCall(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// closeIfSilent closes the connection if nothing has been read from it since
// start and for at least silenceTimeout. start is the time at which an unanswered
// call began. The next call then dials again.
func (c *conn) closeIfSilent(start time.Time) {
	last := time.Unix(0, c.lastRead.Load())
	if last.Before(start) && c.mesh.cfg.Now().Sub(last) >= silenceTimeout {
		c.cancel()
		go c.close()
	}
}

// decodeReply decodes a reply into resp, which may be nil, or returns the error
// that the peer sent.
func decodeReply(f frame, resp any) error {
	switch f.Type {
	case frameReply:
		if resp == nil {
			return nil
		}
		return Unmarshal(f.Payload, resp)
	case frameBusy:
		return ErrBusy.Wrap(ErrRemote.New("%s", errorText(f.Payload)))
	}
	return ErrRemote.New("%s", errorText(f.Payload))
}

func errorText(payload cbor.RawMessage) string {
	var text string
	if Unmarshal(payload, &text) != nil {
		return "unreadable error"
	}
	return text
}
