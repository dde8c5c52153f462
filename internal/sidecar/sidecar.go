// Package sidecar assembles a node that runs next to one backend server on the platform
// of package platform. Command dotterelsidecar only starts and stops it.
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
	"github.com/dotterelseam/dotterelseam/internal/httpclient"
	"github.com/dotterelseam/dotterelseam/internal/keepalive"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/partition"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/retry"
	"github.com/dotterelseam/dotterelseam/settings"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error is the class of errors of this package.
var Error = errs.Class("sidecar")

const (
	// lifetimeIntervals is the number of announcement intervals without an announcement
	// after which a backend server counts as stopped. It can be high because a crashed
	// server is detected earlier, by its refused connections.
	lifetimeIntervals = 6
	// retryBudgetFraction is the fraction of the permitted retry ratio that a node uses.
	// It is below 1 because a retry of a call also repeats its onward calls.
	retryBudgetFraction = 0.75
	// retryBurst is the number of retries that may be saved up for a burst.
	retryBurst = 3
	// minRetriesPerSecond is the number of retries per second that are allowed even with
	// few calls.
	minRetriesPerSecond = 0.1
	// memoryLimitFraction is the soft memory limit of the Go runtime, as a fraction of
	// settings.Sidecar.MemoryLimit.
	memoryLimitFraction = 0.7
	// peerDialTimeout limits the time to connect to another node.
	peerDialTimeout = 500 * time.Millisecond
	// Idle connections for control calls to other nodes, of which any may be asked.
	maxIdlePeerConns = 64
	peerIdleTimeout  = 60 * time.Second
	// headerTimeout limits the time to read the headers of a request on the
	// announcements and ready listeners.
	headerTimeout = 5 * time.Second
)

// Sidecar is one node with its listeners, directory, configuration and quota. Stop may be
// called while Run is running; each must be called once.
type Sidecar struct {
	settings      settings.Sidecar
	log           logr.Logger
	node          *node.Node
	directory     *directory.Directory
	config        *distribution.Follower
	quota         *partition.Quota
	announcements *http.Server // heartbeats of the backend server
	ready         *http.Server
	listeners     listeners
	metrics       metrics.Registry
	stopped       chan struct{} // closed at the end of Stop
}

// CheckSettings returns an error if a node could not start with a settings file. The
// error is of class settings.ErrInvalid or Error.
func CheckSettings(path string) error {
	s, err := settings.LoadSidecar(path)
	if err != nil {
		return err
	}
	_, err = platform.ParseBounds(s.Bounds)
	return Error.Wrap(err)
}

type listeners struct{ callers, peers, announcements, ready, operators net.Listener }

// New creates a sidecar from the settings and opens its listeners; Run serves them. It
// sets the memory limit of the process. The error is of class Error.
func New(s *settings.Sidecar, log logr.Logger) (*Sidecar, error) {
	bounds, err := platform.ParseBounds(s.Bounds)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimit)))
	d := &Sidecar{settings: *s, log: log, metrics: metrics.NewRegistry(), stopped: make(chan struct{})}
	client, peers := platform.New(platform.Config{URL: s.Platform, Log: log}), peerClient(s.Addresses.Source())
	d.directory = directory.New(directory.Config{Node: s.Name, Table: client, Log: log, Client: peers})
	d.config = distribution.NewFollower(platform.ConfigurationSource{Client: client}, log)
	d.quota = partition.New(partition.Config{
		Members: d.members, Tolerance: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack,
		Borrow: (&partition.Borrower{DataCentre: s.DataCentre, Client: peers}).Borrow,
	})
	d.config.SetPeerClient(&distribution.PeerClient{
		Client: peers, PickPeer: d.directory.RandomPeer, CountPeers: d.directory.CountPeers, Address: s.Addresses.Advertised(),
	})
	d.config.OnStalledWatch(d.directory.Resync)
	client.RegisterMetrics(d.metrics)
	client.OnNewEra(func(store.Era) {
		d.directory.Resync()
		d.config.Resync()
	})
	d.config.Watch(func(c *config.Snapshot) { d.quota.Configure(c.Document.Fleet.Workspaces) })
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.node, err = node.New(d.nodeConfig(bounds))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	control := &platform.Control{Service: s.Service, Backend: d.node, Current: d.config.Current, Log: log}
	d.announcements = &http.Server{Handler: control.Handler(), ReadHeaderTimeout: headerTimeout}
	d.ready = &http.Server{Handler: platform.ReadyHandler(d.node.Serving), ReadHeaderTimeout: headerTimeout}
	return d, nil
}

