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

// Result holds the figures of one cluster size.
type Result struct {
	Nodes                 int     `json:"nodes"`
	DataCentres           int     `json:"data_centres"`
	SeparateProcesses     bool    `json:"separate_processes"`
	PublishP50MS          float64 `json:"publish_in_force_p50_ms"` // over publishes and nodes, from acceptance
	PublishMaxMS          float64 `json:"publish_in_force_max_ms"`
	WithdrawMaxMS         float64 `json:"withdraw_in_force_max_ms"`     // from the operator's request to a node
	LostNodeKnownMaxMS    float64 `json:"lost_node_known_max_ms"`       // by all nodes of all data centres
	BytesPerNodePerS      float64 `json:"control_bytes_per_node_per_s"` // sent and received, with handshakes, without TCP/IP headers
	CPUPercentPerNode     float64 `json:"cpu_percent_per_node"`         // of one core, when idle
	RSSPerNodeMB          float64 `json:"rss_mb_per_node"`
	PlatformReadsPerS     float64 `json:"platform_reads_per_s"`
	PlatformWritesPerS    float64 `json:"platform_writes_per_s"`
	PublishesMeasured     int     `json:"publishes_measured"`
	WithdrawalsMeasured   int     `json:"withdrawals_measured"`
	SteadySecondsMeasured float64 `json:"steady_seconds_measured"`
}

// Results holds the figures of all sizes.
type Results struct {
	Results []Result `json:"results"`
}

const (
	nodesPerDC   = 6 // below minDCs*nodesPerDC nodes the data centres are smaller
	minDCs       = 3
	maxDCs       = 12
	publishes    = 10
	withdrawals  = 10
	losses       = 3
	steadyTime   = 20 * time.Second
	settleLimit  = 60 * time.Second
	quietTime    = 3 * time.Second // lets the traffic of the start pass
	experimentCO = 10 * time.Second
)

// RunInProcess measures clusters of the given numbers of nodes, one after
// another, all nodes of a cluster in this process. CPU and memory therefore
// include the platform stand-in.
func RunInProcess(ctx context.Context, sizes []int) (Results, error) {
	return runSizes(ctx, sizes, runSize)
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

func runSize(ctx context.Context, nodes int) (Result, error) {
	dcs := dataCentres(nodes)
	c, err := NewCluster(dcs, nodes/len(dcs), nil)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	r := Result{Nodes: len(c.Nodes), DataCentres: len(dcs)}
	steps := []func(context.Context, *Cluster, *Result) error{
		firstPublish, measureSteady, measurePublish, measureWithdraw, measureLoss,
	}
	for _, step := range steps {
		if err := step(ctx, c, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

func firstPublish(ctx context.Context, c *Cluster, _ *Result) error {
	version, err := c.Publish(ctx, c.Document(1, experimentCO))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if err := Eventually(ctx, func() bool { return c.Converged(version) }); err != nil {
		return fmt.Errorf("settling: %w", err)
	}
	time.Sleep(quietTime)
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

// rssMB returns the resident memory of this process.
func rssMB() (float64, error) {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm has %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), err
}

// measureSteady measures traffic, CPU time, memory and platform calls while
// nothing happens.
func measureSteady(ctx context.Context, c *Cluster, r *Result) error {
	reads, writes := c.Platform.Calls()
	wire := c.wireBytes()
	cpu, err := cpuTime()
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(steadyTime):
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
	r.BytesPerNodePerS = float64(c.wireBytes()-wire) / seconds / n
	r.CPUPercentPerNode = 100 * (cpuEnd - cpu).Seconds() / seconds / n
	r.RSSPerNodeMB = rss / n
	r.PlatformReadsPerS = float64(readsEnd-reads) / seconds
	r.PlatformWritesPerS = float64(writesEnd-writes) / seconds
	return nil
}

// measurePublish publishes new versions and notes when each node has them in
// force.
func measurePublish(ctx context.Context, c *Cluster, r *Result) error {
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
		version, err := c.Publish(ctx, c.Document(float64(i+2), experimentCO))
		if err != nil {
			return err
		}
		accepted := time.Now()
		waitCtx, cancel := context.WithTimeout(ctx, settleLimit)
		err = Eventually(waitCtx, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(inForce[version]) == len(c.Nodes)
		})
		cancel()
		if err != nil {
			return fmt.Errorf("publish of version %d: %w", version, err)
		}
		for _, at := range inForce[version] {
			delays = append(delays, max(0, milliseconds(at.Sub(accepted))))
		}
		time.Sleep(time.Duration(37*i) * time.Millisecond) // not in step with the polls
	}
	slices.Sort(delays)
	r.PublishesMeasured = publishes
	r.PublishP50MS, r.PublishMaxMS = delays[len(delays)/2], delays[len(delays)-1]
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureWithdraw grants keys and withdraws each one through one node.
func measureWithdraw(ctx context.Context, c *Cluster, r *Result) error {
	op := keys.Operator{Table: c.Table}
	for i := range withdrawals {
		key, id, err := op.Grant(ctx, "farm")
		if err != nil {
			return err
		}
		if err := c.eventually(ctx, func() bool { return c.accepting(key) == len(c.Nodes) }); err != nil {
			return fmt.Errorf("grant: %w", err)
		}
		start := time.Now()
		failed := make(chan error, 1)
		go func() {
			_, err := c.Nodes[i*7%len(c.Nodes)].Keys.Withdraw(ctx, id)
			failed <- err
		}()
		if err := c.eventually(ctx, func() bool { return c.accepting(key) == 0 }); err != nil {
			return fmt.Errorf("withdrawal: %w", err)
		}
		r.WithdrawMaxMS = max(r.WithdrawMaxMS, milliseconds(time.Since(start)))
		if err := <-failed; err != nil {
			return err
		}
		r.WithdrawalsMeasured++
	}
	return nil
}

func (c *Cluster) eventually(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	return Eventually(ctx, condition)
}

// accepting counts the nodes that accept a key.
func (c *Cluster) accepting(key string) (count int) {
	for _, n := range c.Nodes {
		if _, err := n.Keys.Lookup(key); err == nil {
			count++
		}
	}
	return count
}

// measureLoss kills nodes, gateways included, and notes when no node of any
// data centre has their endpoint any more.
func measureLoss(ctx context.Context, c *Cluster, r *Result) error {
	for i := range losses {
		victim := c.Nodes[i*5%len(c.Nodes)]
		if i == 0 {
			gateways := victim.Members.Gateways(victim.DataCentre)
			for _, n := range c.Nodes {
				if n.Node == gateways[0].ID {
					victim = n
				}
			}
		}
		start := time.Now()
		go victim.Kill()
		c.Remove(victim)
		err := c.eventually(ctx, func() bool {
			for _, n := range c.Nodes {
				if len(n.Members.Endpoints("stockroom")) != len(c.Nodes) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return fmt.Errorf("loss of %s: %w", victim.Node, err)
		}
		r.LostNodeKnownMaxMS = max(r.LostNodeKnownMaxMS, milliseconds(time.Since(start)))
	}
	return nil
}
