package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

const (
	minFaults, maxFaults               = 6, 12
	minPlanned, maxPlanned             = 2, 5 // additional planned operations with Options.PlannedWork
	minSignals, maxSignals             = 2, 4 // additional signals of backend servers with Options.Signals
	minRestores, maxRestores           = 1, 3 // restores of the store with Options.Restores
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 5 * time.Second
	massFaultFraction                  = 0.6 // of all hosts
	maxDelay                           = 150 * time.Millisecond
	maxRestoreTime                     = time.Second     // for which the store is away
	maxCopyAge                         = 5 * time.Second // of the copy that it comes back from
)

// Injection is one fault, or one planned operation, of a schedule.
type Injection struct {
	At       time.Duration // since the start of the fault period
	Duration time.Duration
	Kind     string
	Hosts    []int   // indexes of the affected hosts
	Amount   float64 // intensity, 0 to 1, for the kinds that have one
}

// String returns the injection as one line without a line break.
func (i Injection) String() string {
	return fmt.Sprintf("at %v for %v: %s, hosts %v, amount %.2f", i.At.Round(time.Millisecond), i.Duration.Round(time.Millisecond), i.Kind, i.Hosts, i.Amount)
}

// faultKind is a kind of fault or planned operation.
type faultKind struct {
	name    string
	planned bool
	// begin starts the fault and returns a function that ends it, or nil if the fault
	// is over when begin returns. begin is nil for "configuration", which inject
	// handles itself.
	begin func(f *fleet, i *Injection, hosts []*host) (end func())
}

// drawSchedule returns the faults of a run, ordered by start time. The seed in o
// determines them.
func drawSchedule(o *Options, period time.Duration) []Injection {
	out := drawInjections(rand.New(rand.NewPCG(o.Seed, 0)), faultKinds, minFaults, maxFaults, period)
	if o.PlannedWork {
		planned := slices.DeleteFunc(slices.Clone(faultKinds), func(k faultKind) bool { return !k.planned })
		out = append(out, drawInjections(rand.New(rand.NewPCG(o.Seed, 2)), planned, minPlanned, maxPlanned, period)...)
	}
	if o.Signals {
		out = append(out, drawInjections(rand.New(rand.NewPCG(o.Seed, 3)), signalKinds, minSignals, maxSignals, period)...)
	}
	if o.Restores {
		out = append(out, drawInjections(rand.New(rand.NewPCG(o.Seed, 4)), restoreKinds, minRestores, maxRestores, period)...)
	}
	slices.SortFunc(out, func(a, b Injection) int { return int(a.At - b.At) })
	return out
}

