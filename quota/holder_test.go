package quota

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
)

// fakeClock is a Clock whose time tests set.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

func encodeState(t *testing.T, s holderState) []byte {
	t.Helper()
	b, err := cbor.Marshal(s)
	assert.NilError(t, err)
	return b
}

// Guards against increasing an entitlement while another data centre may still
// use its entitlement of another version.
func TestIncreaseNeedsAllDataCentres(t *testing.T) {
	shares := map[string]Limit{"farm": {1, 1}}
	named := func(s holderState) lease.Row { return lease.Row{Node: "n", State: encodeState(t, s)} }
	for _, tc := range []struct {
		name  string
		row   lease.Row
		waits time.Duration
		want  bool
	}{
		{"same version", named(holderState{5, shares}), 0, true},
		{"older version", named(holderState{4, shares}), 0, false},
		{"newer version", named(holderState{6, shares}), 0, false},
		{"nothing stored yet", lease.Row{Node: "n"}, 0, false},
		{"holder retired, but the state is still claimed", lease.Row{State: encodeState(t, holderState{4, shares})}, time.Hour, false},
		{"stopped a moment ago", lease.Row{}, lease.LoanLease, false},
		{"stopped before the longest lease", lease.Row{}, lease.LoanLease + lease.GuardTime, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &fakeClock{time.Hour}
			h := NewHolder("dudley", c)
			rows := map[string]lease.Row{"dudley": {}, "wednesbury": tc.row}
			h.othersAgree(rows, 5)
			c.now += tc.waits
			assert.Equal(t, h.othersAgree(rows, 5), tc.want)
		})
	}
}

// Guards against ignoring a write with an unknown outcome: if it took effect,
// other data centres may rely on the reduction in it.
func TestUnknownReductionStaysInForce(t *testing.T) {
	c := &fakeClock{time.Hour}
	h := NewHolder("dudley", c)
	h.nothingWithheld = true
	fleet := func(share float64) *config.Fleet {
		return &config.Fleet{DataCentres: []config.DataCentre{{Name: "dudley", Share: share}}, Workspaces: []config.Workspace{{Name: "farm", Rate: 100, Burst: 100}}}
	}
	high := holderState{1, Entitlements(fleet(0.8), "dudley")}
	h.version, h.entitlements = 1, high.Shares
	h.Stored(encodeState(t, high))
	assert.Equal(t, h.usable("farm").Burst, 80.0)

	h.version, h.entitlements = 2, Entitlements(fleet(0.2), "dudley")
	low := holderState{2, h.allowedLimits()}
	h.recordProposal(low, encodeState(t, low))
	h.version, h.entitlements = 3, high.Shares
	h.Stored(encodeState(t, high)) // read before the write takes effect
	assert.Equal(t, h.usable("farm").Burst, 20.0)
	h.Stored(encodeState(t, low))
	assert.Equal(t, h.usable("farm").Burst, 20.0)
}

// Guards against lending by a configuration that is older than the version in
// the stored state, which the other data centres have seen.
func TestOlderConfigurationLendsNothing(t *testing.T) {
	h := NewHolder("dudley", &fakeClock{time.Hour})
	h.Stored(encodeState(t, holderState{Version: 5}))
	for version, want := range map[uint64]bool{0: false, 4: false, 5: true, 6: true} {
		h.version = version
		assert.Equal(t, h.ready(), want, "version %d", version)
	}
}

