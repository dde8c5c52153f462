package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/dotterelseam/dotterelseam/internal/httpclient"
)

// dial is a connection attempt that several callers may wait for. conn and err
// are set before done is closed.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// dialShared waits for the attempt in progress for an address, or starts one. If
// ctx ends, the attempt continues for later callers.
func (m *Mesh) dialShared(ctx context.Context, addr string) (*conn, error) {
	m.mu.Lock()
	d := m.dialling[addr]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		m.dialling[addr] = d
		go m.finishDial(d, addr)
	}
	m.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ErrUnreachable.New("connecting to %s: %w", addr, ctx.Err())
	}
}

func (m *Mesh) finishDial(d *dial, addr string) {
	d.conn, d.err = m.dial(addr)
	m.mu.Lock()
	delete(m.dialling, addr)
	m.mu.Unlock()
	close(d.done)
}

func (m *Mesh) dial(addr string) (*conn, error) {
	m.dials.Inc(1)
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.DialTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+addr+ControlPath, &websocket.DialOptions{
		HTTPClient: m.client,
		HTTPHeader: http.Header{HeaderToken: {m.cfg.Secret}},
	})
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusForbidden {
			return nil, ErrUnreachable.New("%s refused the cluster token", addr)
		}
		return nil, ErrUnreachable.Wrap(err)
	}
	ws.SetReadLimit(MaxMessageBytes)
	c, err := m.exchangeHello(ctx, ws, addr)
	if err != nil {
		_ = ws.CloseNow() // the connection is discarded, so an error does not matter
		return nil, err
	}
	go c.run()
	return c, nil
}

// exchangeHello sends this node's hello on a dialled connection, reads the peer's
// and registers the connection.
func (m *Mesh) exchangeHello(ctx context.Context, ws *websocket.Conn, addr string) (*conn, error) {
	if err := m.sendHello(ctx, ws); err != nil {
		return nil, err
	}
	remote, err := readHello(ctx, ws)
	if err != nil {
		return nil, err
	}
	if remote.Node == m.cfg.Identity.Node {
		return nil, ErrIdentity.New("%s is this node itself", addr)
	}
	c := newConn(m, ws, remote, addr)
	if err := m.register(c); err != nil {
		c.cancel()
		return nil, err
	}
	return c, nil
}

// controlBufferBytes is small because each connection keeps its buffers for its
// whole lifetime.
const controlBufferBytes = 1 << 10

const tcpKeepAlive = 15 * time.Second

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// controlClient returns the HTTP client for the WebSocket handshake of dialled
// connections. dial may be nil.
func controlClient(dial dialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: tcpKeepAlive}).DialContext
	}
	return httpclient.New(&http.Transport{
		DialContext:     dial,
		ReadBufferSize:  controlBufferBytes,
		WriteBufferSize: controlBufferBytes,
	})
}
