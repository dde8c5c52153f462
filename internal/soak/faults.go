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
	minFaults, maxFaults   = 6, 12
	minPlanned, maxPlanned = 2, 5 // planned work besides
	// Faults last a random time between these.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 5 * time.Second
	herdPart                   = 0.6 // of the hosts
	maxDelay                   = 150 * time.Millisecond
)

// Injection is one fault of a schedule.
type Injection struct {
	At     time.Duration // since the start of the faults
	For    time.Duration
	Kind   string
	Hosts  []int // indexes, where it strikes
	Amount float64
}

// String returns the injection as a line.
func (i Injection) String() string {
	return fmt.Sprintf("at %v for %v: %s, hosts %v, amount %.2f", i.At.Round(time.Millisecond), i.For.Round(time.Millisecond), i.Kind, i.Hosts, i.Amount)
}

// kind is a kind of fault. begin strikes and returns what ends it; it may take
// time itself, until the fault's time is over.
type kind struct {
	name    string
	planned bool
	begin   func(f *fleet, i *Injection, hosts []*host) (end func())
}

// schedule draws the faults of a run within a span.
func schedule(o *Options, length time.Duration) []Injection {
	out := draw(rand.New(rand.NewPCG(o.Seed, 0)), kinds, minFaults, maxFaults, length)
	if o.PlannedWork {
		planned := slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return !k.planned })
		out = append(out, draw(rand.New(rand.NewPCG(o.Seed, 2)), planned, minPlanned, maxPlanned, length)...)
	}
	slices.SortFunc(out, func(a, b Injection) int { return int(a.At - b.At) })
	return out
}

// draw draws a number of injections of some kinds.
func draw(random *rand.Rand, kinds []kind, least, most int, length time.Duration) []Injection {
	out := make([]Injection, least+random.IntN(most-least+1))
	for n := range out {
		k := &kinds[random.IntN(len(kinds))]
		i := Injection{
			At: time.Duration(random.Int64N(int64(length))), Kind: k.name, Amount: random.Float64(),
			For: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
		}
		i.Hosts = strikes(random, k.name)
		out[n] = i
	}
	return out
}

// strikes draws the hosts of a fault: one, a data centre, or a herd.
func strikes(random *rand.Rand, kind string) []int {
	switch {
	case kind == "herd_kill" || kind == "rolling_stop":
		return random.Perm(len(placement))[:int(herdPart*float64(len(placement)))]
	case random.IntN(2) == 0:
		var hosts []int
		dataCentre := dataCentres[random.IntN(len(dataCentres))]
		for n, p := range placement {
			if p.dataCentre == dataCentre {
				hosts = append(hosts, n)
			}
		}
		return hosts
	}
	return []int{random.IntN(len(placement))}
}

// inject runs one injection until its end.
func (s *soak) inject(i *Injection) {
	k := &kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.name == i.Kind })]
	hosts := make([]*host, len(i.Hosts))
	for n, index := range i.Hosts {
		hosts[n] = s.fleet.hosts[index]
	}
	if k.name == "configuration" {
		s.operator.publish()
		return
	}
	if !k.planned {
		defer s.fleet.ledger.mark(&s.fleet.ledger.disturbed, nil)()
	}
	end := k.begin(s.fleet, i, hosts)
	if end != nil {
		pause.For(s.fleet.ctx, i.For)
		end()
	}
}

// each runs f for all hosts side by side and waits.
func each(hosts []*host, f func(h *host)) {
	done := make(chan struct{})
	for _, h := range hosts {
		go func() { f(h); done <- struct{}{} }()
	}
	for range hosts {
		<-done
	}
}