// Guards against a node's lease that ends after the loan its share comes from.
func TestLeaseEndsBeforeLoan(t *testing.T) {
	own, now := Limit{10, 10}, time.Hour
	for _, tc := range []struct {
		name  string
		lent  Limit
		loans []loan
		want  time.Duration
	}{
		{"within the own", Limit{10, 10}, []loan{{limit: Limit{5, 5}, end: now + time.Second}}, lease.NodeLease},
		{"beyond the own, long loan", Limit{11, 10}, []loan{{limit: Limit{5, 5}, end: now + lease.LoanLease}}, lease.NodeLease},
		{"rate beyond the own", Limit{11, 10}, []loan{{limit: Limit{5, 5}, end: now + 2*time.Second}}, 1500 * time.Millisecond},
		{"burst beyond the own", Limit{10, 11}, []loan{{limit: Limit{5, 5}, end: now + 2*time.Second}}, 1500 * time.Millisecond},
		{"the first loan counts", Limit{11, 10}, []loan{{limit: Limit{5, 5}, end: now + lease.LoanLease}, {limit: Limit{5, 5}, end: now + time.Second}}, 500 * time.Millisecond},
		{"loan about to end", Limit{11, 10}, []loan{{limit: Limit{5, 5}, end: now + lease.GuardTime}}, -1},
	} {
		p := &pool{own: own, lentToNodes: tc.lent, loans: tc.loans, filledAt: now}
		assert.Equal(t, p.nodeLeaseTerm(now), tc.want, tc.name)
	}
}

// Guards against entitlements that add up to more than the limit, and against
// bursts that are not whole requests or leave whole requests undivided.
func TestEntitlementsAddUp(t *testing.T) {
	for _, shares := range [][]float64{{1}, {0.1, 0.2, 0.7}, {0.25, 0.25, 0.25, 0.25}, {1. / 3, 1. / 3, 1. / 3}, {0.5, 0, 0.3}, {0.01, 0.99}} {
		for _, w := range []config.Workspace{{Name: "farm", Rate: 50, Burst: 100}, {Name: "farm", Rate: 0.5, Burst: 1}, {Name: "farm", Rate: 33.3, Burst: 7}} {
			fleet, sum, total := &config.Fleet{Workspaces: []config.Workspace{w}}, Limit{}, 0.0
			for i, s := range shares {
				fleet.DataCentres = append(fleet.DataCentres, config.DataCentre{Name: string(rune('a' + i)), Share: s})
				total += s
			}
			for _, dc := range fleet.DataCentres {
				l := Entitlements(fleet, dc.Name)["farm"]
				assert.Equal(t, l.Burst, float64(int(l.Burst)))
				sum.Rate += l.Rate
				sum.Burst += l.Burst
			}
			assert.Assert(t, sum.Rate <= w.Rate && sum.Burst <= w.Burst, "%v %v: %+v", shares, w, sum)
			assert.Assert(t, sum.Burst > w.Burst*total-1, "%v %v: %+v", shares, w, sum)
			assert.Assert(t, sum.Burst == 0 || sum.Rate > w.Rate*total*0.99, "%v %v: %+v", shares, w, sum)
		}
	}
}

// Guards against lost, duplicated or reordered reports that change how much the
// holder counts as lent.
func TestLentSharesFollowNewestReport(t *testing.T) {
	s := newSim(1, 1, 1, config.Workspace{Name: "farm", Rate: 100, Burst: 100})
	s.run(20 * time.Second)
	h := s.nodes[0].svc.Holder
	report := func(seq, epoch uint64, held Limit) (*Grant, error) {
		return h.answerReport(KindReport, &Report{DataCentre: "dc0", Node: "x", Session: 9, Seq: seq, Epoch: epoch,
			Items: []Item{{Workspace: "farm", Rate: held.Rate, Burst: held.Burst, Demand: 50}}})
	}
	lentToNodes := func() Limit { return h.pools["farm"].lentToNodes }
	g, err := report(1, 0, Limit{})
	assert.NilError(t, err)
	first := lentToNodes()
	assert.Assert(t, first.Rate > 0 && first.Rate == g.Items[0].Rate)

	_, err = report(1, 0, Limit{}) // duplicated
	assert.Assert(t, ErrStale.Has(err), "%v", err)
	assert.Equal(t, lentToNodes(), first)

	_, err = report(2, 0, Limit{}) // the answer to the first report was lost
	assert.NilError(t, err)
	assert.Equal(t, lentToNodes(), first)

	_, err = report(3, g.Epoch, Limit{first.Rate + 1, first.Burst}) // more than was lent
	assert.Assert(t, ErrExceedsLent.Has(err), "%v", err)

	s.now += lease.NodeLease + lease.GuardTime + time.Second
	g, err = report(4, g.Epoch, first) // after the lease, the holder has taken the shares back
	assert.NilError(t, err)
	assert.Assert(t, g.Resync)
}
