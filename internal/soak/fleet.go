// Package soak runs real nodes as separate processes with fake backend servers and a
// fake platform store, injects a schedule of external faults that a seed determines,
// and checks the guarantees of the nodes against what callers and backend servers
// observe.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Error is the class of errors from setting up or running a soak. They are not faults
// of the nodes.
var Error = errs.Class("soak")

// Services of the fleet. Each request to orders makes an onward call to counts.
const (
	serviceDesk   = "desk"
	serviceOrders = "orders"
	serviceCounts = "counts"
)

const (
	announceInterval  = 500 * time.Millisecond
	stopTimeout       = 6 * time.Second // between SIGTERM and SIGKILL
	startTimeout      = 20 * time.Second
	serverSlots       = 8
	serverConnections = 100
	serverWork        = 15 * time.Millisecond

	// Ports of the listeners on each host.
	callersPort, peersPort, announcementsPort, readyPort, operatorsPort, serverPort = 7001, 7002, 7003, 7004, 7005, 7100
	storePort                                                                       = 7000

	// Third octets of addresses. Hosts use dataCentreOctet plus the index of their
	// data centre. peerProxyOctet is for the proxies in front of the peers listeners,
	// and storeProxyOctet for those in front of the store, one for each host.
	dataCentreOctet, peerProxyOctet, storeProxyOctet, storeOctet = 1, 100, 101, 102
)

var (
	dataCentres = []string{"gdansk", "krakow", "lodz"}
	placement   = []struct{ dataCentre, service string }{
		{"gdansk", serviceDesk}, {"krakow", serviceDesk}, {"lodz", serviceDesk},
		{"gdansk", serviceOrders}, {"krakow", serviceOrders}, {"lodz", serviceOrders},
		{"gdansk", serviceCounts}, {"lodz", serviceCounts},
	}
)

// fleet is the running store, network, nodes and backend servers.
type fleet struct {
	prefix      string // first two octets of all addresses
	reservation net.Listener
	network     *harness.Network
	store       *standin.Platform
	storeServer *http.Server
	hosts       []*host
	checker     *checker
	ctx         context.Context // cancelled by close; ends faults and announcements
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// startFleet starts the store and all hosts. It stops everything that it started if
// it returns an error.
func startFleet(dir string, chk *checker) (*fleet, error) {
	f := &fleet{network: harness.NewNetwork(), store: standin.NewPlatform(), checker: chk}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(dir); err != nil {
		f.close()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

func (f *fleet) start(dir string) error {
	var err error
	if f.prefix, f.reservation, err = harness.ReserveLoopbackPrefix(); err != nil {
		return err
	}
	store := fmt.Sprintf("%s.%d.1:%d", f.prefix, storeOctet, storePort)
	l, err := net.Listen("tcp", store)
	if err != nil {
		return err
	}
	f.storeServer = &http.Server{Handler: f.store.Handler()}
	f.running.Go(func() { _ = f.storeServer.Serve(l) }) // returns when close closes the server
	for i, p := range placement {
		h := &host{
			fleet: f, index: i + 1, dataCentre: p.dataCentre, service: p.service,
			zone: fmt.Sprintf("host-%d", i+1), storeZone: fmt.Sprintf("store-%d", i+1),
		}
		for d, name := range dataCentres {
			if name == p.dataCentre {
				h.ip = fmt.Sprintf("%s.%d.%d", f.prefix, dataCentreOctet+d, h.index)
			}
		}
		f.hosts = append(f.hosts, h)
		if err := h.configure(dir, store); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.startProcess(); err != nil {
			return err
		}
		if err := h.startServer(); err != nil {
			return err
		}
		f.running.Go(h.announce)
	}
	return nil
}

// close stops everything that the fleet started. Nodes are killed.
func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		if h.process != nil {
			h.process.Kill()
		}
		if h.httpServer != nil {
			_ = h.httpServer.Close()
		}
	}
	f.network.Close()
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
	if f.reservation != nil {
		_ = f.reservation.Close()
	}
	f.running.Wait()
}
