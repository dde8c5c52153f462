package distribution

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/nodecall"
	"github.com/dotterelseam/dotterelseam/internal/pause"
)

// Paths of Follower.Handler on the peers listener.
const (
	ConfigurationPath = "/v1/configuration"
	VersionPath       = "/v1/configuration/version"
)

const (
	// fetchTimeout limits one fetch of a configuration or version.
	fetchTimeout = time.Second
	// Limits of the size of a response.
	maxFetchBytes   = 16 << 20
	maxVersionBytes = 32
	// versionCheckInterval is the minimum time between two requests by CheckForUpdate.
	versionCheckInterval = time.Second
	// askFanout is the number of other nodes that a node asks for their configuration if the
	// store may have lost the newest one.
	askFanout = 4
	// peerPollInterval is the time between two checks whether another node is known.
	peerPollInterval = 50 * time.Millisecond
	// tellFanout is the number of other nodes that a node tells of a version that it has
	// learnt late. They tell others in turn, so that all learn of it within moments.
	tellFanout = 8
)

// ErrFetch is the class of errors of reading a configuration or version from another
// node.
var ErrFetch = errs.Class("configuration of another node")

// PeerClient reads the configurations and versions that the followers of other nodes
// serve.
type PeerClient struct {
	Client *http.Client
	// PickPeer returns the peers address (ip:port) of any other node, or "". It must be
	// safe for concurrent use and must not block.
	PickPeer func() string
	// CountPeers returns how many other nodes are known. It must be safe for concurrent
	// use and must not block.
	CountPeers func() int
	Address    string // of this node's peers listener, ip:port; tellVersion names it
}

// configuration reads the encoded active configuration of the node at address.
func (p *PeerClient) configuration(ctx context.Context, address string) ([]byte, error) {
	raw, err := nodecall.Do(ctx, p.Client, http.MethodGet, address, ConfigurationPath, maxFetchBytes)
	return raw, ErrFetch.Wrap(err)
}

// version reads the active version of the node at address.
func (p *PeerClient) version(ctx context.Context, address string) (uint64, error) {
	raw, err := nodecall.Do(ctx, p.Client, http.MethodGet, address, VersionPath, maxVersionBytes)
	if err != nil {
		return 0, ErrFetch.Wrap(err)
	}
	v, err := strconv.ParseUint(string(raw), 10, 64)
	return v, ErrFetch.Wrap(err)
}

// tellVersion tells the node at address that this one has a version in force.
func (p *PeerClient) tellVersion(ctx context.Context, address string, version uint64) error {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}, "from": {p.Address}}
	_, err := nodecall.Do(ctx, p.Client, http.MethodPost, address, VersionPath+"?"+q.Encode(), maxVersionBytes)
	return ErrFetch.Wrap(err)
}

// tellPeers tells some other nodes of the active version. It is called when this node has
// learnt of it late, so that others may not know it either. It does not block.
func (f *Follower) tellPeers() {
	if f.peerClient == nil {
		return
	}
	version := f.Current().Version
	for range min(tellFanout, f.peerClient.CountPeers()) {
		address := f.peerClient.PickPeer()
		if address == "" {
			return
		}
		go callPeer(func(ctx context.Context) {
			if err := f.peerClient.tellVersion(ctx, address, version); err != nil {
				f.log.Info("version_not_told", "to", address, "version", version, "error", err.Error())
			}
		})
	}
}

// learnFromPeers applies the newest configuration of some other nodes, if any. It waits up to
// fetchTimeout for another node to be known, and as long for the answers.
func (f *Follower) learnFromPeers(ctx context.Context) {
	if f.peerClient == nil {
		return
	}
	for end := time.Now().Add(fetchTimeout); f.peerClient.PickPeer() == "" && time.Now().Before(end); {
		if !pause.For(ctx, peerPollInterval) {
			return
		}
	}
	var asking sync.WaitGroup
	for range min(askFanout, f.peerClient.CountPeers()) {
		address := f.peerClient.PickPeer()
		asking.Go(func() {
			callPeer(func(ctx context.Context) {
				raw, err := f.peerClient.configuration(ctx, address)
				if err != nil {
					f.log.Info("configuration_not_fetched", "from", address, "error", err.Error())
					return
				}
				f.Apply(raw, address)
			})
		})
	}
	asking.Wait()
}

// callPeer runs one call to another node with the time limit fetchTimeout.
func callPeer(call func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	call(ctx)
}

// CheckForUpdate asks another node for its version, at most once per
// versionCheckInterval, and passes it to ObserveVersion. Run calls it regularly; the node
// calls it when a request refers to a key or a route that is not configured here and may
// belong to a newer version. It does not block.
func (f *Follower) CheckForUpdate() {
	now, latest := max(int64(time.Since(f.epoch)), 1), f.lastVersionCheck.Load()
	if f.peerClient == nil || latest != 0 && now-latest < int64(versionCheckInterval) || !f.lastVersionCheck.CompareAndSwap(latest, now) {
		return
	}
	address := f.peerClient.PickPeer()
	if address == "" {
		return
	}
	go callPeer(func(ctx context.Context) {
		version, err := f.peerClient.version(ctx, address)
		if err != nil {
			f.log.Info("version_not_fetched", "from", address, "error", err.Error())
			return
		}
		f.ObserveVersion(version, address)
	})
}

// serveTold handles the call of tellVersion.
func (f *Follower) serveTold(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	if _, err := netip.ParseAddrPort(r.FormValue("from")); err != nil {
		http.Error(w, "from is not ip:port", http.StatusBadRequest)
		return
	}
	f.ObserveVersion(version, r.FormValue("from"))
}

// Handler serves the active configuration and its version to other nodes, which it answers
// with 404 before the first one, and takes what they tell of their versions.
func (f *Follower) Handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, body func(c *appliedConfiguration) []byte) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			c := f.current.Load()
			if c == nil {
				http.NotFound(w, r)
				return
			}
			_, _ = w.Write(body(c)) // a write error means that the client has disconnected
		})
	}
	serve(ConfigurationPath, func(c *appliedConfiguration) []byte { return c.raw })
	mux.HandleFunc("POST "+VersionPath, f.serveTold)
	serve(VersionPath, func(c *appliedConfiguration) []byte { return strconv.AppendUint(nil, c.snapshot.Version, 10) })
	return mux
}
