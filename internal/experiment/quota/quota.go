// Package quota compares three ways to enforce a workspace's request rate across 12
// nodes in 3 data centres: shares that a holder lends to the nodes (dotterelseam), a
// static split, and leases of tokens from the platform's table.
package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

// The modes of the experiment.
const (
	ModeDotterel   = "dotterel"    // shares that are lent to nodes
	ModeStatic     = "static"      // each node has a twelfth of every rate and burst
	ModeTableLease = "table_lease" // each node takes tokens from a table row per workspace
)

const (
	dataCentres       = 3
	nodesPerDC        = 4
	nodeCount         = dataCentres * nodesPerDC
	greedyWorkspace   = 1   // index of the workspace that sends greedyLoad times its rate
	greedyLoad        = 5.0 // multiple of the rate
	normalLoad        = 0.7 // multiple of the rate that all other workspaces send
	loadShiftInterval = 3 * time.Second
	runTimeout        = 85 * time.Second
)

// Options describes a run. All modes together take about 72 s with the defaults.
type Options struct {
	Modes     []string      // empty means all
	Seed      uint64        // of the arrivals and of the shifts of load between nodes; 0 means 1
	WarmUp    time.Duration // not included in the refusal ratios; 0 means 8 s
	FaultFree time.Duration // phase without faults; 0 means 8 s
	Faults    time.Duration // phase with a partition, then with a killed holder; 0 means 8 s
}

func (o Options) withDefaults() Options {
	if len(o.Modes) == 0 {
		o.Modes = []string{ModeDotterel, ModeStatic, ModeTableLease}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.WarmUp == 0 {
		o.WarmUp = 8 * time.Second
	}
	if o.FaultFree == 0 {
		o.FaultFree = 8 * time.Second
	}
	if o.Faults == 0 {
		o.Faults = 8 * time.Second
	}
	return o
}

// Results holds the measures of all modes.
type Results struct {
	Results []Result `json:"results"`
}

// Result holds the measures of one mode. Received requests are compared with those
// that the reference admits: one token bucket per workspace that sees the arrivals
// of all nodes.
type Result struct {
	Mode string `json:"mode"`
	// MaxOverBoundRatio is the largest ratio, over all workspaces and time windows of
	// the run, of received requests to rate × window + burst.
	MaxOverBoundRatio float64 `json:"max_over_bound_ratio"`
	// WronglyRefusedRatio is the shortfall of received requests against those that the
	// reference admits, as a fraction of the latter, in the phase without faults. The
	// shortfall is the difference of the counts, at least 0 for each workspace.
	WronglyRefusedRatio float64 `json:"wrongly_refused_ratio"`
	// WronglyRefusedFaultsRatio is the same during the partition and after a node was
	// killed, which is a holder if the mode has one.
	WronglyRefusedFaultsRatio float64 `json:"wrongly_refused_faults_ratio"`
	// WorstWorkspaceRatio is the lowest ratio, over the workspaces, of received
	// requests to those that the reference admits, in the phase without faults, and at
	// most 1.
	WorstWorkspaceRatio float64 `json:"worst_workspace_ratio"`
	WorstWorkspace      string  `json:"worst_workspace"`
	// ControlBytesPerNodePerS is the traffic of a node for quota, sent and received,
	// with nodes and with the platform.
	ControlBytesPerNodePerS float64 `json:"control_bytes_per_node_per_s"`
	Requests                int     `json:"requests"`
	Received                int     `json:"received"`
}

// fleetConfig returns workspaces of which a few are large, like those of the users
// (see docs/design.md).
func fleetConfig() *config.Fleet {
	f := &config.Fleet{}
	for d := range dataCentres {
		f.DataCentres = append(f.DataCentres, config.DataCentre{Name: dataCentreName(d), Region: "r", Share: 1.0 / dataCentres})
	}
	for i, rate := range []float64{120, 60, 60, 40, 30, 20, 20, 10} {
		f.Workspaces = append(f.Workspaces, config.Workspace{Name: fmt.Sprintf("w%d", i), Rate: rate, Burst: 2 * rate})
	}
	return f
}

func dataCentreName(d int) string { return fmt.Sprintf("dc%d", d) }

// fleet is the set of nodes of one mode. take is safe for concurrent use, also while
// partition, holder, kill or controlBytes runs.
type fleet interface {
	take(ctx context.Context, node int, workspace string) bool // reports whether the node admits a request
	partition(dc int, on bool)                                 // cuts a data centre off from the others and the platform, or reconnects it
	holder(dc int) int                                         // the node that lends quota in a data centre, or any node if there is none
	kill(node int)
	controlBytes() int64 // control traffic of all nodes so far
	close()
}

func newFleet(ctx context.Context, mode string) (fleet, error) {
	switch mode {
	case ModeDotterel:
		return startDotterelFleet(ctx)
	case ModeStatic:
		return startStaticFleet(), nil
	case ModeTableLease:
		return startTableLeaseFleet(ctx)
	}
	return nil, fmt.Errorf("unknown mode %q", mode)
}

// Run measures the modes one after another. It returns the error of the context if
// ctx ends or the modes take longer than runTimeout together.
func Run(ctx context.Context, o Options) (Results, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	o = o.withDefaults()
	var out Results
	for _, mode := range o.Modes {
		r, err := runMode(ctx, o, mode)
		if err != nil {
			return Results{}, err
		}
		out.Results = append(out.Results, r)
	}
	return out, nil
}

// runMode runs one mode: warm-up, phase without faults, phase with faults.
func runMode(ctx context.Context, o Options, mode string) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, mode)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	generator := startLoadGenerator(ctx, f, o.Seed)
	for _, step := range []struct {
		wait time.Duration
		then func()
	}{
		{o.WarmUp, generator.markPhaseEnd},
		{o.FaultFree, generator.markPhaseEnd},
		{0, func() { f.partition(dataCentres-1, true) }},
		{o.Faults / 2, func() {
			f.partition(dataCentres-1, false)
			node := f.holder(0)
			generator.markKilled(node)
			f.kill(node)
		}},
		{o.Faults / 2, generator.markPhaseEnd},
	} {
		select {
		case <-time.After(step.wait):
			step.then()
		case <-ctx.Done():
			return Result{}, ctx.Err()
		}
	}
	controlBytes := f.controlBytes()
	generator.stop()
	r := generator.measure(mode)
	r.ControlBytesPerNodePerS = float64(controlBytes) / nodeCount / (o.WarmUp + o.FaultFree + o.Faults).Seconds()
	return r, nil
}

