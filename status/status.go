// Package status defines the status report that a node serves as JSON at
// GET /v1/status on its operators listener. It contains the handler, a client and
// a text rendering.
package status

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/httpclient"
	"github.com/dotterelseam/dotterelseam/internal/operators"
	"github.com/dotterelseam/dotterelseam/peer"
)

// Path is the path of the report on the operators listener.
const Path = "/v1/status"

// maxStatusBytes bounds the response that Fetch reads. A report with 1,100
// endpoints takes about 250 KB.
const maxStatusBytes = 4 << 20

// ErrUnreachable is the class of errors of nodes that gave no valid report.
var ErrUnreachable = errs.Class("node unreachable")

// State tells whether a node accepts new requests.
type State string

// The states of a node.
const (
	Starting State = "starting" // no configuration yet; requests are refused
	Serving  State = "serving"
	Draining State = "draining" // planned stop; only requests in flight are completed
)

// Node is the status report of one node. Version 0 with an empty digest means that
// no configuration is in force.
type Node struct {
	Node              string           `json:"node"`
	Incarnation       uint64           `json:"incarnation"` // start time of the process, Unix nanoseconds
	DataCentre        string           `json:"data_centre"`
	Region            string           `json:"region"`
	State             State            `json:"state"`
	Version           uint64           `json:"version"`
	Digest            string           `json:"digest"`
	PlatformReachable bool             `json:"platform_reachable"`
	KeysVerified      bool             `json:"keys_verified"` // if false, requests with keys are refused as keys_unverified
	Endpoints         []Endpoint       `json:"endpoints"`
	Workspaces        []WorkspaceShare `json:"workspaces"`
	Thresholds        []Threshold      `json:"thresholds"`
}

// Endpoint is a backend server as known to the reporting node.
type Endpoint struct {
	Service     string `json:"service"`
	Node        string `json:"node"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`     // peers address of its node
	State       string `json:"state"`       // starting, serving or draining
	Slots       int    `json:"slots"`       // requests that the backend server runs concurrently
	Connections int    `json:"connections"` // maximum number of connections to the backend server
}

// WorkspaceShare is the share of a workspace's quota that the node holds.
type WorkspaceShare struct {
	Name  string  `json:"workspace"`
	Rate  float64 `json:"rate"`  // requests per second
	Burst float64 `json:"burst"` // requests
	Level float64 `json:"level"` // requests that may pass immediately
}

// Threshold is the admission state of a service on one node, as that node last
// reported it.
type Threshold struct {
	Service  string `json:"service"`
	Node     string `json:"node"`
	Lowest   string `json:"lowest"` // lowest importance that is admitted
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"` // concurrency limit
}

var stateNames = map[balancer.State]string{
	balancer.Starting: "starting", balancer.Serving: "serving", balancer.Draining: "draining",
}

// FromEndpoint converts an endpoint of the directory.
func FromEndpoint(e balancer.Endpoint) Endpoint {
	return Endpoint{
		Service: e.Service, Node: e.Node, DataCentre: e.DataCentre, Address: e.PeerAddress,
		State: stateNames[e.State], Slots: e.Slots, Connections: e.Connections,
	}
}

// FromThreshold converts the threshold that a service on a node reported.
func FromThreshold(service, node string, t peer.Threshold) Threshold {
	return Threshold{Service: service, Node: node, Lowest: t.Lowest.String(), InFlight: t.InFlight, Queued: t.Queued, Limit: t.Limit}
}

// SetSnapshot sets the version and digest to those of s. If s is nil, it does
// nothing.
func (n *Node) SetSnapshot(s *config.Snapshot) {
	if s != nil {
		n.Version, n.Digest = s.Version, s.Digest
	}
}

// Handler serves the report that current returns as JSON. It is to be registered for
// "GET "+Path. current is called for each request and must be safe for concurrent
// use.
func Handler(current func() Node) http.Handler { return operators.Handler(current) }

// DefaultClient returns a client whose requests time out after limit.
func DefaultClient(limit time.Duration) *http.Client {
	c := httpclient.New(&http.Transport{MaxIdleConnsPerHost: 1})
	c.Timeout = limit
	return c
}

// Fetch reads the report of the node whose operators listener is at address
// (ip:port). The error is of class ErrUnreachable.
func Fetch(ctx context.Context, client *http.Client, address string) (Node, error) {
	n, err := operators.Get[Node](ctx, client, address, Path, maxStatusBytes)
	return n, ErrUnreachable.Wrap(err)
}
