package membership

import (
	"bytes"
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	// Interval between two heartbeats of a data centre.
	heartbeatInterval = 2 * time.Second
	// Interval between two checks whether a heartbeat is due.
	heartbeatCheckInterval = 500 * time.Millisecond
	// The second gateway publishes the heartbeat if the first one is this late.
	secondGatewayDelay = 500 * time.Millisecond
	// A data centre without a new heartbeat for this long gets no more requests;
	// its gateways are still contacted, to reconnect. The time covers three
	// heartbeats and their propagation.
	contactTimeout = 7 * time.Second
	// Minimum time between two versions of a data centre's record.
	minDCRecordInterval = 300 * time.Millisecond
	// Changes within this time share one version of a data centre's record.
	dcRecordDelay = 20 * time.Millisecond
)

// recordPlatformContact applies the time of platform contact in a heartbeat of
// this data centre. The caller holds m.mu.
func (m *Membership) recordPlatformContact(key string, now time.Time) {
	r, ok := m.cfg.Store.Get(key)
	var b Heartbeat
	if !ok || peer.Unmarshal(r.Value, &b) != nil || b.PlatformAgeMS < 0 {
		return
	}
	if at := now.Add(-time.Duration(b.PlatformAgeMS) * time.Millisecond); at.After(m.lastPlatformContact) {
		m.lastPlatformContact = at
	}
}

// gatewayLoop publishes the heartbeat and the record of this data centre while
// this node is a gateway, and expires contacts with other data centres.
func (m *Membership) gatewayLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.publishHeartbeat()
			m.expireContacts()
		case <-m.dirty:
			if !pause.For(ctx, dcRecordDelay) {
				return
			}
			m.publishDC()
			if !pause.For(ctx, minDCRecordInterval) {
				return
			}
		}
	}
}

// publishHeartbeat publishes the heartbeat of this data centre when it is due,
// or when this gateway's platform contact is newer than the heartbeats show.
func (m *Membership) publishHeartbeat() {
	rank := m.gatewayRank()
	if rank < 0 {
		return
	}
	now := m.cfg.Now()
	own := m.platformContact()
	m.mu.Lock()
	last := m.remotes[m.id.DataCentre].lastContact
	due := now.Sub(last) >= heartbeatInterval+time.Duration(rank)*secondGatewayDelay
	fresher := !own.IsZero() && own.Sub(m.lastPlatformContact) >= heartbeatInterval+secondGatewayDelay
	if own.After(m.lastPlatformContact) {
		m.lastPlatformContact = own
	}
	age := int64(-1)
	if !m.lastPlatformContact.IsZero() {
		age = now.Sub(m.lastPlatformContact).Milliseconds()
	}
	if due || fresher {
		r := m.remotes[m.id.DataCentre]
		r.lastContact = now
		m.remotes[m.id.DataCentre] = r
	}
	m.mu.Unlock()
	if due || fresher {
		m.setNextVersion(HeartbeatPrefix+m.id.DataCentre, mustMarshal(Heartbeat{age}))
	}
}

func (m *Membership) platformContact() time.Time {
	if m.cfg.PlatformContact == nil {
		return time.Time{}
	}
	return m.cfg.PlatformContact()
}

// setNextVersion stores a value under a higher version. Versions are the wall
// clock in milliseconds where possible, so that they keep rising after a restart
// of the whole data centre.
func (m *Membership) setNextVersion(key string, value []byte) {
	version := uint64(m.cfg.Now().UnixMilli())
	if r, ok := m.cfg.Store.Get(key); ok && r.Version >= version {
		version = r.Version + 1
	}
	m.cfg.Store.Set(key, version, value)
}

// publishDC updates the record dc/<name> if this node is the first gateway and
// the value changed.
func (m *Membership) publishDC() {
	if m.gatewayRank() != 0 || !m.joined.Load() {
		return
	}
	v := m.view.Load()
	value := mustMarshal(newDCValue(m.cfg.Region, v.gateways, v.members))
	key := dcPrefix + m.id.DataCentre
	if r, ok := m.cfg.Store.Get(key); ok && bytes.Equal(r.Value, value) {
		return
	}
	m.setNextVersion(key, value)
}

// expireContacts rebuilds the view when the number of data centres without
// recent contact has changed.
func (m *Membership) expireContacts() {
	now := m.cfg.Now()
	expired := 0
	m.mu.Lock()
	for dc, r := range m.remotes {
		if dc != m.id.DataCentre && now.Sub(r.lastContact) > contactTimeout {
			expired++
		}
	}
	m.mu.Unlock()
	if expired != len(m.view.Load().expired) {
		m.update(func() {})
	}
}
