package overload

import (
	"io"
	"log"
	"net"
	"net/http"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// connectionsPerSlot is about the ratio of connections to slots of the users' backend
// servers (see docs/design.md).
const connectionsPerSlot = 7

// serverGroup holds the backend servers and HTTP servers of one testbed.
type serverGroup struct {
	backends map[string][]*standin.Backend // by service
	servers  []*http.Server
}

// serve starts an HTTP server on a free loopback port and returns its address,
// ip:port.
func (g *serverGroup) serve(handler http.Handler, onStateChange func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	g.serveOn(l, handler, onStateChange)
	return l.Addr().String(), nil
}

func (g *serverGroup) serveOn(l net.Listener, handler http.Handler, onStateChange func(net.Conn, http.ConnState)) {
	s := &http.Server{
		Handler: handler, ConnState: onStateChange, ReadHeaderTimeout: forwardTimeout, ErrorLog: log.New(io.Discard, "", 0),
	}
	g.servers = append(g.servers, s)
	go func() { _ = s.Serve(l) }() // returns when the server is closed
}

// addBackend starts a backend server that sends its onward calls to the base URL
// localURL. It returns the server's address, ip:port.
func (g *serverGroup) addBackend(t tier, localURL string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	b := standin.NewBackend(standin.BackendConfig{
		Service: t.service, Address: l.Addr().String(), Local: localURL, Slots: t.slots,
		Connections: t.slots * connectionsPerSlot, Behaviour: behaviour(t, false),
	})
	if g.backends == nil {
		g.backends = map[string][]*standin.Backend{}
	}
	g.backends[t.service] = append(g.backends[t.service], b)
	g.serveOn(l, b.Handler(), b.ConnState)
	return l.Addr().String(), nil
}

func behaviour(t tier, slow bool) standin.BackendBehaviour {
	b := standin.BackendBehaviour{
		ServiceTime: t.serviceTime, Calls: t.calls, RetryCalls: backendRetries, AnswerBytes: answerBytes,
	}
	if slow && len(t.calls) == 0 {
		b.ServiceTime *= slowFactor
	}
	return b
}

// applyPhase sets the behaviour of all backend servers for a phase.
func (g *serverGroup) applyPhase(p phase) {
	for _, t := range chain {
		for _, b := range g.backends[t.service] {
			b.SetBehaviour(behaviour(t, p.slow))
		}
	}
}

func (g *serverGroup) stats() map[string][]standin.BackendStats {
	m := map[string][]standin.BackendStats{}
	for service, backends := range g.backends {
		for _, b := range backends {
			m[service] = append(m[service], b.Stats())
		}
	}
	return m
}

func (g *serverGroup) close() {
	for _, s := range g.servers {
		_ = s.Close() // errors of open connections don't affect the results
	}
}