// drawInjections returns between minCount and maxCount random injections of the given
// kinds that start within the period.
func drawInjections(rng *rand.Rand, kinds []faultKind, minCount, maxCount int, period time.Duration) []Injection {
	out := make([]Injection, minCount+rng.IntN(maxCount-minCount+1))
	for n := range out {
		k := &kinds[rng.IntN(len(kinds))]
		i := Injection{
			At: time.Duration(rng.Int64N(int64(period))), Kind: k.name, Amount: rng.Float64(),
			Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		i.Hosts = drawTargets(rng, k.name)
		out[n] = i
	}
	return out
}

// drawTargets returns the indexes of the hosts that a fault affects: one host, all
// hosts of a data centre, or for mass faults a fraction of all hosts.
func drawTargets(rng *rand.Rand, kind string) []int {
	switch {
	case kind == "herd_kill" || kind == "rolling_stop":
		return rng.Perm(len(placement))[:int(massFaultFraction*float64(len(placement)))]
	case rng.IntN(2) == 0:
		var hosts []int
		dataCentre := dataCentres[rng.IntN(len(dataCentres))]
		for n, p := range placement {
			if p.dataCentre == dataCentre {
				hosts = append(hosts, n)
			}
		}
		return hosts
	}
	return []int{rng.IntN(len(placement))}
}

// inject runs one injection and returns when it is over.
func (s *soakRun) inject(i *Injection) {
	kinds := slices.Concat(faultKinds, signalKinds, restoreKinds)
	k := &kinds[slices.IndexFunc(kinds, func(k faultKind) bool { return k.name == i.Kind })]
	hosts := make([]*host, len(i.Hosts))
	for n, index := range i.Hosts {
		hosts[n] = s.fleet.hosts[index]
	}
	if k.name == "configuration" {
		s.operator.publish()
		return
	}
	if !k.planned {
		defer s.fleet.checker.beginSpan(&s.fleet.checker.unplannedFaults, nil)()
	}
	end := k.begin(s.fleet, i, hosts)
	if end != nil {
		pause.For(s.fleet.ctx, i.Duration)
		end()
	}
}

// forEachConcurrently runs f for all hosts concurrently and waits until all calls
// have returned.
func forEachConcurrently(hosts []*host, f func(h *host)) {
	done := make(chan struct{})
	for _, h := range hosts {
		go func() { f(h); done <- struct{}{} }()
	}
	for range hosts {
		<-done
	}
}

var faultKinds = []faultKind{
	{name: "configuration", planned: true},
	{name: "kill", begin: kill},
	{name: "herd_kill", begin: kill},
	{name: "pause", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return beginAtEach(hosts, func(h *host) func() {
			if !h.processMu.TryLock() {
				return nil
			}
			end := f.checker.beginSpan(&f.checker.pauses, h)
			h.signal(syscall.SIGSTOP)
			return func() {
				h.signal(syscall.SIGCONT)
				end()
				f.checker.excuse(h)
				h.processMu.Unlock()
			}
		})
	}},
	{name: "rolling_stop", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		for _, h := range hosts {
			h.plannedRestart()
		}
		return nil
	}},
	{name: "stop", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		forEachConcurrently(hosts[:1], (*host).plannedRestart)
		return nil
	}},
	{name: "reload", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		forEachConcurrently(hosts, func(h *host) { h.signal(syscall.SIGHUP) })
		return nil
	}},
	{name: "drain", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		if hosts[0].serverMu.TryLock() {
			defer hosts[0].serverMu.Unlock()
			hosts[0].drainServer()
			hosts[0].restartServer()
		}
		return nil
	}},
	{name: "server_crash", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return beginAtEach(hosts, func(h *host) func() {
			if !h.serverMu.TryLock() {
				return nil
			}
			h.crashServer()
			return func() { h.restartServer(); h.serverMu.Unlock() }
		})
	}},
	{name: "cut", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return f.setLinkRule(hosts, true, harness.Rule{Cut: true})
	}},
	{name: "cut_one_way", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return f.setLinkRule(hosts, false, harness.Rule{Cut: true})
	}},
	{name: "delay", begin: func(f *fleet, i *Injection, hosts []*host) func() {
		return f.setLinkRule(hosts, true, harness.Rule{Delay: time.Duration(i.Amount * float64(maxDelay))})
	}},
	{name: "reset", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		forEachConcurrently(hosts, func(h *host) {
			f.network.Reset(h.zone)
			f.network.Reset(h.storeZone)
			f.checker.excuseLimits(h)
		})
		return nil
	}},
	{name: "silence", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		forEachConcurrently(hosts, func(h *host) {
			f.network.Blackhole(h.zone)
			f.network.Blackhole(h.storeZone)
			f.checker.excuseLimits(h)
		})
		return nil
	}},
	{name: "store_cut", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		forEachConcurrently(hosts, func(h *host) { f.network.Cut("", h.storeZone) })
		return func() { forEachConcurrently(hosts, func(h *host) { f.network.Heal("", h.storeZone) }) }
	}},
	storeFault("store_down", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{Down: true} }),
	storeFault("store_slow", func(i *Injection) standin.PlatformFaults {
		return standin.PlatformFaults{Delay: time.Duration(i.Amount * float64(time.Second))}
	}),
	storeFault("store_loses_answers", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{DropAnswers: 20} }),
	storeFault("store_loses_calls", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{DropRequests: 20} }),
	storeFault("store_compacts", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{Compacted: true} }),
	serverFault("server_slow", func(a float64) standin.SidecarBackendBehaviour {
		return standin.SidecarBackendBehaviour{WorkFactor: 40 * a}
	}),
	serverFault("server_loses_answers", func(a float64) standin.SidecarBackendBehaviour { return standin.SidecarBackendBehaviour{DropAnswer: a} }),
	serverFault("server_truncates", func(a float64) standin.SidecarBackendBehaviour { return standin.SidecarBackendBehaviour{Truncate: a} }),
	serverFault("server_answers_twice", func(a float64) standin.SidecarBackendBehaviour {
		return standin.SidecarBackendBehaviour{ExtraAnswer: a}
	}),
	serverFault("server_fails", func(a float64) standin.SidecarBackendBehaviour { return standin.SidecarBackendBehaviour{Fail: a} }),
	serverFault("server_sheds", func(a float64) standin.SidecarBackendBehaviour { return standin.SidecarBackendBehaviour{Shed: a} }),
}