var kinds = []kind{
	{name: "configuration", planned: true},
	{name: "kill", begin: kill},
	{name: "herd_kill", begin: kill},
	{name: "pause", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return forEach(hosts, func(h *host) func() {
			if !h.processBusy.TryLock() {
				return nil
			}
			end := f.ledger.mark(&f.ledger.paused, h)
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT); end(); h.processBusy.Unlock() }
		})
	}},
	{name: "rolling_stop", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		for _, h := range hosts {
			h.restartAsPlanned()
		}
		return nil
	}},
	{name: "stop", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		each(hosts[:1], (*host).restartAsPlanned)
		return nil
	}},
	{name: "reload", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		each(hosts, func(h *host) { h.signal(syscall.SIGHUP) })
		return nil
	}},
	{name: "drain", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		if hosts[0].serverBusy.TryLock() {
			defer hosts[0].serverBusy.Unlock()
			hosts[0].drainServer()
			hosts[0].restartServer()
		}
		return nil
	}},
	{name: "server_crash", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return forEach(hosts, func(h *host) func() {
			if !h.serverBusy.TryLock() {
				return nil
			}
			h.crashServer()
			return func() { h.restartServer(); h.serverBusy.Unlock() }
		})
	}},
	{name: "cut", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return f.links(hosts, true, harness.Rule{Cut: true})
	}},
	{name: "cut_one_way", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		return f.links(hosts, false, harness.Rule{Cut: true})
	}},
	{name: "delay", begin: func(f *fleet, i *Injection, hosts []*host) func() {
		return f.links(hosts, true, harness.Rule{Delay: time.Duration(i.Amount * float64(maxDelay))})
	}},
	{name: "reset", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		each(hosts, func(h *host) { f.network.Reset(h.zone); f.network.Reset(h.storeZone) })
		return nil
	}},
	{name: "silence", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		each(hosts, func(h *host) { f.network.Blackhole(h.zone); f.network.Blackhole(h.storeZone) })
		return nil
	}},
	{name: "store_cut", begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		each(hosts, func(h *host) { f.network.Cut("", h.storeZone) })
		return func() { each(hosts, func(h *host) { f.network.Heal("", h.storeZone) }) }
	}},
	storeFault("store_down", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{Down: true} }),
	storeFault("store_slow", func(i *Injection) standin.PlatformFaults {
		return standin.PlatformFaults{Delay: time.Duration(i.Amount * float64(time.Second))}
	}),
	storeFault("store_loses_answers", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{DropAnswers: 20} }),
	storeFault("store_loses_calls", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{DropRequests: 20} }),
	storeFault("store_compacts", func(*Injection) standin.PlatformFaults { return standin.PlatformFaults{Compacted: true} }),
	serverFault("server_slow", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{WorkFactor: 40 * a} }),
	serverFault("server_loses_answers", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{DropAnswer: a} }),
	serverFault("server_truncates", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{Truncate: a} }),
	serverFault("server_answers_twice", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{ExtraAnswer: a} }),
	serverFault("server_fails", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{Fail: a} }),
	serverFault("server_sheds", func(a float64) standin.PlatformBehaviour { return standin.PlatformBehaviour{Shed: a} }),
}

// kill ends processes; each starts again when the fault's time is over.
func kill(_ *fleet, _ *Injection, hosts []*host) func() {
	return forEach(hosts, func(h *host) func() {
		if !h.processBusy.TryLock() {
			return nil
		}
		h.kill()
		return func() { h.restartProcess(); h.processBusy.Unlock() }
	})
}

// forEach begins a fault at each host and returns what ends it at all of them.
func forEach(hosts []*host, begin func(h *host) (end func())) func() {
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

func storeFault(name string, faults func(*Injection) standin.PlatformFaults) kind {
	return kind{name: name, begin: func(f *fleet, i *Injection, _ []*host) func() {
		f.store.SetFaults(faults(i))
		return func() { f.store.SetFaults(standin.PlatformFaults{}) }
	}}
}

func serverFault(name string, behaviour func(amount float64) standin.PlatformBehaviour) kind {
	return kind{name: name, begin: func(_ *fleet, i *Injection, hosts []*host) func() {
		each(hosts, func(h *host) { h.server.SetBehaviour(behaviour(i.Amount)) })
		return func() { each(hosts, func(h *host) { h.server.SetBehaviour(standin.PlatformBehaviour{}) }) }
	}}
}

// links sets the rule of the links between some hosts and all others, from the
// others to them and, if both, back.
func (f *fleet) links(hosts []*host, both bool, r harness.Rule) (end func()) {
	set := func(r harness.Rule) {
		for _, h := range hosts {
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

// restartAsPlanned stops the process as planned and starts it again.
func (h *host) restartAsPlanned() {
	if !h.processBusy.TryLock() {
		return
	}
	defer h.processBusy.Unlock()
	l := h.fleet.ledger
	from := time.Now()
	end := l.mark(&l.stops, h)
	inTime := h.stop()
	end()
	l.mu.Lock()
	if !inTime && !overlaps(l.disturbed, nil, from.Add(-contactTime), time.Now()) {
		l.breach("STOP", "", "%s did not end within %v", h.name(), stopLimit)
	}
	l.mu.Unlock()
	h.restartProcess()
}

func (h *host) restartProcess() {
	if err := h.startProcess(); err != nil {
		h.fleet.ledger.fail("START", "", "%s: %v", h.name(), err)
	}
}

func (h *host) restartServer() {
	if err := h.startServer(); err != nil {
		h.fleet.ledger.fail("START", "", "server of %s: %v", h.name(), err)
	}
}
