package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	metrics "github.com/rcrowley/go-metrics"
)

// ControlPath is the path of the control WebSocket on the peers listener.
const ControlPath = "/v1/control"

// Handler processes one control message. The payload is CBOR, to be decoded with
// Unmarshal. The result is the reply to a call; it is ignored for messages from
// Send. The text of the error is sent to the caller, so it must not contain
// secrets. Handlers run concurrently, at most 32 at a time for each connection.
// ctx ends after 30 s or when the connection closes.
type Handler func(ctx context.Context, from Identity, payload []byte) (any, error)

// Config holds the settings of a Mesh.
type Config struct {
	Identity Identity
	Secret   string // cluster token; required
	// Resolve returns the address (ip:port) of a node's peers listener.
	// SetResolve can set it later.
	Resolve func(node string) (addr string, ok bool)
	Metrics metrics.Registry // default: a new registry
	Now     func() time.Time // default time.Now

	IdleTimeout  time.Duration // connections without requests for this long are closed; default 60 s
	DialTimeout  time.Duration // for connecting and both hello messages; default 1 s
	WriteTimeout time.Duration // for writing one message; default 5 s
	MaxConns     int           // limit of accepted and dialled connections together; default 1024

	// Dial replaces the TCP dialler, for example to bind a source address.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 60 * time.Second
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = 5 * time.Second
	}
	if c.MaxConns == 0 {
		c.MaxConns = 1024
	}
	return c
}

// Mesh manages the control connections of one node: at most one in use per peer,
// dialled on demand and closed when idle. It is safe for concurrent use.
type Mesh struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	known  incarnations
	client *http.Client // for the WebSocket handshake of dialled connections

	sent, received, dropped, malformed, dials metrics.Counter

	mu       sync.RWMutex
	resolve  func(node string) (string, bool)
	handlers map[string]Handler
	primary  map[string]*conn // the connection in use, by node ID
	conns    map[*conn]struct{}
	dialling map[string]*dial // by address
}

// NewMesh returns a Mesh. Close releases its resources.
func NewMesh(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg: cfg, ctx: ctx, cancel: cancel,
		known:     incarnations{entries: map[string]incarnationEntry{}},
		client:    controlClient(cfg.Dial),
		sent:      metrics.GetOrRegisterCounter("control_bytes_sent", cfg.Metrics),
		received:  metrics.GetOrRegisterCounter("control_bytes_received", cfg.Metrics),
		dropped:   metrics.GetOrRegisterCounter("control_messages_dropped", cfg.Metrics),
		malformed: metrics.GetOrRegisterCounter("control_messages_malformed", cfg.Metrics),
		dials:     metrics.GetOrRegisterCounter("control_dials", cfg.Metrics),
		resolve:   cfg.Resolve,
		handlers:  map[string]Handler{},
		primary:   map[string]*conn{},
		conns:     map[*conn]struct{}{},
		dialling:  map[string]*dial{},
	}
	go m.closeIdle()
	return m
}

// Identity returns the identity of this node.
func (m *Mesh) Identity() Identity { return m.cfg.Identity }

// SetResolve replaces the function given in Config.Resolve.
func (m *Mesh) SetResolve(f func(node string) (addr string, ok bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resolve = f
}

// Handle registers the handler of one kind of message and replaces the previous
// one.
func (m *Mesh) Handle(kind string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

func (m *Mesh) handler(kind string) Handler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.handlers[kind]
}

// Traffic returns the bytes of control messages sent and received, including
// WebSocket headers, without handshakes and TCP/IP headers.
func (m *Mesh) Traffic() (sent, received int64) {
	return m.sent.Count(), m.received.Count()
}

// Call sends req to a node and decodes its reply into resp, which may be nil.
// Without a deadline in ctx it waits for the reply until the connection breaks.
func (m *Mesh) Call(ctx context.Context, node, kind string, req, resp any) error {
	c, err := m.connect(ctx, node)
	if err != nil {
		return err
	}
	return c.call(ctx, kind, req, resp)
}

// Send sends msg to a node without waiting for an acknowledgement. A nil error
// does not mean that the message arrived.
func (m *Mesh) Send(ctx context.Context, node, kind string, msg any) error {
	b, err := encodeFrame(frameSend, 0, kind, msg)
	if err != nil {
		return err
	}
	c, err := m.connect(ctx, node)
	if err != nil {
		return err
	}
	c.markUsed()
	return c.send(b)
}

// CallAddress is like Call for the node whose peers listener is at addr (ip:port)
// and whose ID need not be known. It returns the identity of that node.
func (m *Mesh) CallAddress(ctx context.Context, addr, kind string, req, resp any) (Identity, error) {
	c := m.connByAddress(addr)
	if c == nil {
		var err error
		if c, err = m.dialShared(ctx, addr); err != nil {
			return Identity{}, err
		}
	}
	return c.remote, c.call(ctx, kind, req, resp)
}

// Close closes all connections and refuses new ones.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.RLock()
	open := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		open = append(open, c)
	}
	m.mu.RUnlock()
	for _, c := range open {
		_ = c.ws.CloseNow() // the connection is discarded, so an error does not matter
	}
}

