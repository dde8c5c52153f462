package keys

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/membership"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// fakeMesh is a mesh whose nodes respond with the results of functions.
type fakeMesh struct {
	handlers map[string]peer.Handler
	local    map[string]func(kind string) (any, error)
	remote   map[string]func(kind string) (any, error) // each data centre has one gateway, of the same name
}

func (m *fakeMesh) Identity() peer.Identity            { return peer.Identity{Node: "self", DataCentre: "dudley"} }
func (m *fakeMesh) Handle(kind string, h peer.Handler) { m.handlers[kind] = h }
func (m *fakeMesh) IsGateway() bool                    { return true }

func (m *fakeMesh) DataCentres() []string {
	dcs := []string{"dudley"}
	for dc := range m.remote {
		dcs = append(dcs, dc)
	}
	return dcs
}

func (m *fakeMesh) Local() (nodes []string) {
	for n := range m.local {
		nodes = append(nodes, n)
	}
	return nodes
}

func (m *fakeMesh) Remote() map[string][]string {
	out := map[string][]string{}
	for dc := range m.remote {
		out[dc] = []string{dc}
	}
	return out
}

func (m *fakeMesh) Call(_ context.Context, node, kind string, _, resp any) error {
	f, ok := m.local[node]
	if !ok {
		if f, ok = m.remote[node]; !ok {
			return peer.ErrUnreachable.New("%s", node)
		}
	}
	result, err := f(kind)
	if err != nil || resp == nil {
		return err
	}
	b, err := cbor.Marshal(result)
	if err != nil {
		return err
	}
	return peer.Unmarshal(b, resp)
}

func (m *fakeMesh) CallAddress(context.Context, string, string, any, any) (peer.Identity, error) {
	return peer.Identity{}, errors.New("not used")
}

func (m *fakeMesh) Send(context.Context, string, string, any) error { return nil }

type fixture struct {
	*Store
	peers    *fakeMesh
	gossip   *gossip.Store
	platform *standin.Platform
	client   *platform.Client
	policy   Policy
	now      time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		peers:    &fakeMesh{handlers: map[string]peer.Handler{}},
		platform: standin.NewPlatform(),
		policy:   Policy{CutOffLimit: 10 * time.Second, DataCentres: []string{"dudley", "walsall", "oldbury"}},
		now:      time.Unix(1_000_000, 0),
	}
	srv := httptest.NewServer(f.platform.Handler())
	t.Cleanup(srv.Close)
	f.client = platform.New(platform.Config{URL: srv.URL, BackoffBase: time.Millisecond, BreakerFailures: 1 << 20})
	f.gossip = gossip.New(gossip.Config{Transport: f.peers})
	f.Store = New(Config{
		Table: f.client, Mesh: f.peers, Store: f.gossip, Peers: f.peers,
		Policy: func() Policy { return f.policy },
		Now:    func() time.Time { return f.now },
	})
	return f
}

func (f *fixture) load(t *testing.T) {
	t.Helper()
	f.Store.load(context.Background())
	assert.Assert(t, f.contact.loaded)
}

// advance moves the clock and evaluates the cut-off rule as often as a running
// process does.
func (f *fixture) advance(d time.Duration) {
	for ; d > 0; d -= evaluateInterval {
		f.now = f.now.Add(min(d, evaluateInterval))
		f.evaluate()
	}
}

func (f *fixture) heartbeat(dc string, version uint64, age time.Duration) {
	b, err := cbor.Marshal(membership.Heartbeat{PlatformAgeMS: age.Milliseconds()})
	if err != nil {
		panic(err)
	}
	f.gossip.Set(heartbeatPrefix+dc, version, b)
}

// reason returns the refusal reason of a lookup, or "" if the key is accepted.
func (f *fixture) reason(key string) refusal.Reason {
	_, err := f.Lookup(key)
	if err == nil {
		return ""
	}
	return refusal.FromError(err).Reason
}

