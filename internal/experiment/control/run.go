package control

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/keys"
)

// Result holds the measures of one cluster size.
type Result struct {
	Nodes              int     `json:"nodes"`
	DataCentres        int     `json:"data_centres"`
	SeparateProcesses  bool    `json:"separate_processes"`
	PublishP50MS       float64 `json:"publish_in_force_p50_ms"` // over all publishes and nodes, from acceptance by the platform
	PublishMaxMS       float64 `json:"publish_in_force_max_ms"`
	WithdrawMaxMS      float64 `json:"withdraw_in_force_max_ms"` // from the operator's request until all nodes refuse the key
	LostNodeKnownMaxMS float64 `json:"lost_node_known_max_ms"`   // until no node of any data centre has the endpoint
	// BytesPerNodePerS is the control traffic between nodes, sent and received, without
	// TCP/IP headers. It includes the handshakes of connections only if all nodes run
	// in one process.
	BytesPerNodePerS  float64 `json:"control_bytes_per_node_per_s"`
	CPUPercentPerNode float64 `json:"cpu_percent_per_node"` // of one core, when idle
	// RSSPerNodeMB is the resident memory in MiB. If all nodes run in one process, it is
	// the memory of that process divided by the number of nodes.
	RSSPerNodeMB          float64 `json:"rss_mb_per_node"`
	PlatformReadsPerS     float64 `json:"platform_reads_per_s"`
	PlatformWritesPerS    float64 `json:"platform_writes_per_s"`
	PublishesMeasured     int     `json:"publishes_measured"`
	WithdrawalsMeasured   int     `json:"withdrawals_measured"`
	SteadySecondsMeasured float64 `json:"steady_seconds_measured"`
}

// Results holds the measures of all cluster sizes.
type Results struct {
	Results []Result `json:"results"`
}

const (
	nodesPerDC            = 6 // unless this needs fewer than minDCs or more than maxDCs data centres
	minDCs                = 3
	maxDCs                = 12
	publishes             = 10
	withdrawals           = 10
	nodeLosses            = 3
	steadyDuration        = 20 * time.Second
	convergenceTimeout    = 60 * time.Second
	startupDelay          = 3 * time.Second // until the traffic of the start has ended
	experimentCutOffLimit = 10 * time.Second
)

// RunInProcess measures clusters of the given numbers of nodes, one after another.
// Each number is rounded down to a multiple of the number of data centres. All nodes
// of a cluster run in this process, so CPU time and memory include the stand-in of
// the platform. After an error it returns the results so far as well.
func RunInProcess(ctx context.Context, sizes []int) (Results, error) {
	return runSizes(ctx, sizes, runInProcess)
}

func runSizes(ctx context.Context, sizes []int, run func(context.Context, int) (Result, error)) (Results, error) {
	var all Results
	for _, n := range sizes {
		r, err := run(ctx, n)
		if err != nil {
			return all, fmt.Errorf("%d nodes: %w", n, err)
		}
		all.Results = append(all.Results, r)
	}
	return all, nil
}

func dataCentres(nodes int) []string {
	count := min(max(nodes/nodesPerDC, minDCs), maxDCs)
	var dcs []string
	for i := range count {
		dcs = append(dcs, fmt.Sprintf("dc%02d", i))
	}
	return dcs
}