// arrival is one request with its result.
type arrival struct {
	at, received time.Duration // since the start; received is 0 if refused
}

// loadGenerator sends the requests of all workspaces.
type loadGenerator struct {
	fleet      fleet
	start      time.Time
	cancel     context.CancelFunc
	running    sync.WaitGroup
	workspaces []config.Workspace

	mu        sync.Mutex
	killed    map[int]bool
	arrivals  [][]arrival // by workspace
	phaseEnds []time.Duration
}

func startLoadGenerator(ctx context.Context, f fleet, seed uint64) *loadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{fleet: f, start: time.Now(), cancel: cancel, workspaces: fleetConfig().Workspaces, killed: map[int]bool{}}
	l.arrivals = make([][]arrival, len(l.workspaces))
	for i := range l.workspaces {
		l.running.Go(func() { l.send(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return l
}

// send sends the requests of one workspace as Poisson arrivals, at nodes whose
// weights change every loadShiftInterval.
func (l *loadGenerator) send(ctx context.Context, workspace int, rng *rand.Rand) {
	w := l.workspaces[workspace]
	rate := w.Rate * normalLoad
	if workspace == greedyWorkspace {
		rate = w.Rate * greedyLoad
	}
	var weights []float64
	nextArrival, nextShift := time.Duration(0), time.Duration(0)
	for {
		nextArrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if nextArrival >= nextShift {
			weights, nextShift = randomWeights(rng), nextShift+loadShiftInterval
		}
		timer := time.NewTimer(nextArrival - time.Since(l.start))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		node := l.pickNode(rng, weights)
		l.running.Go(func() { l.sendRequest(ctx, workspace, node, w.Name) })
	}
}

// randomWeights returns a random weight for each node, which is 0 for about a third
// of the nodes.
func randomWeights(rng *rand.Rand) []float64 {
	weights := make([]float64, nodeCount)
	for i := range weights {
		if rng.IntN(3) > 0 {
			weights[i] = rng.Float64()
		}
	}
	weights[rng.IntN(nodeCount)] = 1
	return weights
}

// pickNode picks a random node by weight. If that node was killed, it returns the
// next live one.
func (l *loadGenerator) pickNode(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x, node := rng.Float64()*sum, 0
	for i, w := range weights {
		if x -= w; x <= 0 && w > 0 {
			node = i
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.killed[node] {
		node = (node + 1) % nodeCount
	}
	return node
}

func (l *loadGenerator) sendRequest(ctx context.Context, workspace, node int, name string) {
	a := arrival{at: time.Since(l.start)}
	if l.fleet.take(ctx, node, name) {
		a.received = time.Since(l.start)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[workspace] = append(l.arrivals[workspace], a)
}

func (l *loadGenerator) markKilled(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[node] = true
}

// markPhaseEnd records that a phase ends now.
func (l *loadGenerator) markPhaseEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phaseEnds = append(l.phaseEnds, time.Since(l.start))
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.running.Wait()
}
