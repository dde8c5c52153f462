package distribution

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
)

// fakeMesh implements Mesh and Peers with peers whose replies come from functions.
type fakeMesh struct {
	handlers map[string]peer.Handler
	answer   map[string]func(kind string, req any) (any, error) // by node
	offers   int
}

func (p *fakeMesh) Identity() peer.Identity            { return peer.Identity{Node: "self", DataCentre: "dudley"} }
func (p *fakeMesh) Handle(kind string, h peer.Handler) { p.handlers[kind] = h }
func (p *fakeMesh) Remote() map[string][]string        { return nil }
func (p *fakeMesh) IsGateway() bool                    { return true }

func (p *fakeMesh) Local() (nodes []string) {
	for n := range p.answer {
		nodes = append(nodes, n)
	}
	return nodes
}

func (p *fakeMesh) Call(_ context.Context, node, kind string, req, resp any) error {
	if kind == kindOffer {
		p.offers++
	}
	f, ok := p.answer[node]
	if !ok {
		return peer.ErrUnreachable.New("%s", node)
	}
	result, err := f(kind, req)
	if err != nil || resp == nil {
		return err
	}
	b, err := cbor.Marshal(result)
	if err != nil {
		return err
	}
	return peer.Unmarshal(b, resp)
}

func (p *fakeMesh) CallAddress(context.Context, string, string, any, any) (peer.Identity, error) {
	return peer.Identity{}, errors.New("not used")
}

func (p *fakeMesh) Send(context.Context, string, string, any) error { return nil }

// servingPeer returns the replies of a peer that knows a version and serves its document.
func servingPeer(version uint64, encoded []byte) func(string, any) (any, error) {
	digest := config.Digest(encoded)
	return func(kind string, req any) (any, error) {
		switch kind {
		case kindQuery:
			return versionMessage{version, digest}, nil
		case kindRequest:
			r := req.(partRequest)
			if r.Digest != digest {
				return partReply{}, nil
			}
			encodedPatch := makePatch("", nil, encoded)
			end := min(r.Offset+100, len(encodedPatch))
			return partReply{Total: len(encodedPatch), Part: encodedPatch[r.Offset:end]}, nil
		}
		return nil, nil
	}
}

func failingPeer(string, any) (any, error) { return nil, peer.ErrRemote.New("no") }

func document(t *testing.T, rate float64) []byte {
	t.Helper()
	b, err := config.Encode(&config.Document{
		Fleet: config.Fleet{
			DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
			Workspaces:  []config.Workspace{{Name: "farm", Rate: rate, Burst: 1}},
			Keys:        config.KeyPolicy{CutOffLimit: time.Second},
		},
	})
	assert.NilError(t, err)
	return b
}

type fixture struct {
	*Distribution
	peers    *fakeMesh
	platform *standin.Platform
	client   *platform.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		platform: standin.NewPlatform(),
		peers:    &fakeMesh{handlers: map[string]peer.Handler{}, answer: map[string]func(string, any) (any, error){}},
	}
	srv := httptest.NewServer(f.platform.Handler())
	t.Cleanup(srv.Close)
	f.client = platform.New(platform.Config{URL: srv.URL, BackoffBase: time.Millisecond, BreakerFailures: 1 << 20})
	f.Distribution = New(Config{
		Platform: f.client, Mesh: f.peers, Peers: f.peers, Store: gossip.New(gossip.Config{Transport: f.peers}),
	})
	return f
}

func (f *fixture) publish(t *testing.T, encoded []byte, from uint64) {
	t.Helper()
	s, err := config.Decode(from+1, encoded)
	assert.NilError(t, err)
	_, err = publish.Publish(context.Background(), f.client, from, &s.Document)
	assert.NilError(t, err)
}

