package quota

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only this schedule")
	seedsFlag = flag.Uint64("seeds", defaultSeeds, "number of random schedules")
)

func testWorkspaces() []config.Workspace {
	return []config.Workspace{
		{Name: "large", Rate: 120, Burst: 90},
		{Name: "greedy", Rate: 30, Burst: 40},
		{Name: "small", Rate: 4, Burst: 3},
	}
}

// randomChange makes one random change: a fault, the end of one, or a change of
// load or weights. It returns a description.
func (s *sim) randomChange() string {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if h := s.holder(n.dc); h != nil && s.rng.IntN(2) == 0 {
		n = h
	}
	switch k := s.rng.IntN(16); k {
	case 0:
		s.kill(n)
		return "kill " + n.id
	case 1, 2, 3:
		for _, m := range s.nodes {
			if !m.alive {
				s.boot(m)
				return "restart " + m.id
			}
		}
	case 4, 5:
		d := time.Duration(s.rng.Int64N(int64(8 * time.Second)))
		n.paused = s.now + d
		return fmt.Sprintf("pause %s %s", n.id, d)
	case 6:
		withPlatform := s.rng.IntN(2) == 0
		s.setCut(true, func(id string) bool { return strings.HasPrefix(id, n.dc) }, withPlatform)
		return fmt.Sprintf("cut %s, from the platform as well: %v", n.dc, withPlatform)
	case 7:
		withPlatform := s.rng.IntN(2) == 0
		s.setCut(true, func(id string) bool { return id == n.id }, withPlatform)
		return fmt.Sprintf("cut %s, from the platform as well: %v", n.id, withPlatform)
	case 8:
		for _, m := range s.nodes {
			s.faults.cut[[2]string{n.id, m.id}] = s.rng.IntN(2) == 0
		}
		return "one-way cuts from " + n.id
	case 9, 10:
		clear(s.faults.cut)
		return "heal"
	case 11:
		s.faults.platformDown = !s.faults.platformDown
		return fmt.Sprintf("platform down: %v", s.faults.platformDown)
	case 12:
		s.faults.loseWriteAnswers = []float64{0, 0.5, 0.9}[s.rng.IntN(3)]
		return fmt.Sprintf("platform loses %.1f", s.faults.loseWriteAnswers)
	case 13:
		s.faults.loss, s.faults.delayed, s.faults.duplicate = s.rng.Float64()*0.4, s.rng.Float64()*0.3, s.rng.Float64()*0.5
		s.faults.wrongMembers = s.rng.IntN(2) == 0
		return fmt.Sprintf("network %+v", s.faults)
	case 14:
		if n.alive && s.now >= n.paused {
			s.planStop(n)
			return "planned stop " + n.id
		}
	case 15:
		if !s.faults.platformDown {
			s.publishWeights()
			return fmt.Sprintf("weights %v", s.fleet.DataCentres)
		}
	}
	s.randomiseLoad()
	return "load moves"
}

// randomWeightChange changes the weights, or makes a fault that can hide a change
// of weights from some nodes or delay its effect. It returns a description.
func (s *sim) randomWeightChange() string {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0:
		n.paused = s.now + time.Duration(s.rng.Int64N(int64(5*time.Second)))
		return "pause " + n.id
	case 1:
		s.setCut(true, func(id string) bool { return id == n.id }, false)
		return "cut " + n.id
	case 2:
		clear(s.faults.cut)
		return "heal"
	case 3:
		s.faults.loseWriteAnswers = []float64{0, 0.5, 0.8}[s.rng.IntN(3)]
		return fmt.Sprintf("platform loses %.1f", s.faults.loseWriteAnswers)
	case 4:
		if h := s.holder(n.dc); h != nil {
			s.kill(h)
			return "kill " + h.id
		}
	case 5:
		for _, m := range s.nodes {
			if m.dc == n.dc && m.alive && s.now >= m.paused {
				s.planStop(m)
			}
		}
		return "planned stop of " + n.dc
	case 6, 7:
		for _, m := range s.nodes {
			if !m.alive {
				s.boot(m)
			}
		}
		return "restart all"
	}
	s.publishWeights()
	return fmt.Sprintf("version %d: %v", s.version, s.fleet.DataCentres)
}

// publishWeights publishes random weights, which each node receives up to 10 s
// later.
func (s *sim) publishWeights() {
	s.version++
	dcs := append([]config.DataCentre(nil), s.fleet.DataCentres...)
	left := 1.0
	for i := range dcs {
		dcs[i].Share = left * s.rng.Float64()
		left -= dcs[i].Share
	}
	s.fleet.DataCentres = dcs
	version, fleet := s.version, s.fleet
	for _, n := range s.nodes {
		incarnation := n.incarnation
		s.at(time.Duration(s.rng.Int64N(int64(10*time.Second))), func() {
			if n.alive && n.incarnation == incarnation {
				n.svc.Configure(version, &fleet)
			}
		})
	}
}

