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

// tokens is a plain token bucket.
type tokens struct {
	mu          sync.Mutex
	rate, burst float64
	level       float64
	last        time.Time
}

func (t *tokens) take(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.level = min(t.burst, t.level+t.rate*now.Sub(t.last).Seconds())
	t.last = now
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

// static gives each node a fixed twelfth.
type static struct{ nodes []map[string]*tokens }

func startStatic() fleet {
	s := &static{}
	for range nodeCount {
		node := map[string]*tokens{}
		for _, w := range fleetConfig().Workspaces {
			node[w.Name] = &tokens{rate: w.Rate / nodeCount, burst: w.Burst / nodeCount, last: time.Now()}
		}
		s.nodes = append(s.nodes, node)
	}
	return s
}

func (s *static) take(_ context.Context, node int, workspace string) bool {
	return s.nodes[node][workspace].take(time.Now())
}

func (s *static) partition(int, bool) {}
func (s *static) holder(int) int      { return 0 }
func (s *static) kill(int)            {}
func (s *static) bytes() int64        { return 0 }
func (s *static) close()              {}

const (
	tableInterval = 250 * time.Millisecond // a node's pause between two leases of a workspace
	tableTries    = 4                      // conflicting writes of one lease
	tableAhead    = 500 * time.Millisecond // demand that a lease covers
	tableLife     = 2 * time.Second        // time after which unused tokens end
)

// tableRow is the bucket of one workspace in the platform's table.
type tableRow struct {
	Level float64   `json:"level"`
	At    time.Time `json:"at"`
}

// tableLease is a fleet whose nodes take tokens from the table.
type tableLease struct {
	table  *httptest.Server
	cut    atomic.Int32
	wire   atomic.Int64
	cancel context.CancelFunc
	done   sync.WaitGroup
	nodes  []map[string]*leased
	limits map[string]config.Workspace
}

// leased is one node's tokens of one workspace.
type leased struct {
	mu     sync.Mutex
	level  float64
	until  time.Time
	demand float64 // since the last lease
}

func startTable(ctx context.Context) (fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &tableLease{table: httptest.NewServer(standin.NewPlatform().Handler()), cancel: cancel, limits: map[string]config.Workspace{}}
	for _, w := range fleetConfig().Workspaces {
		t.limits[w.Name] = w
	}
	for i := range nodeCount {
		client, node := countedClient(t.table.URL, &t.wire), map[string]*leased{}
		t.nodes = append(t.nodes, node)
		for name := range t.limits {
			l := &leased{}
			node[name] = l
			t.done.Go(func() { t.renew(ctx, client, i, name, l) })
		}
	}
	return t, nil
}

func (t *tableLease) renew(ctx context.Context, c *platform.Client, node int, name string, l *leased) {
	for ctx.Err() == nil {
		if int(t.cut.Load())-1 != dcOf(node) {
			l.mu.Lock()
			demand := l.demand
			l.demand = 0
			l.mu.Unlock()
			for range tableTries {
				if t.lease(ctx, c, name, l, demand) {
					break
				}
			}
		}
		select {
		case <-time.After(tableInterval/2 + rand.N(tableInterval)):
		case <-ctx.Done():
		}
	}
}

// lease takes what the node's demand asks for; it returns false after a
// conflict. Tokens of a write with an unknown outcome are lost.
func (t *tableLease) lease(ctx context.Context, c *platform.Client, name string, l *leased, demand float64) bool {
	w := t.limits[name]
	l.mu.Lock()
	want := math.Ceil(demand*float64(tableAhead)/float64(tableInterval)) - l.level
	l.mu.Unlock()
	if want <= 0 {
		return true
	}
	row, version := tableRow{At: time.Now()}, uint64(0)
	if got, err := c.Get(ctx, "tokens/"+name); err == nil {
		if json.Unmarshal(got.Value, &row) != nil {
			return true
		}
		version = got.Version
	} else if !store.ErrNotFound.Has(err) {
		return true
	}
	now := time.Now()
	row.Level = min(w.Burst, row.Level+w.Rate*max(0, now.Sub(row.At).Seconds()))
	row.At = now
	n := math.Floor(min(want, row.Level))
	row.Level -= n
	value, err := json.Marshal(row)
	if err != nil || n < 1 && version > 0 {
		return true
	}
	if _, err := c.Put(ctx, "tokens/"+name, version, value); err != nil {
		return !store.ErrConflict.Has(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level += n
	l.until = now.Add(tableLife)
	return true
}

func (t *tableLease) take(_ context.Context, node int, workspace string) bool {
	l := t.nodes[node][workspace]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand++
	if time.Now().After(l.until) {
		l.level = 0
	}
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

func (t *tableLease) partition(dc int, on bool) {
	t.cut.Store(0)
	if on {
		t.cut.Store(int32(dc + 1))
	}
}

func (t *tableLease) holder(int) int { return 0 }
func (t *tableLease) kill(int)       {}
func (t *tableLease) bytes() int64   { return t.wire.Load() }

func (t *tableLease) close() {
	t.cancel()
	t.done.Wait()
	t.table.Close()
}
