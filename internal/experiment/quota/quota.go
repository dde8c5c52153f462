// Package quota measures how three ways to hold a workspace to its rate behave
// across 12 nodes in 3 data centres: lent shares (dotterelseam), a static split
// and leases of tokens from the platform's table.
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
	ModeDotterel   = "dotterel"
	ModeStatic     = "static"      // each node has a twelfth of every rate and burst
	ModeTableLease = "table_lease" // each node takes tokens from one row per workspace
)

const (
	dataCentres = 3
	nodesPerDC  = 4
	nodeCount   = dataCentres * nodesPerDC
	greedy      = 1   // index of the workspace that sends greedyLoad times its rate
	greedyLoad  = 5.0 // multiple of the rate
	usualLoad   = 0.7 // multiple of the rate, all other workspaces
	moveEvery   = 3 * time.Second
	runLimit    = 85 * time.Second
)

// Options describes a run. All modes together take about 72 s with the defaults.
type Options struct {
	Modes     []string      // empty means all
	Seed      uint64        // of arrivals and of the load's moves; 0 means 1
	WarmUp    time.Duration // not counted in the refusals; 0 means 8 s
	FaultFree time.Duration // phase without faults; 0 means 8 s
	Faults    time.Duration // phase with a partition, then a killed holder; 0 means 8 s
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

// Results is what Run prints as JSON.
type Results struct {
	Results []Result `json:"results"`
}

// Result holds the measures of one mode. Refusals are compared with one token
// bucket per workspace that sees the arrivals of all nodes.
type Result struct {
	Mode string `json:"mode"`
	// MaxOverBoundRatio is the largest ratio, over all workspaces and windows of
	// the whole run, of the requests received to rate × window + burst.
	MaxOverBoundRatio float64 `json:"max_over_bound_ratio"`
	// WronglyRefusedRatio is the part of the requests within the rate that was
	// refused while nothing was faulty.
	WronglyRefusedRatio float64 `json:"wrongly_refused_ratio"`
	// WronglyRefusedFaultsRatio is the same during the partition and after the
	// loss of a node, which is a holder if the mode has one.
	WronglyRefusedFaultsRatio float64 `json:"wrongly_refused_faults_ratio"`
	// WorstWorkspaceRatio is the lowest part, over the workspaces, of what was
	// within the rate that was received, without faults.
	WorstWorkspaceRatio float64 `json:"worst_workspace_ratio"`
	WorstWorkspace      string  `json:"worst_workspace"`
	// ControlBytesPerNodePerS counts what a node sends and receives for quota,
	// to nodes and to the platform.
	ControlBytesPerNodePerS float64 `json:"control_bytes_per_node_per_s"`
	Requests                int     `json:"requests"`
	Received                int     `json:"received"`
}

// fleetConfig has workspaces of the sizes of the current users: a few large ones.
func fleetConfig() *config.Fleet {
	f := &config.Fleet{}
	for d := range dataCentres {
		f.DataCentres = append(f.DataCentres, config.DataCentre{Name: dcName(d), Region: "r", Share: 1.0 / dataCentres})
	}
	for i, rate := range []float64{120, 60, 60, 40, 30, 20, 20, 10} {
		f.Workspaces = append(f.Workspaces, config.Workspace{Name: fmt.Sprintf("w%d", i), Rate: rate, Burst: 2 * rate})
	}
	return f
}

func dcName(d int) string { return fmt.Sprintf("dc%d", d) }

// fleet is one mode's set of nodes.
type fleet interface {
	take(ctx context.Context, node int, workspace string) bool
	partition(dc int, on bool)
	holder(dc int) int // a node whose loss costs most
	kill(node int)
	bytes() int64 // control traffic of all nodes so far
	close()
}

func newFleet(ctx context.Context, mode string) (fleet, error) {
	switch mode {
	case ModeDotterel:
		return startDotterel(ctx)
	case ModeStatic:
		return startStatic(), nil
	case ModeTableLease:
		return startTable(ctx)
	}
	return nil, fmt.Errorf("unknown mode %q", mode)
}

// Run measures the modes one after another.
func Run(ctx context.Context, o Options) (Results, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	o = o.withDefaults()
	var out Results
	for _, mode := range o.Modes {
		r, err := play(ctx, o, mode)
		if err != nil {
			return Results{}, err
		}
		out.Results = append(out.Results, r)
	}
	return out, nil
}

// play runs one mode: warm-up, calm phase, fault phase.
func play(ctx context.Context, o Options, mode string) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, mode)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	l := startLoad(ctx, f, o.Seed)
	for _, step := range []struct {
		wait time.Duration
		then func()
	}{
		{o.WarmUp, l.mark},
		{o.FaultFree, l.mark},
		{0, func() { f.partition(dataCentres-1, true) }},
		{o.Faults / 2, func() {
			f.partition(dataCentres-1, false)
			node := f.holder(0)
			l.kill(node)
			f.kill(node)
		}},
		{o.Faults / 2, l.mark},
	} {
		select {
		case <-time.After(step.wait):
			step.then()
		case <-ctx.Done():
			return Result{}, ctx.Err()
		}
	}
	bytes := f.bytes()
	l.stop()
	r := l.measure(mode)
	r.ControlBytesPerNodePerS = float64(bytes) / nodeCount / (o.WarmUp + o.FaultFree + o.Faults).Seconds()
	return r, nil
}

