package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
)

// ServeHTTP accepts a control connection. It has to be mounted at ControlPath on
// the peers listener. A request without the cluster token gets status 403.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !TokenEqual(r.Header.Get(HeaderToken), m.cfg.Secret) {
		http.Error(w, "cluster token is missing or wrong", http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the response
	}
	ws.SetReadLimit(MaxMessageBytes)
	c, err := m.acceptHello(ws)
	if err != nil {
		_ = ws.Close(websocket.StatusPolicyViolation, "refused") // closed even after an error
		return
	}
	// Served in a goroutine, so that the HTTP server can release the request's
	// resources.
	go c.run()
}

// acceptHello reads the hello of an accepted connection, sends this node's and
// registers the connection.
func (m *Mesh) acceptHello(ws *websocket.Conn) (*conn, error) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.DialTimeout)
	defer cancel()
	remote, err := readHello(ctx, ws)
	if err != nil {
		m.malformed.Inc(1)
		return nil, err
	}
	if !m.known.observe(remote, m.cfg.Now()) {
		return nil, ErrIdentity.New("a newer incarnation of %s is known", remote.Node)
	}
	if err := m.sendHello(ctx, ws); err != nil {
		return nil, err
	}
	if remote.Node == m.cfg.Identity.Node {
		return nil, ErrIdentity.New("this node itself or another process with its ID")
	}
	c := newConn(m, ws, remote, "")
	if err := m.register(c); err != nil {
		c.cancel()
		return nil, err
	}
	return c, nil
}

func (m *Mesh) sendHello(ctx context.Context, ws *websocket.Conn) error {
	b, err := encodeFrame(frameHello, 0, "", hello{protocolVersion, m.cfg.Identity})
	if err != nil {
		return err
	}
	return ErrUnreachable.Wrap(ws.Write(ctx, websocket.MessageBinary, b))
}

func readHello(ctx context.Context, ws *websocket.Conn) (Identity, error) {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return Identity{}, ErrUnreachable.Wrap(err)
	}
	var f frame
	if err := Unmarshal(b, &f); err != nil {
		return Identity{}, err
	}
	var h hello
	if err := Unmarshal(f.Payload, &h); err != nil {
		return Identity{}, err
	}
	if f.Type != frameHello || h.Protocol != protocolVersion || h.Identity.Node == "" {
		return Identity{}, ErrMalformed.New("the first message is not a hello of protocol version %d", protocolVersion)
	}
	return h.Identity, nil
}
