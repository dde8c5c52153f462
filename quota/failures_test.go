package quota

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
)

// served runs for d and returns the fraction of the requests in it that was
// served. It fails the test if the shares or the requests exceed the limit.
func (s *sim) served(t *testing.T, d time.Duration) float64 {
	t.Helper()
	ref := s.references["farm"]
	taken, offered := ref.taken, ref.offered
	if found := s.runChecked(d); found != "" {
		t.Fatalf("shares exceed the limit: %s", found)
	}
	assert.Assert(t, ref.lowest >= -1e-6, "limit exceeded by %f", -ref.lowest)
	return (ref.taken - taken) / (ref.offered - offered)
}

func inDC(dc string) func(string) bool {
	return func(id string) bool { return strings.HasPrefix(id, dc) }
}

// Guards the failure table of docs/design.md, section 5: how long each failure
// may reduce the served requests, and that no failure lets a workspace exceed
// its limit.
func TestFailures(t *testing.T) {
	down := func(s *sim) { s.faults.platformDown = true }
	kill := func(s *sim) { s.kill(s.holder("dc0")) }
	other := func(s *sim) *simNode {
		for _, n := range s.nodes {
			if n.dc == "dc0" && n != s.holder("dc0") {
				return n
			}
		}
		return nil
	}
	for _, tc := range []struct {
		name  string
		fault func(s *sim)
		gap   time.Duration // time after the fault in which less may be served
		least float64       // least fraction served in the gap
		after float64       // least fraction served after it
	}{
		{"node killed", func(s *sim) { s.kill(other(s)) }, 4 * time.Second, 0.9, 0.99},
		{"node paused", func(s *sim) { n := other(s); n.paused = s.now + 6*time.Second }, 9 * time.Second, 0.9, 0.99},
		{"holder killed", kill, 12 * time.Second, 0.6, 0.98},
		{"holder paused", func(s *sim) { s.holder("dc0").paused = s.now + 20*time.Second }, 12 * time.Second, 0.6, 0.98},
		{"holder killed while the platform is down", func(s *sim) { down(s); kill(s) }, 20 * time.Second, 0.6, 0.6},
		{"platform down", down, 30 * time.Second, 0.99, 0.99},
		{"platform loses answers", func(s *sim) { s.faults.loseWriteAnswers = 0.9 }, 30 * time.Second, 0.99, 0.99},
		{"data centre cut off from the others", func(s *sim) { s.setCut(true, inDC("dc0"), false) }, 8 * time.Second, 0.95, 0.95},
		{"data centre cut off from all and the platform", func(s *sim) { s.setCut(true, inDC("dc0"), true) }, 8 * time.Second, 0.95, 0.95},
		{"rack of half a data centre lost", func(s *sim) { kill(s); s.kill(other(s)) }, 12 * time.Second, 0.5, 0.6},
		{"data centre lost", func(s *sim) {
			for _, n := range s.nodes {
				if n.dc == "dc0" {
					s.kill(n)
				}
			}
		}, 8 * time.Second, 0.9, 0.95},
		{"planned stop of a node", func(s *sim) { s.planStop(other(s)) }, 2 * time.Second, 0.97, 0.99},
		{"planned stop of the holder", func(s *sim) { s.planStop(s.holder("dc0")) }, 4 * time.Second, 0.95, 0.99},
		{"network loses a tenth of all messages", func(s *sim) { s.faults.loss = 0.1 }, 20 * time.Second, 0.9, 0.9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(7, 3, 4, config.Workspace{Name: "farm", Rate: 240, Burst: 240})
			s.load["farm"] = 0.8 * 240 / 12
			s.run(20 * time.Second)
			assert.Assert(t, s.served(t, 10*time.Second) >= 0.99)
			tc.fault(s)
			got := s.served(t, tc.gap)
			assert.Check(t, got >= tc.least, "%.3f served in the first %s", got, tc.gap)
			got = s.served(t, 20*time.Second)
			assert.Check(t, got >= tc.after, "%.3f served after %s", got, tc.gap)
		})
	}
}

// Guards the rule that shares follow demand within 2 s, inside a data centre and
// between data centres.
func TestSharesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name string
		to   func(n *simNode) bool
	}{
		{"to one node", func(n *simNode) bool { return n.id == "dc0-n1" }},
		{"to one data centre", func(n *simNode) bool { return n.dc == "dc1" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(3, 3, 4, config.Workspace{Name: "farm", Rate: 240, Burst: 240})
			s.load["farm"] = 0.5 * 240 / 12
			s.run(20 * time.Second)
			count := 0.0
			for _, n := range s.nodes {
				if n.load["farm"] = 0; tc.to(n) {
					count++
				}
			}
			for _, n := range s.nodes {
				if tc.to(n) {
					n.load["farm"] = 0.5 * 240 / count
				}
			}
			s.served(t, 2*time.Second)
			got := s.served(t, 10*time.Second)
			assert.Assert(t, got >= 0.98, "%.3f served", got)
		})
	}
}

// Guards against a reduction of one data centre's weight that is never followed
// by the increase of another's, and against an increase that does not wait for a
// data centre that is cut off.
func TestWeightChange(t *testing.T) {
	s := newSim(5, 2, 3, config.Workspace{Name: "farm", Rate: 100, Burst: 100})
	s.run(20 * time.Second)
	publish := func(share float64) {
		s.version++
		s.fleet.DataCentres = []config.DataCentre{{Name: "dc0", Share: share}, {Name: "dc1", Share: 1 - share}}
		for _, n := range s.nodes {
			if !s.isCut(n.id, "platform") {
				fleet := s.fleet
				n.svc.Configure(s.version, &fleet)
			}
		}
	}
	own := func(dc string) float64 { return s.holder(dc).svc.Holder.usable("farm").Burst }
	publish(0.8)
	assert.Equal(t, s.runChecked(5*time.Second), "")
	assert.Equal(t, own("dc0"), 80.0)
	assert.Equal(t, own("dc1"), 20.0)

	s.setCut(true, inDC("dc0"), true)
	publish(0.3)
	assert.Equal(t, s.runChecked(20*time.Second), "")
	assert.Equal(t, own("dc0"), 80.0)
	assert.Equal(t, own("dc1"), 20.0)

	clear(s.faults.cut)
	publish(0.3)
	assert.Equal(t, s.runChecked(lease.LoanWait), "")
	assert.Equal(t, own("dc0"), 30.0)
	assert.Equal(t, own("dc1"), 70.0)
}
