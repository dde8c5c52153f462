package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/status"
)

const (
	statusPollInterval  = 20 * time.Millisecond // resolution of the publish and node loss measures
	lookupPollInterval  = 5 * time.Millisecond  // resolution of the withdrawal measures
	clockTicksPerSecond = 100                   // unit of CPU times in /proc/<pid>/stat
	requestTimeout      = 2 * time.Second
)

// processCluster is a cluster of dotterelnode processes.
type processCluster struct {
	*harness.Cluster
	dcs    []string
	client *http.Client
}

// Run measures clusters of the given numbers of dotterelnode processes, one after
// another. The measures per node include the node processes only. After an error it
// returns the results so far as well.
func Run(ctx context.Context, sizes []int) (Results, error) {
	return runSizes(ctx, sizes, runProcesses)
}

func runProcesses(ctx context.Context, nodes int) (r Result, err error) {
	dir, err := os.MkdirTemp("", "dotterel-control")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	dcs := dataCentres(nodes)
	o := harness.Options{Document: document(dcs, 1, experimentCutOffLimit), Dir: dir}
	for i := range nodes {
		o.Nodes = append(o.Nodes, harness.NodeSpec{
			DataCentre: dcs[i%len(dcs)], Backend: standin.BackendConfig{Service: "stockroom", Slots: 32, Connections: 128},
		})
	}
	c, err := harness.StartCluster(o)
	if err != nil {
		return r, err
	}
	defer c.Close()
	p := &processCluster{Cluster: c, dcs: dcs, client: &http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2},
	}}
	r = Result{Nodes: nodes, DataCentres: len(dcs), SeparateProcesses: true}
	for _, step := range []func(context.Context, *Result) error{p.waitConverged, p.measureSteady, p.measurePublishes, p.measureWithdrawals, p.measureNodeLoss} {
		if err := step(ctx, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// forEachNode calls f concurrently for all live nodes and returns the first error in
// the order of nodes.
func (p *processCluster) forEachNode(f func(n *harness.Node) error) error {
	errs := make([]error, len(p.Nodes))
	var wg sync.WaitGroup
	for i, n := range p.Nodes {
		if n.Process != nil {
			wg.Go(func() { errs[i] = f(n) })
		}
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// pollUntil calls check at the given interval until it returns true. It fails with
// ErrTimeout after convergenceTimeout or if ctx ends first; the error of ctx is not
// wrapped.
func pollUntil(ctx context.Context, interval time.Duration, check func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		done, err := check()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %v", ErrTimeout, err)
		case <-time.After(interval):
		}
	}
}

// waitEndpoints waits until every node knows the given number of endpoints.
func (p *processCluster) waitEndpoints(ctx context.Context, count int) error {
	return p.forEachNode(func(n *harness.Node) error {
		return pollUntil(ctx, statusPollInterval, func() (bool, error) {
			s, err := status.Fetch(ctx, p.client, n.Operators)
			return err == nil && len(s.Endpoints) == count, err
		})
	})
}

// waitConverged waits until every node knows all endpoints and the traffic of the
// start has ended.
func (p *processCluster) waitConverged(ctx context.Context, _ *Result) error {
	if err := p.waitEndpoints(ctx, len(p.Nodes)); err != nil {
		return fmt.Errorf("cluster did not converge: %w", err)
	}
	time.Sleep(startupDelay)
	return nil
}

// resourceUsage holds CPU time and traffic since the start of the processes and their
// present memory.
type resourceUsage struct {
	cpu   time.Duration
	rss   float64 // resident memory in MiB
	bytes float64 // control traffic, sent and received
}

func (p *processCluster) totalUsage() (sum resourceUsage, err error) {
	var mu sync.Mutex
	err = p.forEachNode(func(n *harness.Node) error {
		u, err := p.nodeUsage(n)
		mu.Lock()
		defer mu.Unlock()
		sum.cpu += u.cpu
		sum.rss += u.rss
		sum.bytes += u.bytes
		return err
	})
	return sum, err
}

func (p *processCluster) nodeUsage(n *harness.Node) (u resourceUsage, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Process.PID()))
	if err != nil {
		return u, err
	}
	// The second field, the program's name, is in parentheses and may contain spaces.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, fmt.Errorf("/proc/<pid>/stat of node %s has %d fields after the name, want more than %d", n.Name, len(fields), rss)
	}
	var values [3]int64
	for i, f := range []int{utime, stime, rss} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return u, err
		}
	}
	u.cpu = time.Duration(values[0]+values[1]) * time.Second / clockTicksPerSecond
	u.rss = float64(values[2]) * float64(os.Getpagesize()) / (1 << 20)
	u.bytes, err = p.controlBytes(n)
	return u, err
}

// controlBytes returns the bytes of control messages that a node has sent and
// received, from its metrics. They include WebSocket headers, but no handshakes.
func (p *processCluster) controlBytes(n *harness.Node) (float64, error) {
	resp, err := p.client.Get("http://" + n.Operators + "/v1/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var counters map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&counters); err != nil {
		return 0, err
	}
	return counters["control_bytes_sent"].Count + counters["control_bytes_received"].Count, nil
}

