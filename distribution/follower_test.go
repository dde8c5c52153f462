package distribution_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dotterelseam/dotterelseam/distribution"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/store"
)

func operatorConfig(version int) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{},"services":{},"tenants":{}}`, version)
}

func startFollower(t *testing.T, standIn *standin.Platform) *distribution.Follower {
	t.Helper()
	srv := httptest.NewServer(standIn.Handler())
	client := platform.New(platform.Config{URL: srv.URL, BackoffBase: time.Millisecond, BreakerPause: time.Millisecond})
	f := distribution.NewFollower(platform.ConfigurationSource{Client: client}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; srv.Close() })
	return f
}

func awaitVersion(t *testing.T, f *distribution.Follower, want uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := f.Current(); s == nil || s.Version != want {
			return poll.Continue("not version %d yet", want)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against versions that are missed while the store is down, after it has
// compacted its history, or because it holds a malformed configuration.
func TestFollowerThroughFaults(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down":      {Down: true},
		"compacted": {Compacted: true},
	} {
		t.Run(name, func(t *testing.T) {
			standIn := standin.NewPlatform()
			f := startFollower(t, standIn)
			assert.Assert(t, f.Current() == nil)
			standIn.Write("op", "config", operatorConfig(4))
			awaitVersion(t, f, 4)
			standIn.SetFaults(faults)
			standIn.Write("op", "config", operatorConfig(9))
			if faults.Down {
				standIn.SetFaults(standin.PlatformFaults{})
			}
			awaitVersion(t, f, 9)
			standIn.SetFaults(standin.PlatformFaults{})
			standIn.Write("op", "config", []byte("not a configuration"))
			standIn.Write("op", "other", operatorConfig(99))
			standIn.Write("op", "config", operatorConfig(12))
			awaitVersion(t, f, 12)
		})
	}
}

// Guards against a version that is replaced by a lower one, from a delayed response or
// from a peer with an older version.
func TestFollowerNeverReverts(t *testing.T) {
	f := distribution.NewFollower(platform.ConfigurationSource{}, logr.Discard())
	for _, tc := range []struct {
		raw  []byte
		want uint64
	}{
		{operatorConfig(7), 7}, {operatorConfig(3), 7}, {[]byte("{"), 7}, {operatorConfig(8), 8}, {operatorConfig(8), 8},
	} {
		f.Apply(tc.raw, "test")
		assert.Equal(t, f.Current().Version, tc.want)
	}
}

// stalledSource answers reads but never a watch, like a connection whose state a
// middlebox has dropped.
type stalledSource struct {
	platform.ConfigurationSource
	version atomic.Int64
}

func (s *stalledSource) Read(context.Context) ([]byte, store.Position, error) {
	return operatorConfig(int(s.version.Load())), store.Position{Revision: 1}, nil
}

func (s *stalledSource) Watch(ctx context.Context, _ store.Position, _ time.Duration) ([]byte, store.Position, error) {
	<-ctx.Done()
	return nil, store.Position{}, ctx.Err()
}

// Guards against a node that stays at an old version while a call to the store waits on
// a broken connection, although other nodes know a newer version.
func TestFollowerOfSilentSource(t *testing.T) {
	source := &stalledSource{}
	source.version.Store(4)
	f := distribution.NewFollower(source, logr.Discard())
	stalled := make(chan struct{}, 1)
	f.OnStalledWatch(func() { stalled <- struct{}{} })
	f.SetPeerClient(&distribution.PeerClient{Client: http.DefaultClient, PickPeer: func() string { return "" }, CountPeers: func() int { return 0 }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	awaitVersion(t, f, 4)
	source.version.Store(9)
	f.ObserveVersion(7, "127.0.0.1:1")
	<-stalled
	awaitVersion(t, f, 9) // the interrupted call was repeated
}

// lossySource loses the answer to its first watch: the call fails only after the whole
// time to wait.
type lossySource struct {
	stalledSource
	lost atomic.Bool
}

func (s *lossySource) Watch(ctx context.Context, after store.Position, wait time.Duration) ([]byte, store.Position, error) {
	if s.lost.Swap(true) {
		return s.stalledSource.Watch(ctx, after, wait)
	}
	s.version.Store(9) // the change whose announcement is lost
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.stalledSource.Watch(ctx, after, wait)
}

// Guards against a node that stays at an old version, for example with a key that was
// withdrawn, because the answer to its watch was lost and no other node tells it.
func TestFollowerNoticesLostWatch(t *testing.T) {
	source := &lossySource{}
	source.version.Store(4)
	f := distribution.NewFollower(source, logr.Discard())
	stalled := make(chan struct{}, 1)
	f.OnStalledWatch(func() { stalled <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	awaitVersion(t, f, 4)
	awaitVersion(t, f, 9)
	<-stalled
}

// manyPeers makes watches as long as they can be.
func manyPeers() int { return 1000 }

// startPeer runs a follower of source whose peer is the one at peer, or none. It returns
// the follower and the address of its Handler.
func startPeer(t *testing.T, source distribution.Source, peer string) (*distribution.Follower, string) {
	t.Helper()
	f := distribution.NewFollower(source, logr.Discard())
	srv := httptest.NewServer(f.Handler())
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	f.SetPeerClient(&distribution.PeerClient{
		Client: srv.Client(), PickPeer: func() string { return peer }, CountPeers: manyPeers, Address: address,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, address
}

// Guards against a node of a large fleet that stays at an old version, because the answer
// to its long watch was lost and no request between nodes tells it.
func TestFollowerAsksOthers(t *testing.T) {
	source, newer := &stalledSource{}, &stalledSource{}
	source.version.Store(4)
	newer.version.Store(9)
	_, address := startPeer(t, newer, "")
	f, _ := startPeer(t, source, address)
	awaitVersion(t, f, 9)
}

// restartedSource fails its first watch; what it has then is read late.
type restartedSource struct {
	stalledSource
	failed atomic.Bool
}

func (s *restartedSource) Watch(ctx context.Context, after store.Position, wait time.Duration) ([]byte, store.Position, error) {
	if s.failed.Swap(true) {
		return s.stalledSource.Watch(ctx, after, wait)
	}
	s.version.Store(9)
	return nil, store.Position{}, store.ErrUnavailable.New("the answer was lost")
}

// Guards against nodes of a large fleet that stay at an old version after the store was
// silent for all of them, although one has noticed.
func TestFollowerTellsOthersOfLateVersion(t *testing.T) {
	silent, restarted := &stalledSource{}, &restartedSource{}
	silent.version.Store(4)
	restarted.version.Store(4)
	f, address := startPeer(t, silent, "")
	awaitVersion(t, f, 4)
	startPeer(t, restarted, address)
	awaitVersion(t, f, 9)
}

// Guards against what another node tells that is not a version or an address.
func TestBadTold(t *testing.T) {
	_, address := startPeer(t, &stalledSource{}, "")
	for _, query := range []string{"", "version=9", "version=x&from=127.0.0.1:1", "version=9&from=nowhere", "version=-1&from=127.0.0.1:1"} {
		resp, err := http.Post("http://"+address+distribution.VersionPath+"?"+query, "", nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, query)
	}
}

// Guards against a node that stays at an old version because it refuses all requests,
// whose keys it does not know yet, and so exchanges no versions with other nodes.
func TestFollowerChecksForUpdate(t *testing.T) {
	other := distribution.NewFollower(platform.ConfigurationSource{}, logr.Discard())
	srv := httptest.NewServer(other.Handler())
	t.Cleanup(srv.Close)
	source := &stalledSource{}
	source.version.Store(4)
	f := distribution.NewFollower(source, logr.Discard())
	f.SetPeerClient(&distribution.PeerClient{Client: srv.Client(), PickPeer: func() string { return strings.TrimPrefix(srv.URL, "http://") }, CountPeers: func() int { return 1 }})
	f.Apply(operatorConfig(4), "test")
	f.CheckForUpdate() // the other node has no version
	assert.Equal(t, f.Current().Version, uint64(4))
	other.Apply(operatorConfig(9), "test")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.CheckForUpdate()
		if f.Current().Version != 9 {
			return poll.Continue("still version %d", f.Current().Version)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}
