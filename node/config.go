package node

import (
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

// Class groups the errors of this package.
var Class = errs.Class("node")

// ErrStopLimit is the class of a stop that ended with requests in flight.
var ErrStopLimit = errs.Class("node: stop limit passed")

// Defaults of Config.
const (
	DefaultMaxHeaderBytes    = 32 << 10 // bytes
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultBodyIdleTimeout   = 10 * time.Second
	// DefaultAnnouncementLifetime is three times the interval of announcements.
	DefaultAnnouncementLifetime = 3 * time.Second
	// DefaultShutdownDelay lets the other nodes learn of a planned stop before the
	// listeners close.
	DefaultShutdownDelay = 500 * time.Millisecond
	// DefaultMaxRequests is several times what the connections of one backend
	// server carry. Each request holds at most about 100 KB, so it also bounds memory.
	DefaultMaxRequests = 2048
)

// Config holds the identity, the listeners and the parts of a node. All fields
// without a stated default are required.
type Config struct {
	ID          string // unique in the fleet
	Incarnation uint64 // start time of the process, nanoseconds
	DataCentre  string
	Region      string
	PeerAddress string // address of Peers as other nodes reach it, ip:port
	// SourceIP is where connections to other nodes start; default: the kernel's choice.
	SourceIP net.IP
	// ClusterSecret authenticates nodes to each other. It may be empty only with an
	// Edge that is not contextual, where the network keeps others from Peers.
	ClusterSecret string

	Callers   net.Listener // public
	Local     net.Listener // announcements and onward calls of the backend server; nil if they come another way
	Peers     net.Listener // other nodes
	Operators net.Listener // status and metrics

	// Service is that of the backend server on this host, if it is known from
	// settings.
	Service string

	Protocol      edge.Protocol // how callers and backend servers speak; default: the project's own protocol
	Configuration Configuration
	Keys          KeyLookup
	Quota         Quota
	Ledger        Ledger
	Directory     Directory

	Retry     retry.Config     // limits of retries for each destination service
	Admission admission.Config // Slots, Connections and Clock are set by the node

	Control           http.Handler // control messages on Peers; nil: none
	OperatorsFallback http.Handler // other paths of Operators; nil: none
	// ExtendStatus completes the node's status with what the node itself does not
	// know; nil: nothing.
	ExtendStatus      func(*status.Node)
	Metrics           metrics.Registry // shown at GET /v1/metrics; default: a new registry
	Log               logr.Logger      // default: discards
	Clock             func() time.Time
	MaxRequests       int           // callers' requests in flight at this node; default 2,048
	MaxHeaderBytes    int           // of a caller's request, bytes; default 32 KiB
	ReadHeaderTimeout time.Duration // time to send the headers; default 5 s
	IdleTimeout       time.Duration // of a caller's connection between requests; default 60 s
	BodyIdleTimeout   time.Duration // longest pause of a sender within a body; default 10 s
	// AnnouncementLifetime is how long an announcement is valid after it was
	// received; default 3 s.
	AnnouncementLifetime time.Duration
	// DrainDelay is how long a stopping node still takes new requests after it has
	// announced that it leaves; default 0.
	DrainDelay    time.Duration
	ShutdownDelay time.Duration // between announcing a stop and closing listeners; default 500 ms
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
