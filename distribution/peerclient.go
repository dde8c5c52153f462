package distribution

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/nodecall"
)

// Paths on the peers listener where nodes read the configuration in force at
// another one, and its version.
const (
	ConfigurationPath = "/v1/configuration"
	VersionPath       = "/v1/configuration/version"
)

const (
	fetchLimit     = time.Second
	maxFetched     = 16 << 20 // bytes
	maxVersionText = 32       // bytes
	// doubtInterval is the least time between two questions after doubts.
	doubtInterval = time.Second
)

// ErrFetch is the class of configurations that could not be read from another node.
var ErrFetch = errs.Class("configuration of another node")

// PeerClient reads from other nodes what their followers serve.
type PeerClient struct {
	Client   *http.Client
	PickPeer func() string // peers address of some other node, or ""
}

// configuration reads the encoded configuration in force at a node.
func (p *PeerClient) configuration(ctx context.Context, address string) ([]byte, error) {
	raw, err := nodecall.Do(ctx, p.Client, http.MethodGet, address, ConfigurationPath, maxFetched)
	return raw, ErrFetch.Wrap(err)
}

// version reads the version in force at a node.
func (p *PeerClient) version(ctx context.Context, address string) (uint64, error) {
	raw, err := nodecall.Do(ctx, p.Client, http.MethodGet, address, VersionPath, maxVersionText)
	if err != nil {
		return 0, ErrFetch.Wrap(err)
	}
	v, err := strconv.ParseUint(string(raw), 10, 64)
	return v, ErrFetch.Wrap(err)
}

// CheckForUpdate tells that a request names something that is not in force here, as those
// of a newer version do: another node is asked for its version, at most once every
// doubtInterval. It does not block.
func (f *Follower) CheckForUpdate() {
	now, latest := time.Now().UnixNano(), f.doubted.Load()
	if f.peers == nil || now-latest < int64(doubtInterval) || !f.doubted.CompareAndSwap(latest, now) {
		return
	}
	address := f.peers.PickPeer()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
		defer cancel()
		version, err := f.peers.version(ctx, address)
		if err != nil {
			f.log.Info("version_not_fetched", "from", address, "error", err.Error())
			return
		}
		f.ObserveVersion(version, address)
	}()
}

// Handler serves the configuration in force and its version to other nodes, and 404
// before the first one.
func (f *Follower) Handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, body func(c *followed) []byte) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			c := f.current.Load()
			if c == nil {
				http.NotFound(w, r)
				return
			}
			_, _ = w.Write(body(c)) // a write error means that the reader is gone
		})
	}
	serve(ConfigurationPath, func(c *followed) []byte { return c.raw })
	serve(VersionPath, func(c *followed) []byte { return strconv.AppendUint(nil, c.snapshot.Version, 10) })
	return mux
}