// arrival is one request and what became of it.
type arrival struct {
	at, received time.Duration // since the start; received is 0 if refused
}

// load sends the requests of all workspaces.
type load struct {
	fleet      fleet
	start      time.Time
	cancel     context.CancelFunc
	running    sync.WaitGroup
	workspaces []config.Workspace

	mu       sync.Mutex
	dead     map[int]bool
	arrivals [][]arrival // by workspace
	marks    []time.Duration
}

func startLoad(ctx context.Context, f fleet, seed uint64) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{fleet: f, start: time.Now(), cancel: cancel, workspaces: fleetConfig().Workspaces, dead: map[int]bool{}}
	l.arrivals = make([][]arrival, len(l.workspaces))
	for i := range l.workspaces {
		l.running.Go(func() { l.send(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return l
}

// send makes Poisson arrivals at nodes whose weights change every moveEvery.
func (l *load) send(ctx context.Context, workspace int, rng *rand.Rand) {
	w := l.workspaces[workspace]
	rate := w.Rate * usualLoad
	if workspace == greedy {
		rate = w.Rate * greedyLoad
	}
	var weights []float64
	next, move := time.Duration(0), time.Duration(0)
	for {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if next >= move {
			weights, move = moveLoad(rng), move+moveEvery
		}
		timer := time.NewTimer(next - time.Since(l.start))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		node := l.choose(rng, weights)
		l.running.Go(func() { l.request(ctx, workspace, node, w.Name) })
	}
}

// moveLoad gives each node a random weight, and a third of them none.
func moveLoad(rng *rand.Rand) []float64 {
	weights := make([]float64, nodeCount)
	for i := range weights {
		if rng.IntN(3) > 0 {
			weights[i] = rng.Float64()
		}
	}
	weights[rng.IntN(nodeCount)] = 1
	return weights
}

// choose picks a node by weight; callers of a dead node use another one.
func (l *load) choose(rng *rand.Rand, weights []float64) int {
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
	for l.dead[node] {
		node = (node + 1) % nodeCount
	}
	return node
}

func (l *load) request(ctx context.Context, workspace, node int, name string) {
	a := arrival{at: time.Since(l.start)}
	if l.fleet.take(ctx, node, name) {
		a.received = time.Since(l.start)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[workspace] = append(l.arrivals[workspace], a)
}

func (l *load) kill(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead[node] = true
}

// mark ends a phase.
func (l *load) mark() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marks = append(l.marks, time.Since(l.start))
}

func (l *load) stop() {
	l.cancel()
	l.running.Wait()
}