// Guards against an invalid key that is accepted, a refusal reason that reveals
// whether an ID exists, and a refusal that contains the key.
func TestLookup(t *testing.T) {
	f := newFixture(t)
	op := Operator{Table: f.client}
	ctx := context.Background()
	granted, grantedID, err := op.Grant(ctx, "farm")
	assert.NilError(t, err)
	withdrawn, withdrawnID, err := op.Grant(ctx, "farm")
	assert.NilError(t, err)
	_, err = op.Withdraw(ctx, withdrawnID)
	assert.NilError(t, err)
	assert.Equal(t, f.reason(granted), refusal.KeysUnverified, "nothing is loaded yet")
	f.load(t)
	for _, tc := range []struct {
		name, key              string
		afterLoad, afterCutOff refusal.Reason
	}{
		{"granted", granted, "", refusal.KeysUnverified},
		{"none", "", refusal.NoKey, refusal.NoKey},
		{"withdrawn", withdrawn, refusal.WithdrawnKey, refusal.WithdrawnKey},
		{"unknown", "nobody.secret", refusal.UnknownKey, refusal.KeysUnverified},
		{"wrong secret", grantedID + ".secret", refusal.UnknownKey, refusal.KeysUnverified},
		{"wrong secret of a withdrawn key", withdrawnID + ".secret", refusal.UnknownKey, refusal.KeysUnverified},
		{"ID only", grantedID, refusal.UnknownKey, refusal.UnknownKey},
		{"empty secret", grantedID + ".", refusal.UnknownKey, refusal.UnknownKey},
		{"one byte more", granted + "x", refusal.UnknownKey, refusal.KeysUnverified},
		{"too long", granted + strings.Repeat("x", 1000), refusal.UnknownKey, refusal.UnknownKey},
		{"bad ID", "a/b.secret", refusal.UnknownKey, refusal.UnknownKey},
	} {
		assert.Equal(t, f.reason(tc.key), tc.afterLoad, tc.name)
		if _, err := f.Lookup(tc.key); err != nil && tc.key != "" {
			assert.Assert(t, !strings.Contains(err.Error(), tc.key), tc.name)
		}
	}
	workspace, err := f.Lookup(granted)
	assert.NilError(t, err)
	assert.Equal(t, workspace, "farm")
	f.advance(f.policy.CutOffLimit)
	assert.Equal(t, f.reason(granted), refusal.KeysUnverified)
	assert.Equal(t, f.reason(withdrawn), refusal.WithdrawnKey)
	assert.Equal(t, f.reason(""), refusal.NoKey)
}

// Guards against a cut-off rule that is met by too few data centres, by the own
// data centre counted twice, or by contact that is too old.
func TestVerifiedUntil(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	three, four, five := []string{"own", "b", "c"}, []string{"own", "b", "c", "d"}, []string{"own", "b", "c", "d", "e"}
	for name, tc := range map[string]struct {
		dcs        []string
		platform   time.Time
		heartbeats map[string]time.Time
		want       time.Time
	}{
		"no contact":                    {dcs: three},
		"platform only":                 {dcs: three, platform: at(3), want: at(13)},
		"one other of three":            {dcs: three, heartbeats: map[string]time.Time{"b": at(5)}, want: at(15)},
		"the later of both":             {dcs: three, platform: at(3), heartbeats: map[string]time.Time{"b": at(5)}, want: at(15)},
		"platform is later":             {dcs: three, platform: at(7), heartbeats: map[string]time.Time{"b": at(5)}, want: at(17)},
		"the best other of three":       {dcs: three, heartbeats: map[string]time.Time{"b": at(5), "c": at(2)}, want: at(15)},
		"one other of four":             {dcs: four, heartbeats: map[string]time.Time{"b": at(5)}},
		"two others of four":            {dcs: four, heartbeats: map[string]time.Time{"b": at(5), "d": at(2)}, want: at(12)},
		"second best of five":           {dcs: five, heartbeats: map[string]time.Time{"b": at(5), "c": at(9), "d": at(1), "e": at(2)}, want: at(15)},
		"own heartbeat does not count":  {dcs: three, heartbeats: map[string]time.Time{"own": at(5)}},
		"unknown data centre":           {dcs: three, heartbeats: map[string]time.Time{"x": at(5)}},
		"own is not in the fleet":       {dcs: []string{"b", "c", "d"}, heartbeats: map[string]time.Time{"b": at(5), "c": at(4)}, want: at(14)},
		"own is not in the fleet, one":  {dcs: []string{"b", "c", "d"}, heartbeats: map[string]time.Time{"b": at(5)}},
		"single data centre":            {dcs: []string{"own"}, heartbeats: map[string]time.Time{"own": at(5)}},
		"no configuration":              {heartbeats: map[string]time.Time{"b": at(5)}},
		"no configuration but platform": {platform: at(1), want: at(11)},
	} {
		got := verifiedUntil(Policy{10 * time.Second, tc.dcs}, "own", tc.platform, tc.heartbeats)
		assert.Assert(t, got.Equal(tc.want), "%s: %v", name, got)
	}
}