// members returns the nodes among which the rate limits of workspaces are divided.
func (d *Sidecar) members() partition.Members {
	version, nodes := d.directory.Members()
	return partition.Members{Version: version, Self: d.settings.Name, Nodes: nodes}
}

// peerHandler returns the handler of control calls from other nodes.
func (d *Sidecar) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+partition.LendPath, d.quota.Handler())
	mux.Handle("GET "+distribution.ConfigurationPath, d.config.Handler())
	mux.Handle("GET "+distribution.VersionPath, d.config.Handler())
	mux.Handle("GET "+directory.EndpointsPath, d.directory.Handler())
	mux.Handle("POST "+directory.EndpointsPath, d.directory.Handler())
	return mux
}

// peerClient returns the client for control calls to other nodes. It connects from the
// address source unless that is nil.
func peerClient(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: keepalive.Config()}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return httpclient.New(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, MaxIdleConns: maxIdlePeerConns, IdleConnTimeout: peerIdleTimeout, DisableCompression: true})
}

func (d *Sidecar) nodeConfig(bounds platform.Bounds) node.Config {
	s := &d.settings
	connections, requests := callerLimits(s.OpenFiles, s.MemoryLimit)
	return node.Config{
		MaxConnections: connections, MaxRequests: requests, MaxBufferedAnswers: int64(answerMemory * float64(s.MemoryLimit)),
		ID: s.Name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre, Region: s.Region,
		PeerAddress: s.Addresses.Advertised(), SourceIP: s.Addresses.Source(), Service: s.Service, Protocol: platform.Protocol{},
		Callers: d.listeners.callers, Peers: d.listeners.peers, Operators: d.listeners.operators,
		Configuration: d.config, Quota: node.QuotaFromPartition(d.quota), Directory: d.directory,
		Retry: retry.Config{Ratio: retryBudgetFraction * bounds.RetryRatio, Burst: retryBurst, MinPerSecond: minRetriesPerSecond},
		// The concurrency limit is the capacity that the backend server announces.
		Admission: admission.Config{FixedLimit: true},
		Metrics:   d.metrics, Log: d.log, Control: d.peerHandler(),
		AnnouncementLifetime: lifetimeIntervals * s.AnnouncementInterval,
		DrainDelay:           partsOfStop(s.StopLimit).drainDelay,
		ShutdownDelay:        partsOfStop(s.StopLimit).shutdownDelay,
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

// Run serves until Stop has finished or ctx ends. The error is nil after Stop; other
// errors are those of node.Node.Run. It must be called once.
func (d *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { d.directory.Run(ctx) })
	wg.Go(func() { d.config.Run(ctx) })
	wg.Go(func() { d.serve(d.announcements, d.listeners.announcements) })
	wg.Go(func() { d.serve(d.ready, d.listeners.ready) })
	err := d.node.Run(ctx)
	if err == nil {
		<-d.stopped
	}
	cancel()
	_ = d.announcements.Close() // nothing can be done about an error, since the process exits
	_ = d.ready.Close()
	wg.Wait()
	return err
}

func (d *Sidecar) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		d.log.Error(err, "listener_failed", "address", l.Addr().String())
	}
}

// Stop shuts the node down gracefully: it reports the node as not ready, waits for the
// requests in flight and makes Run return. The error is of class node.ErrStopLimit if
// ctx ends with requests in flight. It must be called once.
func (d *Sidecar) Stop(ctx context.Context) error {
	defer close(d.stopped)
	return d.node.Stop(ctx)
}

// StopLimit returns the time limit for Stop: the stop limit of the settings less the time
// reserved for the exit of the process.
func (d *Sidecar) StopLimit() time.Duration {
	return d.settings.StopLimit - partsOfStop(d.settings.StopLimit).reserve
}
