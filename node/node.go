package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/attempt"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/keepalive"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/pipeline"
)

const (
	expiryInterval   = 250 * time.Millisecond
	healthPath       = "/_health"
	healthTimeout    = 500 * time.Millisecond
	maxHealthBody    = 4 << 10 // bytes
	idlePollInterval = 5 * time.Millisecond
	writeTimeout     = config.MaxTimeout + 10*time.Second
)

// Node is the process on a backend server host. New returns it; Run serves until Stop
// has completed. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	log     *eventLog
	metrics *nodeMetrics
	burn    *burnTable
	calls   *attempt.Registry
	hops    *connPool
	backend backendTracker

	destinations destinations
	callers      *pipeline.Listener // cfg.Callers
	throttle     *admission.Throttle
	versions     VersionObserver // nil if cfg.Configuration does not implement it
	peers        PeerObserver    // nil if cfg.Directory does not implement it
	store        BackendStore    // nil if cfg.Directory does not implement it
	recalled     recallGate      // open from the start if store is nil
	onward       onwardOverload
	reports      backendReports

	draining        atomic.Bool // a stop was announced
	stopping        atomic.Bool // new requests are refused
	stopped         chan struct{}
	stopOnce        sync.Once
	requestContext  context.Context // of which the contexts of all requests are made
	cutOff          context.CancelCauseFunc
	inFlight        gate
	hopsInFlight    atomic.Int64
	backgroundTasks sync.WaitGroup    // Stop waits for them
	rememberMu      sync.Mutex        // serialises remember
	publishMu       sync.Mutex        // guards published
	published       balancer.Endpoint // endpoint last announced to the directory
	servers         []*http.Server
}

// New fills in the defaults of cfg, validates it and returns a node. The error is of
// Class.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, log: newEventLog(cfg.Log, cfg.Clock), metrics: newNodeMetrics(cfg.Metrics), burn: newBurnTable(cfg.Clock),
		calls: attempt.NewRegistry(), hops: newConnPool(cfg.SourceIP, hopDialTimeout, hopIdleTimeout, maxIdleHopConns, 0),
		stopped: make(chan struct{}),
	}
	n.requestContext, n.cutOff = context.WithCancelCause(context.Background())
	n.hops.dialer.Control = keepalive.UserTimeout(hopUnackedTimeout)
	n.hops.dialFunc, n.backend.dial = cfg.Dial, cfg.Dial
	n.throttle = admission.NewThrottle(cfg.Clock)
	n.versions, _ = cfg.Configuration.(VersionObserver)
	n.peers, _ = cfg.Directory.(PeerObserver)
	n.store, _ = cfg.Directory.(BackendStore)
	n.recalled.done = make(chan struct{})
	if n.store == nil {
		close(n.recalled.done)
	}
	n.backend.lifetime, n.backend.epoch = cfg.AnnouncementLifetime, cfg.Clock()
	n.onward.epoch = n.backend.epoch
	cfg.Directory.Watch(n.updateDestination)
	n.callers = pipeline.NewListener(cfg.Callers, pipeline.Config{
		MaxConns: cfg.MaxConnections, MaxBuffered: cfg.MaxBufferedAnswers, HeaderTimeout: cfg.ReadHeaderTimeout, FirstRequestTimeout: cfg.IdleTimeout,
		OnAcceptError: func(err error) { n.log.sampled("accept_failed", "listener", "callers", "error", err.Error()) },
	})
	n.metrics.registerConnections(n.callers.Stats)
	n.metrics.registerRateLimit(n.backend.rateLimit)
	n.cfg.Callers = n.callers
	n.servers = []*http.Server{
		n.server(n.serveCallers, cfg.IdleTimeout),
		n.server(n.serveLocal, peersIdleTimeout),
		n.server(n.servePeers, peersIdleTimeout),
		n.server(n.operators().ServeHTTP, cfg.IdleTimeout),
	}
	n.servers[0].ConnState = func(c net.Conn, state http.ConnState) { pipeline.ConnState(unwrapped(c), state) }
	n.servers[0].ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return pipeline.ConnContext(ctx, unwrapped(c))
	}
	return n, nil
}

func (n *Node) now() time.Time { return n.cfg.Clock() }

func (n *Node) server(h http.HandlerFunc, idle time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: n.cfg.ReadHeaderTimeout, IdleTimeout: idle, WriteTimeout: writeTimeout,
		// The handlers refuse headers above the limit with a reason; this higher limit
		// bounds what the server reads of longer ones.
		MaxHeaderBytes: 2 * n.cfg.MaxHeaderBytes,
		ErrorLog:       n.serverLog(),
		BaseContext:    func(net.Listener) context.Context { return n.requestContext },
		// "OPTIONS *" is refused like any other request without a route.
		DisableGeneralOptionsHandler: true,
	}
}

// Run serves on the listeners until Stop has completed or ctx ends, which closes all
// connections at once. The error is nil after Stop and of Class otherwise.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, len(n.servers))
	for i, l := range []net.Listener{n.cfg.Callers, n.cfg.Local, n.cfg.Peers, n.cfg.Operators} {
		if l == nil {
			continue
		}
		go func() { failed <- n.servers[i].Serve(refusalListener{l}) }()
	}
	n.log.event("node_started", "id", n.cfg.ID, "callers", n.cfg.Callers.Addr().String(), "peers", n.cfg.PeerAddress, "operators", n.cfg.Operators.Addr().String())
	if n.store != nil {
		recalling, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.recall(recalling)
	}
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	defer n.close()
	for {
		select {
		case <-n.stopped:
			return nil
		case <-ctx.Done():
			return Class.Wrap(ctx.Err())
		case err := <-failed:
			if !n.stopping.Load() {
				return Class.Wrap(err)
			}
		case <-tick.C:
			n.expireStale()
		}
	}
}

