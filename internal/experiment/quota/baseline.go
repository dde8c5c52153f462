package quota

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/store"
)

// tokenBucket is a plain token bucket. It is safe for concurrent use.
type tokenBucket struct {
	mu          sync.Mutex
	rate, burst float64
	level       float64
	lastRefill  time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// staticFleet gives each node a fixed twelfth of the rate and burst of every
// workspace.
type staticFleet struct{ nodes []map[string]*tokenBucket }

func startStaticFleet() fleet {
	f := &staticFleet{}
	for range nodeCount {
		node := map[string]*tokenBucket{}
		for _, w := range fleetConfig().Workspaces {
			node[w.Name] = &tokenBucket{rate: w.Rate / nodeCount, burst: w.Burst / nodeCount, lastRefill: time.Now()}
		}
		f.nodes = append(f.nodes, node)
	}
	return f
}

func (f *staticFleet) take(_ context.Context, node int, workspace string) bool {
	return f.nodes[node][workspace].take(time.Now())
}

func (f *staticFleet) partition(int, bool) {}
func (f *staticFleet) holder(int) int      { return 0 }
func (f *staticFleet) kill(int)            {} // the load generator sends a killed node no more requests
func (f *staticFleet) controlBytes() int64 { return 0 }
func (f *staticFleet) close()              {}

const (
	leaseInterval  = 250 * time.Millisecond // average time between two leases of a workspace by a node
	leaseAttempts  = 4                      // per lease, if writes conflict
	leaseLookahead = 500 * time.Millisecond // a lease takes tokens for the expected demand of this time
	leaseTTL       = 2 * time.Second        // time after which unused tokens expire
)

// bucketRow is the token bucket of one workspace as stored in the platform's table.
type bucketRow struct {
	Level float64   `json:"level"`
	At    time.Time `json:"at"`
}

// tableLeaseFleet is a fleet whose nodes take tokens from the platform's table.
type tableLeaseFleet struct {
	table     *httptest.Server
	cutOff    atomic.Int32 // as in dotterelFleet
	wireBytes atomic.Int64 // bytes to and from the platform
	cancel    context.CancelFunc
	done      sync.WaitGroup
	nodes     []map[string]*leasedTokens
	limits    map[string]config.Workspace
}

// leasedTokens holds one node's tokens of one workspace.
type leasedTokens struct {
	mu        sync.Mutex
	level     float64
	expiresAt time.Time
	demand    float64 // number of requests since the last lease
}

func startTableLeaseFleet(ctx context.Context) (fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &tableLeaseFleet{table: httptest.NewServer(standin.NewPlatform().Handler()), cancel: cancel, limits: map[string]config.Workspace{}}
	for _, w := range fleetConfig().Workspaces {
		f.limits[w.Name] = w
	}
	for i := range nodeCount {
		client, node := countingClient(f.table.URL, &f.wireBytes), map[string]*leasedTokens{}
		f.nodes = append(f.nodes, node)
		for workspace := range f.limits {
			tokens := &leasedTokens{}
			node[workspace] = tokens
			f.done.Go(func() { f.leaseLoop(ctx, client, i, workspace, tokens) })
		}
	}
	return f, nil
}

// leaseLoop takes tokens of one workspace for a node until ctx ends. It pauses
// while the node is cut off.
func (f *tableLeaseFleet) leaseLoop(ctx context.Context, client *platform.Client, node int, workspace string, tokens *leasedTokens) {
	for ctx.Err() == nil {
		if int(f.cutOff.Load())-1 != dataCentreOf(node) {
			tokens.mu.Lock()
			demand := tokens.demand
			tokens.demand = 0
			tokens.mu.Unlock()
			for range leaseAttempts {
				if f.takeLease(ctx, client, workspace, tokens, demand) {
					break
				}
			}
		}
		select {
		case <-time.After(leaseInterval/2 + rand.N(leaseInterval)):
		case <-ctx.Done():
		}
	}
}

// takeLease takes tokens for the expected demand from the table. demand is the
// number of requests since the last lease, taken as that of one leaseInterval. It
// returns false if the caller should retry, because the write conflicted with
// another one; other errors count as done. Tokens of a write with an unknown outcome
// are lost.
func (f *tableLeaseFleet) takeLease(ctx context.Context, client *platform.Client, workspace string, tokens *leasedTokens, demand float64) bool {
	limits := f.limits[workspace]
	tokens.mu.Lock()
	want := math.Ceil(demand*float64(leaseLookahead)/float64(leaseInterval)) - tokens.level
	tokens.mu.Unlock()
	if want <= 0 {
		return true
	}
	row, version := bucketRow{At: time.Now()}, uint64(0)
	if got, err := client.Get(ctx, "tokens/"+workspace); err == nil {
		if json.Unmarshal(got.Value, &row) != nil {
			return true
		}
		version = got.Version
	} else if !store.ErrNotFound.Has(err) {
		return true
	}
	now := time.Now()
	row.Level = min(limits.Burst, row.Level+limits.Rate*max(0, now.Sub(row.At).Seconds()))
	row.At = now
	granted := math.Floor(min(want, row.Level))
	row.Level -= granted
	value, err := json.Marshal(row)
	if err != nil || granted < 1 && version > 0 {
		return true
	}
	if _, err := client.Put(ctx, "tokens/"+workspace, version, value); err != nil {
		return !store.ErrConflict.Has(err)
	}
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	tokens.level += granted
	tokens.expiresAt = now.Add(leaseTTL)
	return true
}

func (f *tableLeaseFleet) take(_ context.Context, node int, workspace string) bool {
	tokens := f.nodes[node][workspace]
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	tokens.demand++
	if time.Now().After(tokens.expiresAt) {
		tokens.level = 0
	}
	if tokens.level < 1 {
		return false
	}
	tokens.level--
	return true
}

func (f *tableLeaseFleet) partition(dc int, on bool) {
	f.cutOff.Store(0)
	if on {
		f.cutOff.Store(int32(dc + 1))
	}
}

func (f *tableLeaseFleet) holder(int) int      { return 0 }
func (f *tableLeaseFleet) kill(int)            {} // the load generator sends a killed node no more requests
func (f *tableLeaseFleet) controlBytes() int64 { return f.wireBytes.Load() }

func (f *tableLeaseFleet) close() {
	f.cancel()
	f.done.Wait()
	f.table.Close()
}
