package soak

import (
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
	// calmTime passes before the first fault.
	calmTime = 2 * time.Second
	// faultSpan is the time in which faults begin.
	faultSpan = 12 * time.Second
	// settleTime after the last fault everything has to be in order again: the bound
	// of a configuration and its greatest stretch.
	settleTime = 7 * time.Second
	// checkedTime is the length of the calm day that is checked at the end.
	checkedTime = 3 * time.Second
	// servedPart of the requests of a workspace without a bound has to be served then.
	servedPart = 0.95
)

// Report is what a soak found.
type Report struct {
	Seed       uint64
	Faults     []Injection
	Violations []Violation
	Requests   int
	Served     int
	Logs       map[string]string // output of all processes, by host
}

// String returns the report without the logs.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d breaches\n", r.Seed, r.Requests, r.Served, len(r.Violations))
	for _, i := range r.Faults {
		fmt.Fprintln(&b, i)
	}
	b.WriteString(shown(r.Violations))
	return b.String()
}

// soak is a run.
type soak struct {
	fleet    *fleet
	operator *operator
	random   *rand.Rand
}

// Options describe a run.
type Options struct {
	Seed        uint64
	PlannedWork bool   // more planned stops, drains and versions, beside the faults
	Dir         string // for settings files
}

// Run runs a soak. The error is of class Error if the soak itself could not run.
func Run(o Options) (*Report, error) {
	l := newLedger()
	f, err := startFleet(o.Dir, l)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s := &soak{fleet: f, operator: &operator{store: f.store, ledger: l}, random: rand.New(rand.NewPCG(o.Seed, 1))}
	s.operator.publish()
	for _, h := range f.hosts {
		if err := s.awaitReady(h); err != nil {
			return nil, err
		}
	}
	report := &Report{Seed: o.Seed, Faults: schedule(&o, faultSpan), Logs: map[string]string{}}
	s.play(report.Faults)
	l.checkSums()
	s.checkProcesses(report.Logs)
	report.Violations = l.breaches
	report.Requests, report.Served = len(l.requests), l.successes()
	return report, nil
}

func (s *soak) awaitReady(h *host) error {
	err := harness.Eventually(startLimit, func() error {
		resp, err := http.Get("http://" + h.at(readyPort) + standin.ReadyPath)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return Error.New("%s is not ready: %d", h.name(), resp.StatusCode)
		}
		return nil
	})
	return Error.Wrap(err)
}

// play lets callers send requests while the faults strike, and checks the calm day
// after them.
func (s *soak) play(injections []Injection) {
	ctx, stop := context.WithCancel(s.fleet.ctx)
	var callers sync.WaitGroup
	for _, h := range s.fleet.hosts {
		for range callersPerHost {
			c := &caller{host: h, random: rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))}
			callers.Go(func() { c.run(ctx, s.operator.draw) })
		}
	}
	pause.For(ctx, calmTime)
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
	pause.For(ctx, checkedTime)
	served, all := s.fleet.ledger.served("free", from, time.Now().Add(-routeTimeout))
	stop()
	callers.Wait()
	if float64(served) < servedPart*float64(all) || all == 0 {
		s.fleet.ledger.fail("RECOVER", "", "%d of %d requests are served %v after the last fault", served, all, settleTime)
	}
	for _, h := range s.fleet.hosts {
		s.checkConfiguration(h)
	}
}

// checkConfiguration checks that the newest version is in force at a host.
func (s *soak) checkConfiguration(h *host) {
	o := s.operator
	c := &caller{host: h}
	defer c.close()
	ask := func(hostName, key string, want int) {
		p := standin.PlatformRequest{
			Method: http.MethodGet, Host: hostName, Path: "/", Key: key, Timeout: callerDeadline, ID: "c" + strconv.FormatInt(requestIDs.Add(1), 10),
		}
		if got := c.send(s.fleet.ctx, &p, s.fleet.ledger.holder(key)); got != want {
			s.fleet.ledger.fail("CONFIG", p.ID, "%s answers %d for %s with key %s, version %d asks for %d", h.name(), got, hostName, key, o.current.number, want)
		}
	}
	good := keyOf("free", o.current.number)
	ask(o.added, good, http.StatusOK)
	for _, removed := range o.removed {
		ask(removed, good, http.StatusNotFound)
	}
	for _, key := range o.retired {
		ask(hostRead, key, http.StatusUnauthorized)
	}
}

// checkProcesses looks for processes that ended by themselves, and for versions
// that fell, and keeps the logs.
func (s *soak) checkProcesses(logs map[string]string) {
	for _, h := range s.fleet.hosts {
		if h.exited() {
			s.fleet.ledger.fail("EXIT", "", "%s ended by itself", h.name())
		}
		for _, log := range h.logs() {
			logs[h.name()] += log
			last := uint64(0)
			for line := range strings.Lines(log) {
				if v, ok := appliedVersion(line); ok {
					if v < last {
						s.fleet.ledger.fail("CONFIG", "", "%s went from version %d back to %d", h.name(), last, v)
					}
					last = v
				}
			}
		}
	}
}

// appliedVersion returns the version that a log line says has come into force.
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

// Save writes the report and the logs into dir.
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
