package report

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/operators"
)

// Path is the path of a node's counts on its operators listener.
const Path = "/v1/burn"

const (
	// maxNodeBytes bounds what is read from one node: 512 series with two rings
	// of 61 buckets and a few outcomes in each take about 5 MB.
	maxNodeBytes = 32 << 20
	// fetchAtOnce bounds the nodes asked at the same time, and so the memory for
	// their answers.
	fetchAtOnce = 16
)

// Resolutions of the counts. Hosts keep nothing, so the counts of a node start
// with its process.
const (
	FineWidth   = 30 * time.Second // of the windows up to 30 min
	CoarseWidth = 6 * time.Minute  // of the windows up to 6 h
	// RingBuckets is the number of buckets kept of each width: 60 complete ones
	// and the present one.
	RingBuckets = 61
)

// OthersName names what a node counts together because its table is full.
const OthersName = "(others)"

// ErrUnreachable is the class of nodes that gave no usable counts.
var ErrUnreachable = errs.Class("report: node unreachable")

// Counts are numbers of requests by the name of their outcome.
type Counts map[string]uint64

// Node is what one node has counted. All times are by its clock.
type Node struct {
	Node        string      `json:"node"`
	Incarnation uint64      `json:"incarnation"` // start time, nanoseconds
	DataCentre  string      `json:"data_centre"`
	Version     uint64      `json:"version"` // of the configuration that objectives and rates are from
	Since       time.Time   `json:"since"`   // nothing before is known
	At          time.Time   `json:"at"`
	Workspaces  []Workspace `json:"workspaces"`
	Series      []Series    `json:"series"`
	Peaks       []Peaks     `json:"peaks"`
}

// Workspace is the bound of a workspace across the fleet.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // requests per second
	Burst float64 `json:"burst"` // requests
}

// Peaks are the busiest seconds of a workspace, one for each bucket with requests.
type Peaks struct {
	Workspace string `json:"workspace"`
	Fine      []Peak `json:"fine"`
	Coarse    []Peak `json:"coarse"`
}

// Peak is the number of requests that a workspace sent in the busiest second of a
// bucket, and the lowest rate and burst that were in force in the bucket.
type Peak struct {
	Second int64   `json:"second"` // Unix time
	Count  uint64  `json:"count"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
}

// Objective is what a route promises; 0 means that nothing is stated.
type Objective struct {
	Availability float64 `json:"availability"` // fraction of requests
	LatencyMS    float64 `json:"latency_ms"`
}

// Series are the counts of one service, route and workspace. Requests whose
// route is not known have an empty service; those on open routes have an empty
// workspace.
type Series struct {
	Service   string    `json:"service"`
	Route     string    `json:"route"`
	Workspace string    `json:"workspace"`
	Onward    bool      `json:"onward"` // onward calls of backend servers
	Objective Objective `json:"objective"`
	Fine      []Bucket  `json:"fine"`   // of FineWidth; empty buckets are left out
	Coarse    []Bucket  `json:"coarse"` // of CoarseWidth
}

// Bucket are the counts from Start on for the width of the bucket.
type Bucket struct {
	Start  int64  `json:"start"` // Unix time, seconds; a multiple of the width
	Counts Counts `json:"counts"`
}

// Handler serves what current returns. Register it for "GET "+Path.
func Handler(current func() Node) http.Handler { return operators.Handler(current) }

// Result is the outcome of asking one node.
type Result struct {
	Address string // of the operators listener
	Node    Node   // valid if Err is nil
	Err     error  // class ErrUnreachable
}

// Fetch reads the counts of the node whose operators listener is at address
// (ip:port). The error is of class ErrUnreachable.
func Fetch(ctx context.Context, client *http.Client, address string) (Node, error) {
	n, err := operators.Get[Node](ctx, client, address, Path, maxNodeBytes)
	return n, ErrUnreachable.Wrap(err)
}

// FetchAll asks all nodes, a few at the same time, and returns the results in
// the order of the addresses.
func FetchAll(ctx context.Context, client *http.Client, addresses []string) []Result {
	results := make([]Result, len(addresses))
	slots := make(chan struct{}, fetchAtOnce)
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
