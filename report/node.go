package report

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/operators"
)

// Path is the path of the counts on the operators listener of a node.
const Path = "/v1/burn"

const (
	// maxResponseBytes bounds the response of one node. 512 series with two rings of
	// 61 buckets and a few outcomes in each take about 5 MB.
	maxResponseBytes = 32 << 20
	// maxParallelFetches bounds the number of parallel requests to nodes, and thus the
	// memory for their responses.
	maxParallelFetches = 16
)

// Resolutions of the counts. The counts are kept in memory only, so they start with
// the process of the node.
const (
	FineWidth   = 30 * time.Second // bucket width for windows up to 30 min
	CoarseWidth = 6 * time.Minute  // bucket width for windows up to 6 h
	// RingBuckets is the number of buckets that are kept of each width: 60 complete
	// ones and the current one.
	RingBuckets = 61
)

// OthersName replaces the workspace, or the service, route and workspace, of requests
// for which the table of a node has no room for another series.
const OthersName = "(others)"

// ErrUnreachable is the class of errors of nodes that gave no valid counts.
var ErrUnreachable = errs.Class("report: node unreachable")

// Counts holds the number of requests by the name of their outcome.
type Counts map[string]uint64

// Node holds the counts of one node. All times are by its clock.
type Node struct {
	Node        string      `json:"node"`
	Incarnation uint64      `json:"incarnation"` // start time of the process, Unix nanoseconds
	DataCentre  string      `json:"data_centre"`
	Version     uint64      `json:"version"` // version of the configuration with the objectives and rates
	Since       time.Time   `json:"since"`   // when the node started to count
	At          time.Time   `json:"at"`      // time of the report
	Workspaces  []Workspace `json:"workspaces"`
	Series      []Series    `json:"series"`
	Peaks       []Peaks     `json:"peaks"`
}

// Workspace is the quota of a workspace across the fleet.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // requests per second
	Burst float64 `json:"burst"` // requests
}

// Peaks holds the busiest seconds of a workspace, one for each bucket with requests.
type Peaks struct {
	Workspace string `json:"workspace"`
	Fine      []Peak `json:"fine"`
	Coarse    []Peak `json:"coarse"`
}

// Peak is the number of requests that a workspace sent in the busiest second of a
// bucket, with the lowest rate and burst that were in force in the bucket.
type Peak struct {
	Second int64   `json:"second"` // Unix time, seconds
	Count  uint64  `json:"count"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
}

// Objective is the service level objective of a route. 0 means that there is none.
type Objective struct {
	Availability float64 `json:"availability"` // fraction of good requests
	LatencyMS    float64 `json:"latency_ms"`
}

// Series holds the counts of one service, route and workspace. Requests whose route
// is not known have an empty service. Requests without a valid key, including all on
// routes that need none, have an empty workspace.
type Series struct {
	Service   string    `json:"service"`
	Route     string    `json:"route"`
	Workspace string    `json:"workspace"`
	Onward    bool      `json:"onward"` // whether these are onward calls of backend servers
	Objective Objective `json:"objective"`
	Fine      []Bucket  `json:"fine"`   // buckets of FineWidth, without empty ones
	Coarse    []Bucket  `json:"coarse"` // buckets of CoarseWidth, without empty ones
}

// Bucket holds the counts in the time from Start for the width of the bucket.
type Bucket struct {
	Start  int64  `json:"start"` // Unix time, seconds; a multiple of the width
	Counts Counts `json:"counts"`
}

// Handler serves the counts that current returns as JSON. It is to be registered for
// "GET "+Path. current is called for each request and must be safe for concurrent
// use.
func Handler(current func() Node) http.Handler { return operators.Handler(current) }

// Result is the result of reading the counts of one node.
type Result struct {
	Address string // of the operators listener
	Node    Node   // valid if Err is nil
	Err     error  // class ErrUnreachable
}

// Fetch reads the counts of the node whose operators listener is at address
// (ip:port). The error is of class ErrUnreachable.
func Fetch(ctx context.Context, client *http.Client, address string) (Node, error) {
	n, err := operators.Get[Node](ctx, client, address, Path, maxResponseBytes)
	return n, ErrUnreachable.Wrap(err)
}

// FetchAll reads the counts of all nodes, with at most maxParallelFetches requests in
// parallel, and returns the results in the order of the addresses.
func FetchAll(ctx context.Context, client *http.Client, addresses []string) []Result {
	results := make([]Result, len(addresses))
	slots := make(chan struct{}, maxParallelFetches)
	var wg sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			n, err := Fetch(ctx, client, address)
			results[i] = Result{Address: address, Node: n, Err: err}
		})
	}
	wg.Wait()
	return results
}