// Guards against a start that accepts a version too early: from the gossip record alone,
// from the first peer instead of the one with the highest version, or from a peer that
// is starting itself.
func TestStart(t *testing.T) {
	v1, v2, v3 := document(t, 1), document(t, 2), document(t, 3)
	for name, tc := range map[string]struct {
		down    bool
		rows    [][]byte
		peers   map[string]func(string, any) (any, error)
		record  uint64
		started bool
		known   uint64
	}{
		"row read":                      {rows: [][]byte{v1, v2}, started: true, known: 2},
		"row read, peers behind":        {rows: [][]byte{v1, v2}, peers: map[string]func(string, any) (any, error){"a": servingPeer(1, v1)}, started: true, known: 2},
		"nothing published":             {started: true},
		"outage, highest of the peers":  {down: true, peers: map[string]func(string, any) (any, error){"a": servingPeer(1, v1), "b": servingPeer(3, v3), "c": servingPeer(2, v2)}, started: true, known: 3},
		"outage, one peer fails":        {down: true, peers: map[string]func(string, any) (any, error){"a": failingPeer, "b": servingPeer(2, v2)}, started: true, known: 2},
		"outage, no peers":              {down: true},
		"outage, only starting peers":   {down: true, peers: map[string]func(string, any) (any, error){"a": failingPeer}},
		"outage, a record alone":        {down: true, record: 1, known: 1},
		"outage, record above the rest": {down: true, record: 4, peers: map[string]func(string, any) (any, error){"a": servingPeer(1, v1)}, started: true, known: 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for i, encoded := range tc.rows {
				f.publish(t, encoded, uint64(i))
			}
			f.platform.SetFaults(standin.PlatformFaults{Down: tc.down})
			f.peers.answer = tc.peers
			if tc.record > 0 {
				f.cfg.Store.SetShared(recordKey, tc.record, mustMarshal(documentRef{config.Digest(v1)}))
			}
			ctx, cancel := context.WithCancel(context.Background())
			if !tc.started {
				cancel() // start makes one attempt and then finds ctx cancelled
			}
			defer cancel()
			assert.Equal(t, f.start(ctx), tc.started)
			assert.Equal(t, f.cfg.Store.Version(recordKey), tc.known)
			assert.Assert(t, f.Current() == nil, "a configuration was applied before the start was completed")
		})
	}
}

// Guards against a start in an outage that relies on the first discovered peer while
// others are still being discovered.
func TestStartWaitsForPeers(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	first, newest := servingPeer(1, document(t, 1)), servingPeer(3, document(t, 3))
	var found sync.Once
	f.peers.answer["a"] = func(kind string, req any) (any, error) {
		found.Do(func() { f.peers.answer["b"] = newest }) // discovered during the first query, which asks only a
		return first(kind, req)
	}
	assert.Assert(t, f.start(context.Background()))
	assert.Equal(t, f.cfg.Store.Version(recordKey), uint64(3))
}

// Guards against a document that is fetched from the wrong source or applied without a
// check of its digest, and against one that replaces a higher version.
func TestApplyRecord(t *testing.T) {
	v1, v2 := document(t, 1), document(t, 2)
	invalid := []byte("not a document")
	announcer := peer.Identity{Node: "a", DataCentre: "dudley"}
	for name, tc := range map[string]struct {
		peers   map[string]func(string, any) (any, error)
		objects [][]byte
		want    []byte
		ok      bool
	}{
		"from the announcer":             {peers: map[string]func(string, any) (any, error){"a": servingPeer(2, v2)}, want: v2, ok: true},
		"announcer lacks it, platform":   {peers: map[string]func(string, any) (any, error){"a": servingPeer(1, v1)}, objects: [][]byte{v2}, want: v2, ok: true},
		"announcer gone, another peer":   {peers: map[string]func(string, any) (any, error){"b": servingPeer(2, v2)}, want: v2, ok: true},
		"wrong from announcer":           {peers: map[string]func(string, any) (any, error){"a": mismatchingPeer(v1)}, want: v2},
		"wrong from announcer, platform": {peers: map[string]func(string, any) (any, error){"a": mismatchingPeer(v1)}, objects: [][]byte{v2}, want: v2, ok: true},
		"nobody has it":                  {want: v2},
		"invalid":                        {objects: [][]byte{invalid}, want: invalid},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.peers.answer = tc.peers
			first, err := config.Decode(1, v1)
			assert.NilError(t, err)
			f.apply(first)
			ctx := context.Background()
			for _, o := range tc.objects {
				_, err := f.client.PutObject(ctx, o)
				assert.NilError(t, err)
			}
			f.pushRecord(t, 2, tc.want, announcer)
			err = f.applyRecord(ctx)
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			if tc.ok {
				assert.Equal(t, f.Current().Version, uint64(2))
				assert.Equal(t, f.Current().Digest, config.Digest(v2))
			} else {
				assert.Equal(t, f.Current().Version, uint64(1))
			}
			f.apply(first)
			assert.Assert(t, !tc.ok || f.Current().Version == 2, "a lower version never replaces a higher one")
		})
	}
}