// expireStale handles what changes with time alone: announcements and drain signals
// that expire, and idle connections.
func (n *Node) expireStale() {
	if n.backend.expire(n.now()) {
		n.log.event("backend_expired")
	}
	if b := n.backend.current.Load(); b != nil {
		b.conns.closeExpired()
	}
	n.hops.closeExpired()
	n.publish()
}

// close closes all servers and connections.
func (n *Node) close() {
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.hops.close()
	if b := n.backend.current.Load(); b != nil {
		b.conns.close()
	}
}

// Stop announces that the node is draining, refuses new requests while those in flight
// are finished, and ends Run. If ctx ends first, the remaining requests are refused, which
// takes up to cutOffTime more, and the error is of ErrStopLimit. Only the first call has an
// effect.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	n.stopOnce.Do(func() { err = n.stop(ctx) })
	return err
}

func (n *Node) stop(ctx context.Context) error {
	n.draining.Store(true)
	n.log.event("node_stopping", "calls", n.calls.Len())
	n.publish()
	pause.For(ctx, n.cfg.DrainDelay)
	n.stopping.Store(true)
	n.inFlight.close()
	idle := n.waitIdle(ctx)
	// http.Server.Shutdown drops requests that it reads after the call, without a
	// response. So the listener stops accepting first, and requests on connections
	// accepted before still get a refusal, which also closes the connection.
	_ = n.callers.StopAccepting()
	pause.For(ctx, n.cfg.ShutdownDelay)
	idle = n.waitIdle(ctx) && idle
	defer close(n.stopped)
	if !idle {
		return ErrStopLimit.New("%d requests in flight", n.endCalls())
	}
	n.cfg.Directory.Announce(nil)
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			return ErrStopLimit.Wrap(err)
		}
	}
	n.log.event("node_stopped")
	return nil
}

// waitIdle waits until nothing is in flight and returns false when ctx ends first.
func (n *Node) waitIdle(ctx context.Context) bool {
	for n.inFlight.count() > 0 || n.hopsInFlight.Load() > 0 || n.calls.Len() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return false
		}
	}
	done := make(chan struct{})
	go func() { n.backgroundTasks.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// version returns the version of the configuration in force, or 0.
func (n *Node) version() uint64 {
	if s := n.cfg.Configuration.Current(); s != nil {
		return s.Version
	}
	return 0
}

// observePeer reports to the observers that another node is alive and which version it
// has in force.
func (n *Node) observePeer(version uint64, address string) {
	if n.peers != nil {
		n.peers.ObservePeer(address)
	}
	if n.versions != nil && version > n.version() && address != "" {
		n.versions.ObserveVersion(version, address)
	}
}

// background runs f in a goroutine that Stop waits for.
func (n *Node) background(f func()) {
	n.backgroundTasks.Go(f)
}

// noteBackendDraining stops new requests to b after a drain signal that expires. signal
// is its name in the log.
func (n *Node) noteBackendDraining(b *backendServer, signal string) {
	if n.backend.noteDraining(b, n.now()) {
		n.drainBegins(b, signal)
	}
}

// noteBackendLeaving stops new requests to b until it ends. signal is the name of the
// signal in the log.
func (n *Node) noteBackendLeaving(b *backendServer, signal string) {
	if n.backend.noteLeaving(b, n.now()) {
		n.drainBegins(b, signal)
	}
}

// drainBegins logs and announces that b is draining.
func (n *Node) drainBegins(b *backendServer, signal string) {
	n.log.event("backend_draining", "sign", signal, "instance", b.Instance)
	n.background(n.publish)
}

// probeHealth queries the health endpoint of the backend server in the background, at
// most once at a time. Only a report of draining is used, because health endpoints may
// be late or wrong. The endpoint is part of the project's own protocol, so no other
// backend servers are queried.
func (n *Node) probeHealth(b *backendServer) {
	if !n.cfg.Protocol.PropagatesContext() || !n.backend.probing.CompareAndSwap(false, true) {
		return
	}
	n.background(func() {
		defer n.backend.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		defer cancel()
		resp, _, err := b.conns.roundTrip(ctx, &outboundRequest{
			method: http.MethodGet, address: b.Address, host: b.Address, url: &url.URL{Path: healthPath}, body: &requestBody{fullyBuffered: true},
		})
		if err != nil {
			return
		}
		defer resp.Body.Close()
		var health struct {
			State string `json:"state"`
		}
		if json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxHealthBody)).Decode(&health) == nil && health.State == "draining" {
			n.noteBackendDraining(b, "health")
		}
	})
}

// gate counts requests in flight and admits no new ones after close. It is safe for
// concurrent use.
type gate struct {
	active atomic.Int64
	closed atomic.Bool
}

// begin counts a request and returns true, unless the gate is closed. It increments
// the count before the check, so that no request can begin once the gate is closed and
// the count is 0.
func (g *gate) begin() bool {
	g.active.Add(1)
	if g.closed.Load() {
		g.active.Add(-1)
		return false
	}
	return true
}

func (g *gate) end()       { g.active.Add(-1) }
func (g *gate) close()     { g.closed.Store(true) }
func (g *gate) count() int { return int(g.active.Load()) }
