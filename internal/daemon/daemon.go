// Package daemon builds and runs a node with its control plane from the settings of
// one host. Command dotterelnode and the demo use it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/distribution"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/httpclient"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/membership"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/settings"
)

// Error is the class of errors of New.
var Error = errs.Class("daemon")

// platformIdleConns is the maximum number of idle connections to the platform. It is
// low, because the platform serves 1,100 nodes.
const platformIdleConns = 4

// Daemon is one node with its control plane: membership, configuration, keys and
// quota. Run may be called only once, and Stop only once, while Run is running.
// Current is safe for concurrent use.
type Daemon struct {
	settings settings.Settings
	log      logr.Logger
	node     *node.Node
	mesh     *peer.Mesh
	members  *membership.Membership
	config   *distribution.Distribution
	keys     *keys.Store
	ledger   *ledger.Ledger
	quota    *quota.Service
	metrics  metrics.Registry
	platform *platform.Client
	gossip   *gossip.Store
	stopped  chan struct{} // closed at the end of Stop

	// quotaContext ends only after the node has stopped, because quota.Run needs the
	// other nodes to return the shares. quotaDone is closed when quota.Run has
	// returned.
	quotaContext context.Context
	cancelQuota  context.CancelFunc
	quotaDone    chan struct{}
}

// New creates a daemon and opens the listeners in the settings, which Run closes when
// it returns. The error is of class Error.
func New(s *settings.Settings, log logr.Logger) (*Daemon, error) {
	d := &Daemon{settings: *s, log: log, metrics: metrics.NewRegistry(), stopped: make(chan struct{})}
	d.quotaDone = make(chan struct{})
	d.quotaContext, d.cancelQuota = context.WithCancel(context.Background())
	incarnation := uint64(time.Now().UnixNano())
	dial := sourceDialer(s.Addresses.Peers)
	d.platform = platform.New(platform.Config{
		URL:  s.Platform,
		HTTP: httpclient.New(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: platformIdleConns}),
		Log:  log,
	})
	d.platform.RegisterMetrics(d.metrics)
	d.buildControlPlane(incarnation, dial)
	d.buildQuota(incarnation)
	d.ledger = ledger.New(d.platform)
	listeners, err := listen(s.Addresses)
	if err != nil {
		return nil, err
	}
	d.node, err = node.New(d.nodeConfig(incarnation, listeners))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return d, nil
}

func (d *Daemon) buildControlPlane(incarnation uint64, dial dialFunc) {
	s := &d.settings
	d.mesh = peer.NewMesh(peer.Config{
		Identity: peer.Identity{Node: s.Name, Incarnation: incarnation, DataCentre: s.DataCentre},
		Secret:   string(s.ClusterSecret),
		Dial:     dial,
		Metrics:  d.metrics,
	})
	d.gossip = gossip.New(gossip.Config{Transport: d.mesh, Metrics: d.metrics})
	d.members = membership.New(membership.Config{
		Mesh: d.mesh, Store: d.gossip, Table: d.platform, Region: s.Region,
		PeerAddress: s.Addresses.PeersAdvertised, OperatorsAddress: s.Addresses.Operators, Seeds: s.Seeds,
		DataCentres:     func() []string { return keys.PolicyOf(d.config.Current()).DataCentres },
		PlatformContact: func() time.Time { return d.keys.PlatformContact() },
	})
	d.config = distribution.New(distribution.Config{Platform: d.platform, Metrics: d.metrics, Mesh: d.mesh, Store: d.gossip, Peers: d.members})
	d.keys = keys.New(keys.Config{
		Table: d.platform, Mesh: d.mesh, Store: d.gossip, Peers: d.members,
		Policy: func() keys.Policy { return keys.PolicyOf(d.config.Current()) },
	})
}

func (d *Daemon) buildQuota(incarnation uint64) {
	s := &d.settings
	d.quota = quota.New(quota.Config{
		Node: s.Name, Incarnation: incarnation, DataCentre: s.DataCentre, Table: d.platform, Transport: d.mesh,
		Members: d.localMembers, RemoteMembers: d.remoteMembers, Log: d.log,
	})
	for kind, handle := range d.quota.Handlers() {
		d.mesh.Handle(kind, func(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
			return handle(ctx, from.Node, payload)
		})
	}
	d.config.Watch(func(c *config.Snapshot) { d.quota.Configure(c.Version, &c.Document.Fleet) })
}

