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
	rowPrefix = "node/"
	// Each node writes its platform row this often.
	rowInterval = 60 * time.Second
	// Rows that were written longer ago are ignored. It allows for clocks that
	// differ and for a platform outage of some minutes.
	rowMemory = 10 * time.Minute
	// Pause between tries while no other node is known; it doubles up to the
	// maximum.
	joinPause    = 250 * time.Millisecond
	maxJoinPause = 5 * time.Second
	// A node that found no other member yet acts alone after this time.
	aloneAfter = 2 * time.Second
	// Limit of one exchange with a seed.
	contactTry = 2 * time.Second
	// Nodes and data centres out of contact are tried this often.
	healInterval = 2 * time.Second
	// Addresses tried at the same time.
	maxParallel = 8
)

// rowPeer is a node known from a platform row.
type rowPeer struct {
	dc, address string
}

// Run takes part in the membership until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.probeLoop, m.gatewayLoop, m.joinLoop, m.rowLoop, m.healLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// joinLoop contacts seeds and nodes from platform rows until another node of
// the data centre is known, and again whenever none is left.
func (m *Membership) joinLoop(ctx context.Context) {
	start, wait := m.cfg.Now(), joinPause
	for {
		if len(m.Local()) == 0 {
			m.contactAll(ctx, m.candidates(ctx))
		} else {
			wait = joinPause
		}
		if len(m.Local()) > 0 || m.cfg.Now().Sub(start) >= aloneAfter {
			m.joined.Store(true)
			m.markDirty()
		}
		if !pause.For(ctx, wait/2+rand.N(wait)) {
			return
		}
		if len(m.Local()) == 0 {
			wait = min(2*wait, maxJoinPause)
		}
	}
}

// candidates returns the addresses where other nodes may be found.
func (m *Membership) candidates(ctx context.Context) []string {
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

// contactAll exchanges records with the nodes at the given addresses.
func (m *Membership) contactAll(ctx context.Context, addrs []string) {
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for _, addr := range addrs {
		if addr == m.cfg.PeerAddress || addr == "" {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			m.contact(ctx, addr)
		}()
	}
	wg.Wait()
}

func (m *Membership) contact(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, contactTry)
	defer cancel()
	_, _ = m.cfg.Store.SyncAddress(ctx, addr) // the next round tries again
}

// rowLoop writes this node's platform row at start and periodically.
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
// conflict means that an earlier write took effect.
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

// readRows takes over the recent platform rows with the given prefix.
func (m *Membership) readRows(ctx context.Context, prefix string) {
	if m.cfg.Table == nil {
		return
	}
	rows, err := m.cfg.Table.List(ctx, prefix, 0)
	if err != nil {
		return // rows are a second way to find nodes; the next round reads again
	}
	oldest := m.cfg.Now().Add(-rowMemory).Unix()
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

// healLoop tries nodes and data centres that are out of contact, so that the
// parts of the fleet find each other after a cut.
func (m *Membership) healLoop(ctx context.Context) {
	for round := 0; ; round++ {
		if !pause.For(ctx, healInterval/2+rand.N(healInterval)) {
			return
		}
		if m.IsGateway() && round%(int(rowInterval/healInterval)) == 0 {
			m.readRows(ctx, rowPrefix)
		}
		m.contactAll(ctx, m.healTargets())
	}
}

// healTargets returns at most a few addresses: one dead or missing node of this
// data centre and, on a gateway, one node of each data centre out of contact.
func (m *Membership) healTargets() []string {
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
	targets := pickOne(local)
	if !gateway {
		return targets
	}
	for dc, gateways := range v.remoteGW {
		for i := range gateways {
			remote[dc] = append(remote[dc], gateways[i].PeerAddress)
		}
	}
	for dc, addrs := range remote {
		if _, known := v.remote[dc]; !known || slices.Contains(v.lost, dc) {
			targets = append(targets, pickOne(addrs)...)
		}
	}
	return append(targets, m.seedTargets(v)...)
}

// seedTargets returns one seed if a data centre of the configuration is
// unknown or out of contact. The caller holds m.mu.
func (m *Membership) seedTargets(v *view) []string {
	missing := len(v.lost) > 0 || len(v.remote) == 0
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
	return pickOne(m.cfg.Seeds)
}

func pickOne(addrs []string) []string {
	if len(addrs) == 0 {
		return nil
	}
	return []string{addrs[rand.IntN(len(addrs))]}
}
