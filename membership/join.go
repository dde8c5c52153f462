package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/store"
)

const (
	// Prefix of the platform rows of nodes. nodePrefix is that of gossip records.
	rowPrefix = "node/"
	// Interval between two writes of a node's platform row.
	rowInterval = 60 * time.Second
	// Rows older than this are ignored. The limit allows for clock differences
	// between hosts and for a platform outage of some minutes.
	maxRowAge = 10 * time.Minute
	// Pause between attempts while no other node is known; it doubles up to the
	// maximum.
	minJoinBackoff = 250 * time.Millisecond
	maxJoinBackoff = 5 * time.Second
	// A node that has found no other member after this time acts as the only one
	// of its data centre.
	joinTimeout = 2 * time.Second
	// Timeout of the exchange with one address.
	syncTimeout = 2 * time.Second
	// Mean pause between attempts to reach nodes and data centres out of contact.
	reconnectInterval = 2 * time.Second
	// Maximum number of addresses contacted at the same time.
	maxParallelSyncs = 8
)

// rowPeer is a node known from a platform row.
type rowPeer struct {
	dc, address string
}

// Run probes, joins and publishes this node's records until ctx ends. It must be
// called once, and returns after all its goroutines have ended, except probes in
// progress.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.probeLoop, m.gatewayLoop, m.joinLoop, m.rowLoop, m.reconnectLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// joinLoop syncs with seeds, nodes from platform rows and gateways while no
// other live node of the data centre is known.
func (m *Membership) joinLoop(ctx context.Context) {
	start, wait := m.cfg.Now(), minJoinBackoff
	for {
		if len(m.Local()) == 0 {
			m.syncAddresses(ctx, m.joinAddresses(ctx))
		} else {
			wait = minJoinBackoff
		}
		if len(m.Local()) > 0 || m.cfg.Now().Sub(start) >= joinTimeout {
			m.joined.Store(true)
			m.markDirty()
		}
		if !pause.For(ctx, wait/2+rand.N(wait)) {
			return
		}
		if len(m.Local()) == 0 {
			wait = min(2*wait, maxJoinBackoff)
		}
	}
}

// joinAddresses returns the addresses at which other nodes may listen: seeds,
// platform rows of this data centre, and known gateways.
func (m *Membership) joinAddresses(ctx context.Context) []string {
	m.readRows(ctx, rowPrefix)
	addrs := slices.Clone(m.cfg.Seeds)
	m.mu.Lock()
	for _, r := range m.rows {
		if r.dc == m.id.DataCentre {
			addrs = append(addrs, r.address)
		}
	}
	for _, r := range m.remotes {
		for _, g := range r.value.Gateways {
			addrs = append(addrs, g.PeerAddress)
		}
	}
	m.mu.Unlock()
	return addrs
}

// syncAddresses exchanges records with the nodes at the given addresses, up to
// maxParallelSyncs at the same time.
func (m *Membership) syncAddresses(ctx context.Context, addrs []string) {
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	slots := make(chan struct{}, maxParallelSyncs)
	var wg sync.WaitGroup
	for _, addr := range addrs {
		if addr == m.cfg.PeerAddress || addr == "" {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			m.syncAddress(ctx, addr)
		}()
	}
	wg.Wait()
}

func (m *Membership) syncAddress(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	_, _ = m.cfg.Store.SyncAddress(ctx, addr) // the next round retries
}

// rowLoop writes this node's platform row at start and then periodically until
// ctx ends.
func (m *Membership) rowLoop(ctx context.Context) {
	if m.cfg.Table == nil {
		return
	}
	retry := time.Second
	for {
		wait := rowInterval
		if m.writeRow(ctx) != nil {
			wait, retry = retry, min(2*retry, rowInterval)
		} else {
			retry = time.Second
		}
		if !pause.For(ctx, wait-wait/8+rand.N(wait/4)) {
			return
		}
	}
}