// localMembers returns the IDs of the live nodes of this data centre.
func (d *Daemon) localMembers() []string { return ids(d.members.Members()) }

// remoteMembers returns the IDs of the gateways of another data centre. They are
// sufficient, because every node can tell which node of its data centre distributes
// the quota.
func (d *Daemon) remoteMembers(dataCentre string) []string {
	return ids(d.members.Gateways(dataCentre))
}

func ids(members []membership.Member) []string {
	out := make([]string, len(members))
	for i := range members {
		out[i] = members[i].ID
	}
	return out
}

func (d *Daemon) nodeConfig(incarnation uint64, l listeners) node.Config {
	s := &d.settings
	operators := http.NewServeMux()
	operators.Handle("POST "+keys.WithdrawPath, d.keys.WithdrawHandler())
	return node.Config{
		ID: s.Name, Incarnation: incarnation, DataCentre: s.DataCentre, Region: s.Region,
		PeerAddress: s.Addresses.PeersAdvertised, SourceIP: settings.HostIP(s.Addresses.Peers),
		ClusterSecret: string(s.ClusterSecret),
		Callers:       l.callers, Local: l.local, Peers: l.peers, Operators: l.operators,
		Configuration: d.config, Keys: d.keys, Quota: node.QuotaFromBucket(d.quota.Bucket), Ledger: d.ledger, Directory: d.members,
		Control: d.mesh, OperatorsFallback: operators, ExtendStatus: d.extendStatus, Metrics: d.metrics, Log: d.log,
	}
}

// Current returns the configuration in force, or nil before the first one.
func (d *Daemon) Current() *config.Snapshot { return d.config.Current() }

// Run serves until Stop has completed or ctx ends. The end of ctx stops the daemon
// immediately. The error is nil after Stop.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, run := range []func(context.Context){d.gossip.Run, d.members.Run, d.config.Run, d.keys.Run} {
		background.Go(func() { run(ctx) })
	}
	background.Go(func() {
		defer close(d.quotaDone)
		d.quota.Run(d.quotaContext)
	})
	err := d.node.Run(ctx)
	if err == nil {
		<-d.stopped
	}
	cancel()
	d.cancelQuota()
	d.mesh.Close()
	background.Wait()
	return err
}

// Stop performs the planned stop: it announces that the node leaves, completes the
// requests in flight, closes the ledger, returns the quota shares and departs from
// the membership. Then Run returns. The error is of class node.ErrStopLimit if ctx
// ends with requests in flight.
func (d *Daemon) Stop(ctx context.Context) error {
	defer close(d.stopped)
	d.members.Leave()
	err := d.node.Stop(ctx)
	// An outcome that is not recorded in time is later answered as "may have run".
	_ = d.ledger.Close(ctx)
	d.cancelQuota() // returns the shares; needs contact with the other nodes
	<-d.quotaDone
	d.members.Depart(ctx)
	return err
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// sourceDialer returns a dial function with the IP address of the peers listener as
// the source, so that the address identifies the host that a connection comes from.
func sourceDialer(peers string) dialFunc {
	d := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: settings.HostIP(peers)}}
	return d.DialContext
}

type listeners struct{ callers, local, peers, operators net.Listener }

// close closes all open listeners.
func (l *listeners) close() {
	for _, open := range []net.Listener{l.callers, l.local, l.peers, l.operators} {
		if open != nil {
			_ = open.Close()
		}
	}
}

func listen(a settings.Addresses) (l listeners, err error) {
	for _, b := range []struct {
		name, addr string
		target     *net.Listener
	}{
		{"callers", a.Callers, &l.callers}, {"local", a.Local, &l.local},
		{"peers", a.Peers, &l.peers}, {"operators", a.Operators, &l.operators},
	} {
		*b.target, err = net.Listen("tcp", b.addr)
		if err != nil {
			l.close()
			return l, Error.New("listener %s: %v", b.name, err)
		}
	}
	return l, nil
}
