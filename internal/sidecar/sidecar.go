// Package sidecar assembles a node that runs beside one backend server on the
// users' platform. Command dotterelsidecar is a thin layer over it.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/distribution"
	"github.com/dotterelseam/dotterelseam/internal/keepalive"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/partition"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/retry"
	"github.com/dotterelseam/dotterelseam/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("sidecar")

const (
	// announcementsMissed is how many announcements of a living backend server
	// may be late in a row. A dead one is noticed by its refused connections.
	announcementsMissed = 6
	// stopReserve is the part of the stop limit that is kept for the exit.
	stopReserve = 500 * time.Millisecond
	// leaveTime is how long a stopping node takes new requests, while callers and
	// other nodes learn that it is not ready any more.
	leaveTime = 2200 * time.Millisecond
	// retryPart of the permitted repeats are used, because repeats of requests
	// further up repeat the calls below them too.
	retryPart  = 0.75
	retryBurst = 3
	// retryMinimum repeats a second are allowed even with few calls.
	retryMinimum = 0.1
	// memoryPart of the memory is the soft limit of the Go runtime.
	memoryPart = 0.7
	// peerDialLimit bounds the time to connect to another node.
	peerDialLimit = 500 * time.Millisecond
	// controlHeaderLimit bounds the time to read the headers of a control request.
	controlHeaderLimit = 5 * time.Second
)

// Sidecar is one node with everything that runs beside it.
type Sidecar struct {
	settings  settings.Sidecar
	log       logr.Logger
	node      *node.Node
	directory *directory.Directory
	config    *distribution.Follower
	quota     *partition.Quota
	control   *http.Server
	ready     *http.Server
	listeners listeners
	metrics   metrics.Registry
	left      chan struct{} // closed at the end of Stop
}

// CheckSettings tells whether a node could start with a settings file. The error is
// of class settings.ErrInvalid or Error.
func CheckSettings(path string) error {
	s, err := settings.LoadSidecar(path)
	if err != nil {
		return err
	}
	_, err = platform.ParseBounds(s.Bounds)
	return Error.Wrap(err)
}

type listeners struct{ callers, peers, announcements, ready, operators net.Listener }

// New binds the listeners of the settings. The error is of class Error.
func New(s *settings.Sidecar, log logr.Logger) (*Sidecar, error) {
	bounds, err := platform.ParseBounds(s.Bounds)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryLimit)))
	d := &Sidecar{settings: *s, log: log, metrics: metrics.NewRegistry(), left: make(chan struct{})}
	client, peers := platform.New(platform.Config{URL: s.Platform}), peerClient(s.Addresses.Source())
	d.directory = directory.New(directory.Config{Node: s.Name, Table: client, Log: log, Client: peers})
	d.config = distribution.NewFollower(platform.ConfigurationSource{Client: client}, log)
	d.quota = partition.New(partition.Config{
		Members: d.members, Tolerance: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack,
		Borrow: (&partition.Borrower{DataCentre: s.DataCentre, Client: peers}).Borrow,
	})
	d.config.SetPeerClient(&distribution.PeerClient{Client: peers, PickPeer: d.directory.RandomPeer})
	d.config.OnStalledWatch(d.directory.Resync)
	d.config.Watch(func(c *config.Snapshot) { d.quota.Configure(c.Document.Fleet.Workspaces) })
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.node, err = node.New(d.nodeConfig(bounds))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	control := &platform.Control{Service: s.Service, Backend: d.node, Current: d.config.Current, Log: log}
	d.control = &http.Server{Handler: control.Handler(), ReadHeaderTimeout: controlHeaderLimit}
	d.ready = &http.Server{Handler: platform.ReadyHandler(d.node.Serving), ReadHeaderTimeout: controlHeaderLimit}
	return d, nil
}

// members returns the nodes among which the bounds of workspaces are divided.
func (d *Sidecar) members() partition.Members {
	version, nodes := d.directory.Members()
	return partition.Members{Version: version, Self: d.settings.Name, Nodes: nodes}
}

// peers returns the handler of control calls of other nodes.
func (d *Sidecar) peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+partition.LendPath, d.quota.Handler())
	mux.Handle("GET "+distribution.ConfigurationPath, d.config.Handler())
	mux.Handle("GET "+distribution.VersionPath, d.config.Handler())
	mux.Handle("GET "+directory.EndpointsPath, d.directory.Handler())
	return mux
}

// peerClient returns the client for control calls to other nodes, which connects
// from source unless it is nil.
func peerClient(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: peerDialLimit, KeepAliveConfig: keepalive.Config()}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

func (d *Sidecar) nodeConfig(bounds platform.Bounds) node.Config {
	s := &d.settings
	return node.Config{
		ID: s.Name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre, Region: s.Region,
		PeerAddress: s.Addresses.Advertised(), SourceIP: s.Addresses.Source(), Service: s.Service, Protocol: platform.Protocol{},
		Callers: d.listeners.callers, Peers: d.listeners.peers, Operators: d.listeners.operators,
		Configuration: d.config, Quota: node.QuotaFromPartition(d.quota), Directory: d.directory,
		Retry: retry.Config{Ratio: retryPart * bounds.RetryRatio, Burst: retryBurst, MinPerSecond: retryMinimum},
		// The backend server says how many requests it runs at the same time.
		Admission: admission.Config{FixedLimit: true},
		Metrics:   d.metrics, Log: d.log, Control: d.peers(),
		AnnouncementLifetime: announcementsMissed * s.AnnouncementInterval,
		DrainDelay:           leaveTime,
	}
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, open := range []net.Listener{l.callers, l.peers, l.announcements, l.ready, l.operators} {
		if open != nil {
			_ = open.Close()
		}
	}
}

func (d *Sidecar) listen() error {
	a := d.settings.Addresses
	l := &d.listeners
	for _, b := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"callers", a.Callers, &l.callers}, {"peers", a.Peers, &l.peers}, {"announcements", a.Announcements, &l.announcements},
		{"ready", a.Ready, &l.ready}, {"operators", a.Operators, &l.operators},
	} {
		listener, err := net.Listen("tcp", b.address)
		if err != nil {
			l.close()
			return Error.New("listener %s: %v", b.name, err)
		}
		*b.target = listener
	}
	return nil
}

// Run serves until Stop has ended the node or ctx ends. The error is nil after Stop.
func (d *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { d.directory.Run(ctx) })
	parts.Go(func() { d.config.Run(ctx) })
	parts.Go(func() { d.serve(d.control, d.listeners.announcements) })
	parts.Go(func() { d.serve(d.ready, d.listeners.ready) })
	err := d.node.Run(ctx)
	if err == nil {
		<-d.left
	}
	cancel()
	_ = d.control.Close() // the process ends; there is nobody left to tell
	_ = d.ready.Close()
	parts.Wait()
	return err
}

func (d *Sidecar) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		d.log.Error(err, "listener_failed", "address", l.Addr().String())
	}
}

// Stop is the planned stop: the node says that it leaves, finishes what is in
// flight and ends Run. The error is of class node.ErrStopLimit if ctx ends with
// requests in flight.
func (d *Sidecar) Stop(ctx context.Context) error {
	defer close(d.left)
	return d.node.Stop(ctx)
}

// StopLimit returns how long a planned stop may take.
func (d *Sidecar) StopLimit() time.Duration { return d.settings.StopLimit - stopReserve }