// restoreKinds are the kinds with which the store loses what it has acknowledged.
var restoreKinds = []faultKind{
	{name: "store_restore", begin: func(f *fleet, i *Injection, _ []*host) func() {
		i.Duration = min(i.Duration, maxRestoreTime)
		f.store.SetFaults(standin.PlatformFaults{Away: true})
		return func() {
			f.store.RestoreAge(time.Duration(i.Amount * float64(maxCopyAge)))
			f.store.SetFaults(standin.PlatformFaults{})
		}
	}},
}

// kill kills node processes and restarts them when the fault ends.
func kill(_ *fleet, _ *Injection, hosts []*host) func() {
	return beginAtEach(hosts, func(h *host) func() {
		if !h.processMu.TryLock() {
			return nil
		}
		h.kill()
		return func() { h.restartProcess(); h.processMu.Unlock() }
	})
}

// beginAtEach begins a fault at each host and returns a function that ends it at all
// of them. Hosts for which begin returns nil are skipped.
func beginAtEach(hosts []*host, begin func(h *host) (end func())) func() {
	var ends []func()
	for _, h := range hosts {
		if end := begin(h); end != nil {
			ends = append(ends, end)
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func storeFault(name string, faults func(*Injection) standin.PlatformFaults) faultKind {
	return faultKind{name: name, begin: func(f *fleet, i *Injection, _ []*host) func() {
		f.store.SetFaults(faults(i))
		return func() { f.store.SetFaults(standin.PlatformFaults{}) }
	}}
}

func serverFault(name string, behaviour func(amount float64) standin.SidecarBackendBehaviour) faultKind {
	return faultKind{name: name, begin: func(_ *fleet, i *Injection, hosts []*host) func() {
		forEachConcurrently(hosts, func(h *host) { h.server.SetBehaviour(behaviour(i.Amount)) })
		return func() {
			forEachConcurrently(hosts, func(h *host) { h.server.SetBehaviour(standin.SidecarBackendBehaviour{}) })
		}
	}}
}

// setLinkRule sets the rule for the direction from all other hosts to the given hosts
// and, if both is true, for the reverse direction too. end removes the rules.
func (f *fleet) setLinkRule(hosts []*host, both bool, r harness.Rule) (end func()) {
	set := func(r harness.Rule) {
		for _, h := range hosts {
			f.checker.excuseLimits(h)
			for _, other := range f.hosts {
				if slices.Contains(hosts, other) {
					continue
				}
				f.network.SetRule(other.zone, h.zone, r)
				if both {
					f.network.SetRule(h.zone, other.zone, r)
				}
			}
		}
	}
	set(r)
	return func() { set(harness.Rule{}) }
}

// plannedRestart stops the node process with SIGTERM and starts it again. It does
// nothing if another fault is acting on the process.
func (h *host) plannedRestart() {
	if !h.processMu.TryLock() {
		return
	}
	defer h.processMu.Unlock()
	chk := h.fleet.checker
	from := time.Now()
	end := chk.beginSpan(&chk.plannedStops, h)
	inTime := h.stop()
	end()
	chk.mu.Lock()
	if !inTime && !overlaps(chk.unplannedFaults, nil, from.Add(-faultRecoveryTime), time.Now()) {
		chk.recordLocked("STOP", "", "%s did not exit within %v of SIGTERM", h.name(), stopTimeout)
	}
	chk.mu.Unlock()
	h.restartProcess()
}

func (h *host) restartProcess() {
	h.fleet.checker.excuse(h)
	if err := h.startProcess(); err != nil {
		h.fleet.checker.record("START", "", "%s: %v", h.name(), err)
	}
}

func (h *host) restartServer() {
	if err := h.startServer(); err != nil {
		h.fleet.checker.record("START", "", "server of %s: %v", h.name(), err)
	}
}