// pushRecord delivers a gossip record in a push message of a peer.
func (f *fixture) pushRecord(t *testing.T, version uint64, encoded []byte, from peer.Identity) {
	t.Helper()
	record := gossip.Record{Key: recordKey, Version: version, Value: mustMarshal(documentRef{config.Digest(encoded)})}
	payload, err := cbor.Marshal(map[int]any{1: []gossip.Record{record}})
	assert.NilError(t, err)
	_, err = f.peers.handlers["GossipPush"](context.Background(), from, payload)
	assert.NilError(t, err)
}

// mismatchingPeer returns the replies of a peer that serves a document under any digest.
func mismatchingPeer(encoded []byte) func(string, any) (any, error) {
	return func(kind string, req any) (any, error) {
		encodedPatch := makePatch("", nil, encoded)
		return partReply{Total: len(encodedPatch), Part: encodedPatch[req.(partRequest).Offset:]}, nil
	}
}

// Guards against a node that applies a version which its restart could revert, and
// against one that waits for peers although all of them fail.
func TestOfferBeforeApply(t *testing.T) {
	for name, answer := range map[string]func(string, any) (any, error){"peer": servingPeer(0, nil), "only failing peer": failingPeer} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(t, document(t, 1), 0)
			f.peers.answer["a"] = func(kind string, req any) (any, error) {
				assert.Assert(t, f.Current() == nil, "offered before it is applied")
				return answer(kind, req)
			}
			assert.NilError(t, f.readRow(context.Background()))
			assert.NilError(t, f.applyRecord(context.Background()))
			assert.Equal(t, f.peers.offers, 1)
			assert.Equal(t, f.Current().Version, uint64(1))
		})
	}
}

// Guards against invalid messages of peers that crash a node or make it cache a document
// that it did not verify.
func TestBadRequests(t *testing.T) {
	f := newFixture(t)
	f.peers.answer["a"] = mismatchingPeer([]byte("not a document"))
	known := document(t, 1)
	f.cacheDocument(cachedDocument{digest: config.Digest(known), encoded: known})
	digest := config.Digest(known)
	for name, m := range map[string]struct {
		kind string
		msg  any
	}{
		"negative offset":   {kindRequest, partRequest{Digest: digest, Offset: -1}},
		"offset at the end": {kindRequest, partRequest{Digest: digest, Offset: 1 << 30}},
		"unknown digest":    {kindRequest, partRequest{Digest: "x"}},
		"not a request":     {kindRequest, "x"},
		"offer of garbage":  {kindOffer, versionMessage{9, config.Digest([]byte("not a document"))}},
		"offer without it":  {kindOffer, versionMessage{9, "x"}},
		"query at start":    {kindQuery, queryMessage{}},
	} {
		t.Run(name, func(t *testing.T) {
			payload, err := cbor.Marshal(m.msg)
			assert.NilError(t, err)
			result, err := f.peers.handlers[m.kind](context.Background(), peer.Identity{Node: "a"}, payload)
			reply, isPart := result.(partReply)
			assert.Assert(t, err != nil || isPart && reply.Total == 0, "%v", result)
			assert.Equal(t, len(f.cached), 1)
		})
	}
}
