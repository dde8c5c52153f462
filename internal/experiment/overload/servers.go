package overload

import (
	"io"
	"log"
	"net"
	"net/http"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// connectionsPerSlot follows the ratio of the current users' backend servers.
const connectionsPerSlot = 7

// hosts holds the backend servers and listeners of one mode.
type hosts struct {
	backends map[string][]*standin.Backend // by service
	servers  []*http.Server
}

// serve starts a server on a free port and returns its address, ip:port.
func (h *hosts) serve(handler http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	h.serveOn(l, handler, state)
	return l.Addr().String(), nil
}

func (h *hosts) serveOn(l net.Listener, handler http.Handler, state func(net.Conn, http.ConnState)) {
	s := &http.Server{
		Handler: handler, ConnState: state, ReadHeaderTimeout: forwardTimeout, ErrorLog: log.New(io.Discard, "", 0),
	}
	h.servers = append(h.servers, s)
	// Serve returns when the server is closed.
	go func() { _ = s.Serve(l) }()
}

// addBackend starts a backend server that makes its onward calls to local, a base
// URL, and returns its address.
func (h *hosts) addBackend(t tier, local string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	b := standin.NewBackend(standin.BackendConfig{
		Service: t.service, Address: l.Addr().String(), Local: local, Slots: t.slots,
		Connections: t.slots * connectionsPerSlot, Behaviour: behaviour(t, false),
	})
	if h.backends == nil {
		h.backends = map[string][]*standin.Backend{}
	}
	h.backends[t.service] = append(h.backends[t.service], b)
	h.serveOn(l, b.Handler(), b.ConnState)
	return l.Addr().String(), nil
}

func behaviour(t tier, slow bool) standin.BackendBehaviour {
	v := standin.BackendBehaviour{
		ServiceTime: t.work, Calls: t.calls, RetryCalls: backendRetries, AnswerBytes: answerBytes,
	}
	if slow && len(t.calls) == 0 {
		v.ServiceTime *= slowFactor
	}
	return v
}

// begin puts the state of a phase in force.
func (h *hosts) begin(p phase) {
	for _, t := range chain {
		for _, b := range h.backends[t.service] {
			b.SetBehaviour(behaviour(t, p.slow))
		}
	}
}

func (h *hosts) stats() map[string][]standin.BackendStats {
	m := map[string][]standin.BackendStats{}
	for service, backends := range h.backends {
		for _, b := range backends {
			m[service] = append(m[service], b.Stats())
		}
	}
	return m
}

func (h *hosts) close() {
	for _, s := range h.servers {
		// Open connections at the end of an experiment are of no interest.
		_ = s.Close()
	}
}
