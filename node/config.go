package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/retry"
	"github.com/dotterelseam/dotterelseam/status"
)

// Class is the class of the errors of this package.
var Class = errs.Class("node")

// ErrStopLimit is the class of the error of a Stop whose context ended before all
// requests were finished.
var ErrStopLimit = errs.Class("node: stop limit passed")

// Defaults of Config.
const (
	DefaultMaxHeaderBytes     = 32 << 10 // bytes
	DefaultMaxBufferedAnswers = 64 << 20 // bytes
	DefaultReadHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout        = 60 * time.Second
	DefaultBodyIdleTimeout    = 10 * time.Second
	// DefaultAnnouncementLifetime is three times the interval of announcements.
	DefaultAnnouncementLifetime = 3 * time.Second
	// DefaultShutdownDelay lets the other nodes learn of a planned stop before the
	// servers shut down.
	DefaultShutdownDelay = 500 * time.Millisecond
	// After DefaultRecallTimeout no announcement from before the start of the node arrives.
	DefaultRecallTimeout = edge.MaxAnnouncementDelay
	// DefaultMaxRequests is several times the number of connections of one backend
	// server. Each request uses at most about 100 KB, so it also bounds memory.
	DefaultMaxRequests = 2048
	// connectionsPerRequest is the default of MaxConnections, per request of MaxRequests.
	// Above 1 there is always a connection without a request that can be closed.
	connectionsPerRequest = 2
)

// Config holds the identity, the listeners and the components of a node. Fields
// without a stated default are required, except where noted.
type Config struct {
	ID          string // unique in the fleet
	Incarnation uint64 // start time of the process, Unix nanoseconds; required, but not checked
	DataCentre  string
	Region      string // may be empty
	PeerAddress string // address of the Peers listener for other nodes, ip:port
	// SourceIP is the local address of connections to other nodes; default: chosen by
	// the kernel.
	SourceIP net.IP
	// ClusterSecret authenticates nodes to each other. It may be empty only if
	// Protocol does not propagate the call context; the network must then restrict
	// access to Peers.
	ClusterSecret string

	Callers   net.Listener // public
	Local     net.Listener // announcements and onward calls of the backend server; required if Protocol propagates the call context
	Peers     net.Listener // other nodes
	Operators net.Listener // status and metrics

	// Service is the service of the backend server on this host; empty if the settings
	// do not name it.
	Service string

	// Dial opens the connections to other nodes and to the backend server; default: TCP
	// connections from SourceIP. It must be safe for concurrent use.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	Protocol      edge.Protocol // spoken by callers and backend servers; default: the project's own protocol
	Configuration Configuration
	Keys          KeyLookup // required if Protocol propagates the call context
	Quota         Quota
	Ledger        Ledger // required if Protocol propagates the call context
	Directory     Directory

	Retry     retry.Config     // limits of retries for each destination service; default: that of package retry
	Admission admission.Config // optional; Slots, Connections and Clock are set by the node

	Control           http.Handler // handles control messages on Peers; nil: none
	OperatorsFallback http.Handler // handles other paths of Operators; nil: none
	// ExtendStatus adds to the node's status what the node itself does not know; nil:
	// nothing. It must be safe for concurrent use.
	ExtendStatus func(*status.Node)
	Metrics      metrics.Registry // served at GET /v1/metrics; default: a new registry
	Log          logr.Logger      // default: discards all lines
	Clock        func() time.Time // must be safe for concurrent use; default time.Now
	MaxRequests  int              // limit of callers' requests in flight at this node; default 2,048
	// MaxConnections is the limit of callers' connections. For a new one beyond it, the one
	// without a request for the longest time is closed. It should exceed MaxRequests;
	// default twice MaxRequests.
	MaxConnections int
	// MaxBufferedAnswers limits the answers that are kept until earlier ones of the same
	// connection are written, in bytes over all callers' connections; default 64 MiB.
	MaxBufferedAnswers int64
	MaxHeaderBytes     int           // of a caller's request, bytes; default 32 KiB
	ReadHeaderTimeout  time.Duration // time to send the headers; default 5 s
	IdleTimeout        time.Duration // of a caller's connection between requests; default 60 s
	BodyIdleTimeout    time.Duration // longest pause of a sender within a body; default 10 s
	// AnnouncementLifetime is how long an announcement is valid after it was
	// received; default 3 s.
	AnnouncementLifetime time.Duration
	// RecallTimeout is how long after its start a node applies no announcements unless it
	// knows what an earlier process has stored (see BackendStore). Announcements that
	// arrive later were sent by a backend server that had not left before the start;
	// default 10 s.
	RecallTimeout time.Duration
	// DrainDelay is how long a stopping node still accepts new requests after it has
	// announced that it is draining; default 0.
	DrainDelay    time.Duration
	ShutdownDelay time.Duration // between closing the callers listener and shutting down the servers; default 500 ms
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Protocol == nil {
		c.Protocol = nativeProtocol{keys: c.Keys}
	}
	if c.AnnouncementLifetime == 0 {
		c.AnnouncementLifetime = DefaultAnnouncementLifetime
	}
	if c.Retry.Clock == nil {
		c.Retry.Clock = c.Clock
	}
	c.Admission.Clock = c.Clock
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = DefaultMaxRequests
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = connectionsPerRequest * c.MaxRequests
	}
	if c.MaxBufferedAnswers == 0 {
		c.MaxBufferedAnswers = DefaultMaxBufferedAnswers
	}
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.ReadHeaderTimeout == 0 {
		c.ReadHeaderTimeout = DefaultReadHeaderTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.BodyIdleTimeout == 0 {
		c.BodyIdleTimeout = DefaultBodyIdleTimeout
	}
	if c.RecallTimeout == 0 {
		c.RecallTimeout = DefaultRecallTimeout
	}
	if c.ShutdownDelay == 0 {
		c.ShutdownDelay = DefaultShutdownDelay
	}
	return c
}

func (c *Config) validate() error {
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"ID", c.ID == ""}, {"DataCentre", c.DataCentre == ""}, {"PeerAddress", c.PeerAddress == ""},
		{"ClusterSecret", c.ClusterSecret == "" && c.Protocol.PropagatesContext()}, {"Callers", c.Callers == nil},
		{"Local", c.Local == nil && c.Protocol.PropagatesContext()},
		{"Peers", c.Peers == nil}, {"Operators", c.Operators == nil}, {"Configuration", c.Configuration == nil},
		{"Keys", c.Keys == nil && c.Protocol.PropagatesContext()}, {"Quota", c.Quota == nil},
		{"Ledger", c.Ledger == nil && c.Protocol.PropagatesContext()},
		{"Directory", c.Directory == nil},
	} {
		if f.missing {
			return Class.New("Config.%s is missing", f.name)
		}
	}
	return nil
}