func (m *Mesh) connByAddress(addr string) *conn {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for c := range m.conns {
		if c.address == addr && c.ctx.Err() == nil {
			return c
		}
	}
	return nil
}

// connect returns an open connection to a node and dials if there is none.
func (m *Mesh) connect(ctx context.Context, node string) (*conn, error) {
	m.mu.RLock()
	c, resolve := m.primary[node], m.resolve
	m.mu.RUnlock()
	if c != nil && c.ctx.Err() == nil {
		return c, nil
	}
	if node == m.cfg.Identity.Node {
		return nil, ErrIdentity.New("message to this node itself")
	}
	if resolve == nil {
		return nil, ErrUnreachable.New("no address of %s", node)
	}
	addr, ok := resolve(node)
	if !ok {
		return nil, ErrUnreachable.New("no address of %s", node)
	}
	c, err := m.dialShared(ctx, addr)
	if err == nil && c.remote.Node != node {
		return nil, ErrIdentity.New("%s is at the address of %s", c.remote.Node, node)
	}
	return c, err
}

// register adds an established connection. It returns an error if a newer
// incarnation of the remote node is known, if there are too many connections, or
// if the mesh is closed.
func (m *Mesh) register(c *conn) error {
	if !m.known.observe(c.remote, m.cfg.Now()) {
		return ErrIdentity.New("a newer incarnation of %s is known", c.remote.Node)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return ErrUnreachable.New("mesh is closed")
	}
	if len(m.conns) >= m.cfg.MaxConns {
		return ErrBusy.New("%d control connections are open", len(m.conns))
	}
	m.conns[c] = struct{}{}
	m.closeOtherIncarnations(c)
	if old := m.primary[c.remote.Node]; old == nil || m.prefer(c, old) {
		m.primary[c.remote.Node] = c
	}
	return nil
}

// closeOtherIncarnations closes the connections to other incarnations of c's
// node. The caller holds m.mu.
func (m *Mesh) closeOtherIncarnations(c *conn) {
	for other := range m.conns {
		if other.remote.Node == c.remote.Node && other.remote.Incarnation != c.remote.Incarnation {
			other.cancel()
			go other.close()
		}
	}
}

// prefer reports whether c replaces old as the connection to use for their node.
// If both sides dialled at once, the connection dialled by the node with the
// lower ID is used, so that both sides choose the same one.
func (m *Mesh) prefer(c, old *conn) bool {
	if old.ctx.Err() != nil || old.remote.Incarnation != c.remote.Incarnation {
		return true
	}
	lowerDialled := func(c *conn) bool { return c.dialled() == (m.cfg.Identity.Node < c.remote.Node) }
	return lowerDialled(c) && !lowerDialled(old)
}

// unregister removes a connection. If it was the one in use, another open one to
// the same process takes its place.
func (m *Mesh) unregister(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	if m.primary[c.remote.Node] != c {
		return
	}
	delete(m.primary, c.remote.Node)
	for other := range m.conns {
		if other.remote == c.remote && other.ctx.Err() == nil {
			m.primary[c.remote.Node] = other
			return
		}
	}
}

// closeIdle closes connections without recent requests until the mesh is closed.
func (m *Mesh) closeIdle() {
	ticker := time.NewTicker(m.cfg.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range m.idleConns() {
			go func() {
				_ = c.ws.Close(websocket.StatusNormalClosure, "idle") // closed even after an error
				c.close()
			}()
		}
	}
}

func (m *Mesh) idleConns() []*conn {
	limit := m.cfg.Now().Add(-m.cfg.IdleTimeout).UnixNano()
	m.mu.RLock()
	defer m.mu.RUnlock()
	var idle []*conn
	for c := range m.conns {
		if c.lastUsed.Load() < limit {
			idle = append(idle, c)
		}
	}
	return idle
}