// writeRow replaces the row node/<dc>/<id>. Only this node writes it, so a
// version conflict means that an earlier write took effect late.
func (m *Membership) writeRow(ctx context.Context) error {
	key := rowPrefix + m.id.DataCentre + "/" + m.id.Node
	m.mu.Lock()
	value := m.self
	m.mu.Unlock()
	value.Endpoint = nil
	value.Written = m.cfg.Now().Unix()
	row, err := m.cfg.Table.Get(ctx, key)
	if err != nil && !store.ErrNotFound.Has(err) {
		return err
	}
	_, err = m.cfg.Table.Put(ctx, key, row.Version, mustMarshal(value))
	return err
}

// readRows reads the platform rows with the given prefix and keeps the recent
// ones of nodes that have not stopped.
func (m *Membership) readRows(ctx context.Context, prefix string) {
	if m.cfg.Table == nil {
		return
	}
	rows, err := m.cfg.Table.List(ctx, prefix, 0)
	if err != nil {
		return // rows only supplement seeds and gossip; the next round retries
	}
	oldest := m.cfg.Now().Add(-maxRowAge).Unix()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range rows {
		dc, id, ok := strings.Cut(strings.TrimPrefix(row.Key, rowPrefix), "/")
		var v nodeValue
		if !ok || id == m.id.Node || peer.Unmarshal(row.Value, &v) != nil {
			continue
		}
		if v.Written < oldest || v.State == Dead {
			delete(m.rows, id)
			continue
		}
		m.rows[id] = rowPeer{dc: dc, address: v.PeerAddress}
	}
}

// reconnectLoop syncs with nodes and data centres that are out of contact, so
// that the parts of the fleet merge again after a network partition.
func (m *Membership) reconnectLoop(ctx context.Context) {
	for round := 0; ; round++ {
		if !pause.For(ctx, reconnectInterval/2+rand.N(reconnectInterval)) {
			return
		}
		if m.IsGateway() && round%(int(rowInterval/reconnectInterval)) == 0 {
			m.readRows(ctx, rowPrefix)
		}
		m.syncAddresses(ctx, m.reconnectAddresses())
	}
}

// reconnectAddresses returns the address of at most one node of this data centre
// that is dead or, on a gateway, dead or missing from gossip. On a gateway it also
// returns the address of one node of each data centre out of contact, and
// possibly a seed.
func (m *Membership) reconnectAddresses() []string {
	v := m.view.Load()
	var local []string
	for i := range v.dead {
		local = append(local, v.dead[i].PeerAddress)
	}
	gateway := m.IsGateway()
	m.mu.Lock()
	defer m.mu.Unlock()
	remote := map[string][]string{}
	for id, r := range m.rows {
		if r.dc != m.id.DataCentre {
			remote[r.dc] = append(remote[r.dc], r.address)
		} else if _, known := v.addresses[id]; !known && gateway {
			local = append(local, r.address)
		}
	}
	targets := randomAddress(local)
	if !gateway {
		return targets
	}
	for dc, gateways := range v.remoteGW {
		for i := range gateways {
			remote[dc] = append(remote[dc], gateways[i].PeerAddress)
		}
	}
	for dc, addrs := range remote {
		if _, known := v.remote[dc]; !known || slices.Contains(v.expired, dc) {
			targets = append(targets, randomAddress(addrs)...)
		}
	}
	return append(targets, m.seedAddress(v)...)
}

// seedAddress returns a random seed if contact with a data centre has expired, if
// a configured data centre is unknown, or if no other data centre is known. The
// caller holds m.mu.
func (m *Membership) seedAddress(v *view) []string {
	missing := len(v.expired) > 0 || len(v.remote) == 0
	if m.cfg.DataCentres != nil {
		for _, dc := range m.cfg.DataCentres() {
			if _, known := v.remote[dc]; !known && dc != m.id.DataCentre {
				missing = true
			}
		}
	}
	if !missing {
		return nil
	}
	return randomAddress(m.cfg.Seeds)
}

// randomAddress returns one random element of addrs, or nil if there is none.
func randomAddress(addrs []string) []string {
	if len(addrs) == 0 {
		return nil
	}
	return []string{addrs[rand.IntN(len(addrs))]}
}