func (s *sim) randomiseLoad() {
	for _, n := range s.nodes {
		for _, w := range s.fleet.Workspaces {
			n.load[w.Name] = s.rng.Float64() * 2 * w.Rate / float64(len(s.nodes))
			if w.Name == "greedy" {
				n.load[w.Name] *= 5
			}
		}
	}
}

// Guards against a second handover shortly after the first that loses what the
// first holder lent. It was found by seed 67 of the random schedules with
// -seeds 250.
func TestTwoHandoversInARow(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(seed, 3, 4, testWorkspaces()...)
		s.randomiseLoad()
		s.run(5 * time.Second)
		for range 3 {
			s.planStop(s.holder("dc0"))
			if found := s.runChecked(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond)))); found != "" {
				t.Fatalf("seed %d: shares exceed the limit: %s", seed, found)
			}
			if s.holder("dc0") == nil {
				break
			}
		}
		if found := s.runChecked(8 * time.Second); found != "" {
			t.Fatalf("seed %d: shares exceed the limit: %s", seed, found)
		}
	}
}

// endFaults ends all faults, starts all nodes and sets equal weights.
func (s *sim) endFaults() {
	s.faults = simFaults{cut: map[[2]string]bool{}}
	s.version++ // random weights may leave a part of the limit unused
	s.fleet.DataCentres = append([]config.DataCentre(nil), s.fleet.DataCentres...)
	for i := range s.fleet.DataCentres {
		s.fleet.DataCentres[i].Share = 1 / float64(len(s.fleet.DataCentres))
	}
	for _, n := range s.nodes {
		n.paused = 0
		if !n.alive || n.stopping {
			s.boot(n)
		}
		fleet := s.fleet
		n.svc.Configure(s.version, &fleet)
	}
}

// Guards against using an increased entitlement before all the reductions that
// it relies on are in effect, while nodes have different versions of the
// configuration.
func TestBoundWhileWeightsChange(t *testing.T) {
	first, last := uint64(1), *seedsFlag
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSim(seed, 2, 3, testWorkspaces()...)
			s.randomiseLoad()
			s.run(3 * time.Second)
			var log []string
			for range 40 {
				log = append(log, fmt.Sprintf("%8s %s", s.now.Round(time.Millisecond), s.randomWeightChange()))
				if found := s.runChecked(time.Duration(s.rng.Int64N(int64(4 * time.Second)))); found != "" {
					t.Fatalf("seed %d: shares exceed the limit: %s\n%s", seed, found, strings.Join(log, "\n"))
				}
			}
			s.endFaults()
			s.run(30 * time.Second)
			for name, ref := range s.references {
				var sum Limit
				for _, dc := range s.fleet.DataCentres {
					if n := s.holder(dc.Name); n != nil {
						own := n.svc.Holder.usable(name)
						sum.Rate += own.Rate
						sum.Burst += own.Burst
					}
				}
				if sum.Burst < ref.burst || sum.Rate < 0.99*ref.rate {
					t.Errorf("seed %d: only %+v of %s usable after recovery\n%s", seed, sum, name, strings.Join(log, "\n"))
				}
			}
		})
	}
}

// Guards against schedules of faults in which a workspace receives more than
// rate × window + burst in some window, or in which the shares that exist at the
// same time exceed the limit, even if no traffic used the excess. Also guards
// against service that does not recover after the faults have ended.
func TestBoundInRandomSchedules(t *testing.T) {
	first, last := uint64(1), *seedsFlag
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSim(seed, 2+int(seed%2), 3+int(seed%3), testWorkspaces()...)
			var log []string
			s.randomiseLoad()
			s.run(5 * time.Second)
			for range 40 {
				log = append(log, fmt.Sprintf("%8s %s", s.now.Round(time.Millisecond), s.randomChange()))
				if found := s.runChecked(time.Duration(s.rng.Int64N(int64(3 * time.Second)))); found != "" {
					t.Fatalf("seed %d: shares exceed the limit: %s\n%s", seed, found, strings.Join(log, "\n"))
				}
				for name, ref := range s.references {
					if ref.lowest < -1e-6 {
						t.Fatalf("seed %d: workspace %s exceeded its limit by %.3f requests\n%s", seed, name, -ref.lowest, strings.Join(log, "\n"))
					}
				}
			}
			s.endFaults()
			s.run(30 * time.Second)
			greedy := s.references["greedy"]
			before := greedy.taken
			for _, n := range s.nodes {
				n.load["greedy"] = 5 * greedy.rate / float64(len(s.nodes))
			}
			s.run(20 * time.Second)
			t.Logf("served %.3f of the rate, taken %.0f", (greedy.taken-before)/20/greedy.rate, greedy.taken)
			if got := (greedy.taken - before) / 20; got < 0.9*greedy.rate {
				t.Errorf("seed %d: %.1f of %.1f requests/s served after recovery\n%s", seed, got, greedy.rate, strings.Join(log, "\n"))
			}
			if greedy.lowest < -1e-6 {
				t.Errorf("seed %d: limit exceeded by %.3f after recovery", seed, -greedy.lowest)
			}
		})
	}
}
