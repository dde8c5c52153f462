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
	statusPoll  = 20 * time.Millisecond // resolution of the figures about publishing
	lookupPoll  = 5 * time.Millisecond  // resolution of the figures about withdrawals
	clockTicks  = 100                   // per second, in /proc/<pid>/stat
	requestTime = 2 * time.Second
)

// processes is a fleet of dotterelnode processes.
type processes struct {
	*harness.Cluster
	dcs    []string
	client *http.Client
}

// Run measures fleets of the given numbers of dotterelnode processes, one after
// another. The figures per node are those of the node processes alone.
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
	o := harness.Options{Document: document(dcs, 1, experimentCO), Dir: dir}
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
	p := &processes{Cluster: c, dcs: dcs, client: &http.Client{
		Timeout: requestTime, Transport: &http.Transport{MaxIdleConnsPerHost: 2},
	}}
	r = Result{Nodes: nodes, DataCentres: len(dcs), SeparateProcesses: true}
	for _, step := range []func(context.Context, *Result) error{p.settle, p.steady, p.publishes, p.withdrawals, p.losses} {
		if err := step(ctx, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// each runs f for all live nodes at once and returns the first error.
func (p *processes) each(f func(n *harness.Node) error) error {
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

// until repeats check until it returns true.
func until(ctx context.Context, every time.Duration, check func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		done, err := check()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %v", ErrTimeout, err)
		case <-time.After(every):
		}
	}
}

// waitEndpoints waits until every node knows the given number of endpoints.
func (p *processes) waitEndpoints(ctx context.Context, count int) error {
	return p.each(func(n *harness.Node) error {
		return until(ctx, statusPoll, func() (bool, error) {
			s, err := status.Fetch(ctx, p.client, n.Operators)
			return err == nil && len(s.Endpoints) == count, err
		})
	})
}

func (p *processes) settle(ctx context.Context, _ *Result) error {
	if err := p.waitEndpoints(ctx, len(p.Nodes)); err != nil {
		return fmt.Errorf("settling: %w", err)
	}
	time.Sleep(quietTime)
	return nil
}

// usage is what the node processes have used so far.
type usage struct {
	cpu   time.Duration
	rss   float64 // MB
	bytes float64
}

func (p *processes) usage() (sum usage, err error) {
	var mu sync.Mutex
	err = p.each(func(n *harness.Node) error {
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

func (p *processes) nodeUsage(n *harness.Node) (u usage, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Process.PID()))
	if err != nil {
		return u, err
	}
	// The second field, the program's name, is in parentheses.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, fmt.Errorf("stat of %s has %d fields", n.Name, len(fields))
	}
	var values [3]int64
	for i, f := range []int{utime, stime, rss} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return u, err
		}
	}
	u.cpu = time.Duration(values[0]+values[1]) * time.Second / clockTicks
	u.rss = float64(values[2]) * float64(os.Getpagesize()) / (1 << 20)
	u.bytes, err = p.controlBytes(n)
	return u, err
}

func (p *processes) controlBytes(n *harness.Node) (float64, error) {
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

// steady measures traffic, CPU time, memory and platform calls while nothing
// happens.
func (p *processes) steady(ctx context.Context, r *Result) error {
	reads, writes := p.Platform.Calls()
	before, err := p.usage()
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
	readsEnd, writesEnd := p.Platform.Calls()
	after, err := p.usage()
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

// publishes measures from the acceptance of a version until each node reports it.
func (p *processes) publishes(ctx context.Context, r *Result) error {
	var mu sync.Mutex
	var delays []float64
	for i := range publishes {
		d := document(p.dcs, float64(i+2), experimentCO)
		current, err := publish.Publish(ctx, p.Client, uint64(i+1), d)
		if err != nil {
			return err
		}
		accepted := time.Now()
		err = p.each(func(n *harness.Node) error {
			err := until(ctx, statusPoll, func() (bool, error) {
				s, err := status.Fetch(ctx, p.client, n.Operators)
				return err == nil && s.Version >= current.Version, err
			})
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, milliseconds(time.Since(accepted)))
			return err
		})
		if err != nil {
			return fmt.Errorf("publish of version %d: %w", current.Version, err)
		}
		time.Sleep(time.Duration(137*i%500) * time.Millisecond) // not in step with the polls
	}
	slices.Sort(delays)
	r.PublishesMeasured = publishes
	r.PublishP50MS, r.PublishMaxMS = delays[len(delays)/2], delays[len(delays)-1]
	return nil
}

// reason returns why a node refuses a request with a key; "" if the key is
// accepted, whatever happens to the request then.
func (p *processes) reason(ctx context.Context, n *harness.Node, key string) (refusal.Reason, error) {
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

func (p *processes) waitReason(ctx context.Context, key string, want refusal.Reason) error {
	return p.each(func(n *harness.Node) error {
		return until(ctx, lookupPoll, func() (bool, error) {
			reason, err := p.reason(ctx, n, key)
			return err == nil && reason == want, err
		})
	})
}

// withdrawals grants keys and withdraws each one as operators do, through the
// table and one node of each data centre.
func (p *processes) withdrawals(ctx context.Context, r *Result) error {
	op := keys.Operator{Table: p.Client, HTTP: p.client}
	for i := range min(len(p.dcs), len(p.Nodes)) {
		op.Nodes = append(op.Nodes, p.Nodes[i].Operators)
	}
	for range withdrawals {
		key, id, err := op.Grant(ctx, "farm")
		if err != nil {
			return err
		}
		if err := p.waitReason(ctx, key, ""); err != nil {
			return fmt.Errorf("grant: %w", err)
		}
		start := time.Now()
		failed := make(chan error, 1)
		go func() {
			w, err := op.Withdraw(ctx, id)
			if err == nil && !w.InForceEverywhere() {
				err = fmt.Errorf("not in force everywhere: %+v", w)
			}
			failed <- err
		}()
		if err := p.waitReason(ctx, key, refusal.WithdrawnKey); err != nil {
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

// losses kills node processes and measures until no other node of any data
// centre has their endpoint.
func (p *processes) losses(ctx context.Context, r *Result) error {
	for i := range losses {
		victim := p.Nodes[len(p.Nodes)-1-i]
		start := time.Now()
		victim.Process.Kill()
		victim.Process = nil
		if err := p.waitEndpoints(ctx, len(p.Nodes)-1-i); err != nil {
			return fmt.Errorf("loss of %s: %w", victim.Name, err)
		}
		r.LostNodeKnownMaxMS = max(r.LostNodeKnownMaxMS, milliseconds(time.Since(start)))
	}
	return nil
}

func document(dcs []string, rate float64, cutOff time.Duration) *config.Document {
	return (&Cluster{DataCentres: dcs}).Document(rate, cutOff)
}
