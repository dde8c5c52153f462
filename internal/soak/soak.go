package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

const (
	warmUpTime = 2 * time.Second // before the fault period
	// faultPeriod is the period in which faults start; they may end later.
	faultPeriod = 12 * time.Second
	// settleTime is the time limit for a configuration to be in force (2 s) plus the
	// longest extension of that limit while the store is disturbed (5 s).
	settleTime = 7 * time.Second
	// verifyTime is the length of the fault-free period that is checked at the end.
	verifyTime = 3 * time.Second
	// minServedRatio is the fraction of the requests of a workspace without a rate limit
	// that has to succeed in that period.
	minServedRatio = 0.95
)

// Report is the result of a soak.
type Report struct {
	Seed       uint64
	Faults     []Injection
	Violations []Violation
	Requests   int
	Served     int
	Logs       map[string]string // output of the node processes, by host
}

// String returns the report without the logs.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d violations\n", r.Seed, r.Requests, r.Served, len(r.Violations))
	for _, i := range r.Faults {
		fmt.Fprintln(&b, i)
	}
	b.WriteString(summarize(r.Violations))
	return b.String()
}

// soakRun is the state of a run.
type soakRun struct {
	fleet    *fleet
	operator *operator
	rng      *rand.Rand
	maxPause time.Duration // of callers
}

// Options describe a run.
type Options struct {
	Seed        uint64
	PlannedWork bool   // add planned stops, drains and configuration versions to the faults
	Signals     bool   // add backend servers that name limits, or leaving, in their responses
	Restores    bool   // let the store come back from a copy some seconds old
	Dir         string // directory for settings files
	// MaxPause is the longest pause of a caller before a request; default 150 ms. Shorter
	// pauses press the limits of workspaces harder.
	MaxPause time.Duration
}

// Run runs a soak and returns the violations found in the report. The error is of
// class Error if the soak itself could not run.
func Run(o Options) (*Report, error) {
	chk := newChecker()
	f, err := startFleet(o.Dir, chk)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s := &soakRun{fleet: f, operator: &operator{store: f.store, checker: chk}, rng: rand.New(rand.NewPCG(o.Seed, 1)), maxPause: cmp.Or(o.MaxPause, maxCallerPause)}
	s.operator.publish()
	for _, h := range f.hosts {
		if err := s.waitReady(h); err != nil {
			return nil, err
		}
	}
	report := &Report{Seed: o.Seed, Faults: drawSchedule(&o, faultPeriod), Logs: map[string]string{}}
	s.runFaults(report.Faults)
	chk.checkAggregates()
	s.checkProcesses(report.Logs)
	report.Violations = chk.violations
	report.Requests, report.Served = len(chk.requests), chk.countServed()
	return report, nil
}

func (s *soakRun) waitReady(h *host) error {
	err := harness.Eventually(startTimeout, func() error {
		resp, err := http.Get("http://" + h.at(readyPort) + standin.ReadyPath)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return Error.New("%s is not ready: status %d", h.name(), resp.StatusCode)
		}
		return nil
	})
	return Error.Wrap(err)
}

// runFaults sends requests from callers while it injects the faults, and checks the
// fault-free period after them.
func (s *soakRun) runFaults(injections []Injection) {
	ctx, stop := context.WithCancel(s.fleet.ctx)
	var callers sync.WaitGroup
	for _, h := range s.fleet.hosts {
		for range callersPerHost {
			c := &caller{host: h, rng: rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())), maxPause: s.maxPause}
			callers.Go(func() { c.run(ctx, s.operator.randomRequest) })
		}
	}
	pause.For(ctx, warmUpTime)
	start := time.Now()
	var faults sync.WaitGroup
	for n := range injections {
		i := &injections[n]
		pause.For(ctx, time.Until(start.Add(i.At)))
		faults.Go(func() { s.inject(i) })
	}
	faults.Wait()
	s.operator.publish()
	pause.For(ctx, settleTime)
	from := time.Now()
	pause.For(ctx, verifyTime)
	served, all := s.fleet.checker.countServedBetween("free", from, time.Now().Add(-routeTimeout))
	stop()
	callers.Wait()
	if float64(served) < minServedRatio*float64(all) || all == 0 {
		s.fleet.checker.record("RECOVER", "", "only %d of %d requests succeeded, starting %v after the last fault", served, all, settleTime)
	}
	for _, h := range s.fleet.hosts {
		s.checkConfiguration(h)
	}
}

// checkConfiguration checks that the newest configuration version is in force at a
// host.
func (s *soakRun) checkConfiguration(h *host) {
	o := s.operator
	c := &caller{host: h}
	defer c.close()
	expectStatus := func(hostName, key string, want int) {
		p := standin.PlatformRequest{
			Method: http.MethodGet, Host: hostName, Path: "/", Key: key, Timeout: callerTimeout, ID: "c" + strconv.FormatInt(requestIDs.Add(1), 10),
		}
		if got := c.send(s.fleet.ctx, &p, s.fleet.checker.workspaceOf(key)); got != want {
			s.fleet.checker.record("CONFIG", p.ID, "%s returned %d for %s with key %s, version %d requires %d", h.name(), got, hostName, key, o.current.number, want)
		}
	}
	currentKey := formatKey("free", o.current.number)
	expectStatus(o.addedRoute, currentKey, http.StatusOK)
	for _, removed := range o.removedRoutes {
		expectStatus(removed, currentKey, http.StatusNotFound)
	}
	for _, key := range o.revokedKeys {
		expectStatus(readHostName, key, http.StatusUnauthorized)
	}
}

// checkProcesses checks that no process exited unexpectedly and that no process went
// back to an older configuration version. It adds the logs of each host to logs.
func (s *soakRun) checkProcesses(logs map[string]string) {
	for _, h := range s.fleet.hosts {
		if h.exitedUnexpectedly() {
			s.fleet.checker.record("EXIT", "", "%s exited unexpectedly", h.name())
		}
		for _, log := range h.logs() {
			logs[h.name()] += log
			last := uint64(0)
			for line := range strings.Lines(log) {
				if v, ok := appliedVersion(line); ok {
					if v < last {
						s.fleet.checker.record("CONFIG", "", "%s went from version %d back to %d", h.name(), last, v)
					}
					last = v
				}
			}
		}
	}
}

// appliedVersion returns the version in a configuration_applied log line, and
// false for other lines.
func appliedVersion(line string) (uint64, bool) {
	if !strings.Contains(line, "event=configuration_applied ") {
		return 0, false
	}
	for field := range strings.FieldsSeq(line) {
		if text, ok := strings.CutPrefix(field, "version="); ok {
			v, err := strconv.ParseUint(text, 10, 64)
			return v, err == nil
		}
	}
	return 0, false
}

// Save writes the report to report.txt and the logs to HOST.log in dir, which is
// created if needed.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(r.String()), 0o644); err != nil {
		return Error.Wrap(err)
	}
	for name, log := range r.Logs {
		if err := os.WriteFile(filepath.Join(dir, name+".log"), []byte(log), 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