func runInProcess(ctx context.Context, nodes int) (Result, error) {
	dcs := dataCentres(nodes)
	c, err := NewCluster(dcs, nodes/len(dcs), nil)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	r := Result{Nodes: len(c.Nodes), DataCentres: len(dcs)}
	steps := []func(context.Context, *Cluster, *Result) error{
		publishAndConverge, measureSteady, measurePublishes, measureWithdrawals, measureNodeLoss,
	}
	for _, step := range steps {
		if err := step(ctx, c, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// publishAndConverge publishes the first configuration and waits until it is in
// force on all nodes.
func publishAndConverge(ctx context.Context, c *Cluster, _ *Result) error {
	version, err := c.Publish(ctx, c.Document(1, experimentCutOffLimit))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	if err := Eventually(ctx, func() bool { return c.Converged(version) }); err != nil {
		return fmt.Errorf("cluster did not converge: %w", err)
	}
	time.Sleep(startupDelay)
	return nil
}

func (c *Cluster) wireBytes() (sum int64) {
	for _, n := range c.Nodes {
		sum += n.wireBytes.Load()
	}
	return sum
}

func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// rssMB returns the resident memory of this process in MiB.
func rssMB() (float64, error) {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm has %d fields, want at least 2", len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), err
}

// measureSteady measures traffic, CPU time, memory and platform calls while the
// cluster is idle.
func measureSteady(ctx context.Context, c *Cluster, r *Result) error {
	reads, writes := c.Platform.Calls()
	wireBytes := c.wireBytes()
	cpu, err := cpuTime()
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(steadyDuration):
	}
	seconds := time.Since(start).Seconds()
	cpuEnd, err := cpuTime()
	if err != nil {
		return err
	}
	rss, err := rssMB()
	if err != nil {
		return err
	}
	readsEnd, writesEnd := c.Platform.Calls()
	n := float64(len(c.Nodes))
	r.SteadySecondsMeasured = seconds
	r.BytesPerNodePerS = float64(c.wireBytes()-wireBytes) / seconds / n
	r.CPUPercentPerNode = 100 * (cpuEnd - cpu).Seconds() / seconds / n
	r.RSSPerNodeMB = rss / n
	r.PlatformReadsPerS = float64(readsEnd-reads) / seconds
	r.PlatformWritesPerS = float64(writesEnd-writes) / seconds
	return nil
}

// measurePublishes publishes new versions and measures the time until each node has
// them in force.
func measurePublishes(ctx context.Context, c *Cluster, r *Result) error {
	var mu sync.Mutex
	inForce := map[uint64][]time.Time{}
	for _, n := range c.Nodes {
		n.Config.Watch(func(s *config.Snapshot) {
			mu.Lock()
			defer mu.Unlock()
			inForce[s.Version] = append(inForce[s.Version], time.Now())
		})
	}
	var delays []float64
	for i := range publishes {
		version, err := c.Publish(ctx, c.Document(float64(i+2), experimentCutOffLimit))
		if err != nil {
			return err
		}
		accepted := time.Now()
		waitCtx, cancel := context.WithTimeout(ctx, convergenceTimeout)
		err = Eventually(waitCtx, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(inForce[version]) == len(c.Nodes)
		})
		cancel()
		if err != nil {
			return fmt.Errorf("version %d not in force on all nodes: %w", version, err)
		}
		for _, at := range inForce[version] {
			delays = append(delays, max(0, milliseconds(at.Sub(accepted))))
		}
		time.Sleep(time.Duration(37*i) * time.Millisecond) // varies the phase relative to the nodes' polls
	}
	slices.Sort(delays)
	r.PublishesMeasured = publishes
	r.PublishP50MS, r.PublishMaxMS = delays[len(delays)/2], delays[len(delays)-1]
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureWithdrawals grants keys, withdraws each one through one node, and measures
// the time until no node accepts it.
func measureWithdrawals(ctx context.Context, c *Cluster, r *Result) error {
	op := keys.Operator{Table: c.Table}
	for i := range withdrawals {
		key, id, err := op.Grant(ctx, "farm")
		if err != nil {
			return err
		}
		if err := c.eventually(ctx, func() bool { return c.countAccepting(key) == len(c.Nodes) }); err != nil {
			return fmt.Errorf("grant not in force on all nodes: %w", err)
		}
		start := time.Now()
		result := make(chan error, 1)
		go func() {
			_, err := c.Nodes[i*7%len(c.Nodes)].Keys.Withdraw(ctx, id)
			result <- err
		}()
		if err := c.eventually(ctx, func() bool { return c.countAccepting(key) == 0 }); err != nil {
			return fmt.Errorf("withdrawal not in force on all nodes: %w", err)
		}
		r.WithdrawMaxMS = max(r.WithdrawMaxMS, milliseconds(time.Since(start)))
		if err := <-result; err != nil {
			return err
		}
		r.WithdrawalsMeasured++
	}
	return nil
}

// eventually is Eventually with convergenceTimeout.
func (c *Cluster) eventually(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	return Eventually(ctx, condition)
}

// countAccepting returns the number of nodes that accept a key.
func (c *Cluster) countAccepting(key string) (count int) {
	for _, n := range c.Nodes {
		if _, err := n.Keys.Lookup(key); err == nil {
			count++
		}
	}
	return count
}

// measureNodeLoss kills nodes one after another, first a gateway, and measures the
// time until no node of any data centre has their endpoint.
func measureNodeLoss(ctx context.Context, c *Cluster, r *Result) error {
	for i := range nodeLosses {
		killed := c.Nodes[i*5%len(c.Nodes)]
		if i == 0 {
			gateways := killed.Members.Gateways(killed.DataCentre)
			for _, n := range c.Nodes {
				if n.Node == gateways[0].ID {
					killed = n
				}
			}
		}
		start := time.Now()
		go killed.Kill()
		c.Remove(killed)
		err := c.eventually(ctx, func() bool {
			for _, n := range c.Nodes {
				if len(n.Members.Endpoints("stockroom")) != len(c.Nodes) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return fmt.Errorf("endpoint of killed node %s not removed everywhere: %w", killed.Node, err)
		}
		r.LostNodeKnownMaxMS = max(r.LostNodeKnownMaxMS, milliseconds(time.Since(start)))
	}
	return nil
}