// measureSteady measures traffic, CPU time, memory and platform calls while the
// cluster is idle.
func (p *processCluster) measureSteady(ctx context.Context, r *Result) error {
	reads, writes := p.Platform.Calls()
	before, err := p.totalUsage()
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
	readsEnd, writesEnd := p.Platform.Calls()
	after, err := p.totalUsage()
	if err != nil {
		return err
	}
	n := float64(len(p.Nodes))
	r.SteadySecondsMeasured = seconds
	r.BytesPerNodePerS = (after.bytes - before.bytes) / seconds / n
	r.CPUPercentPerNode = 100 * (after.cpu - before.cpu).Seconds() / seconds / n
	r.RSSPerNodeMB = after.rss / n
	r.PlatformReadsPerS = float64(readsEnd-reads) / seconds
	r.PlatformWritesPerS = float64(writesEnd-writes) / seconds
	return nil
}

// measurePublishes publishes new versions and measures the time from the acceptance
// of a version until each node reports it.
func (p *processCluster) measurePublishes(ctx context.Context, r *Result) error {
	var mu sync.Mutex
	var delays []float64
	for i := range publishes {
		d := document(p.dcs, float64(i+2), experimentCutOffLimit)
		current, err := publish.Publish(ctx, p.Client, uint64(i+1), d)
		if err != nil {
			return err
		}
		accepted := time.Now()
		err = p.forEachNode(func(n *harness.Node) error {
			err := pollUntil(ctx, statusPollInterval, func() (bool, error) {
				s, err := status.Fetch(ctx, p.client, n.Operators)
				return err == nil && s.Version >= current.Version, err
			})
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, milliseconds(time.Since(accepted)))
			return err
		})
		if err != nil {
			return fmt.Errorf("version %d not in force on all nodes: %w", current.Version, err)
		}
		time.Sleep(time.Duration(137*i%500) * time.Millisecond) // varies the phase relative to the nodes' polls
	}
	slices.Sort(delays)
	r.PublishesMeasured = publishes
	r.PublishP50MS, r.PublishMaxMS = delays[len(delays)/2], delays[len(delays)-1]
	return nil
}

// refusalReason returns why a node refuses a key, or "" if it accepts the key, even
// if the request then fails for another reason.
func (p *processCluster) refusalReason(ctx context.Context, n *harness.Node, key string) (refusal.Reason, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Callers+"/stockroom/stock/bolt", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Dotterel-Key", key)
	resp, err := p.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	switch reason := refusal.Reason(resp.Header.Get(refusal.HeaderReason)); reason {
	case refusal.UnknownKey, refusal.WithdrawnKey, refusal.KeysUnverified:
		return reason, nil
	}
	return "", nil
}

func (p *processCluster) waitRefusalReason(ctx context.Context, key string, want refusal.Reason) error {
	return p.forEachNode(func(n *harness.Node) error {
		return pollUntil(ctx, lookupPollInterval, func() (bool, error) {
			reason, err := p.refusalReason(ctx, n, key)
			return err == nil && reason == want, err
		})
	})
}

// measureWithdrawals grants keys, withdraws each one as operators do, through the
// table and one node of each data centre, and measures the time until all nodes
// refuse it.
func (p *processCluster) measureWithdrawals(ctx context.Context, r *Result) error {
	op := keys.Operator{Table: p.Client, HTTP: p.client}
	for i := range min(len(p.dcs), len(p.Nodes)) {
		op.Nodes = append(op.Nodes, p.Nodes[i].Operators)
	}
	for range withdrawals {
		key, id, err := op.Grant(ctx, "farm")
		if err != nil {
			return err
		}
		if err := p.waitRefusalReason(ctx, key, ""); err != nil {
			return fmt.Errorf("grant not in force on all nodes: %w", err)
		}
		start := time.Now()
		result := make(chan error, 1)
		go func() {
			w, err := op.Withdraw(ctx, id)
			if err == nil && !w.InForceEverywhere() {
				err = fmt.Errorf("withdrawal not in force in all data centres: %+v", w)
			}
			result <- err
		}()
		if err := p.waitRefusalReason(ctx, key, refusal.WithdrawnKey); err != nil {
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

// measureNodeLoss kills node processes one after another and measures the time until
// no other node of any data centre has their endpoint.
func (p *processCluster) measureNodeLoss(ctx context.Context, r *Result) error {
	for i := range nodeLosses {
		killed := p.Nodes[len(p.Nodes)-1-i]
		start := time.Now()
		killed.Process.Kill()
		killed.Process = nil
		if err := p.waitEndpoints(ctx, len(p.Nodes)-1-i); err != nil {
			return fmt.Errorf("endpoint of killed node %s not removed everywhere: %w", killed.Name, err)
		}
		r.LostNodeKnownMaxMS = max(r.LostNodeKnownMaxMS, milliseconds(time.Since(start)))
	}
	return nil
}

func document(dcs []string, rate float64, cutOff time.Duration) *config.Document {
	return (&Cluster{DataCentres: dcs}).Document(rate, cutOff)
}