// Guards against nodes that keep accepting keys although their contact is
// outdated: a heartbeat that reports an old read of the platform, heartbeats that
// were buffered while the process was paused, or contact within the own data
// centre only.
func TestContactOverTime(t *testing.T) {
	f := newFixture(t)
	key, _, err := (&Operator{Table: f.client}).Grant(context.Background(), "farm")
	assert.NilError(t, err)
	f.load(t)
	const limit, dc = 10 * time.Second, "walsall"
	for _, step := range []struct {
		name string
		do   func()
		want refusal.Reason
	}{
		{"just loaded", func() {}, ""},
		{"cut off", func() { f.advance(limit) }, refusal.KeysUnverified},
		{"own gateway read the platform 9 s ago", func() { f.heartbeat("dudley", 1, 9*time.Second) }, ""},
		{"own gateway read the platform 10 s ago", func() { f.advance(time.Second) }, refusal.KeysUnverified},
		{"own gateway has no new contact", func() { f.heartbeat("dudley", 2, 10*time.Second) }, refusal.KeysUnverified},
		{"own gateway never read it", func() { f.heartbeat("dudley", 3, -time.Millisecond) }, refusal.KeysUnverified},
		{"heartbeat of another data centre", func() { f.heartbeat(dc, 1, -1) }, ""},
		{"the same heartbeat later", func() { f.advance(limit); f.heartbeat(dc, 1, -1) }, refusal.KeysUnverified},
		{"next heartbeat", func() { f.heartbeat(dc, 2, -1) }, ""},
		{"buffered heartbeat after a pause", func() { f.now = f.now.Add(time.Minute); f.heartbeat(dc, 3, -1) }, refusal.KeysUnverified},
		{"heartbeat after the pause", func() { f.advance(2 * resumeQuarantine); f.heartbeat(dc, 4, -1) }, ""},
		{"alone in the fleet without members", func() { f.policy.DataCentres = []string{"dudley"}; f.advance(limit) }, refusal.KeysUnverified},
		{"alone in the fleet with a member", func() {
			f.peers.local = map[string]func(string) (any, error){"a": nil}
			f.advance(limit)
		}, ""},
	} {
		step.do()
		assert.Equal(t, f.reason(key), step.want, step.name)
	}
}

// Guards against a node that starts during an outage of the platform and loads
// its keys from a peer that may lack withdrawals.
func TestLoadInOutage(t *testing.T) {
	for name, tc := range map[string]struct {
		reply  any
		loaded bool
	}{
		"no peer":             {nil, false},
		"peer is starting":    {stateMessage{false}, false},
		"peer has loaded":     {stateMessage{true}, true},
		"peer fails to reply": {errors.New("no"), false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.platform.SetFaults(standin.PlatformFaults{Down: true})
			f.peers.local = map[string]func(string) (any, error){"a": func(kind string) (any, error) {
				if kind == kindState {
					err, _ := tc.reply.(error)
					return tc.reply, err
				}
				return map[int]any{1: true}, nil // the digests are equal
			}}
			if tc.reply == nil {
				f.peers.local = nil
			}
			assert.Equal(t, f.loadFromPeer(context.Background()), tc.loaded)
		})
	}
}

// Guards against lookups that slow down every request by allocations or lock
// contention.
func BenchmarkLookup(b *testing.B) {
	s := &Store{cfg: Config{Now: time.Now}, start: time.Now()}
	for i := range s.shards {
		s.shards[i].keys = map[string]*entry{}
	}
	key, id := Generate()
	digest := Digest(key)
	s.put(id, value{Workspace: "farm", Digest: digest[:], State: Granted})
	s.verifiedUntil.Store(int64(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Lookup(key); err != nil {
			b.Fatal(err)
		}
	}
}
