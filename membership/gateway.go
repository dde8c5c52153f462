package membership

import (
	"bytes"
	"context"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	// Each data centre's beat is raised this often.
	beatInterval = 2 * time.Second
	beatCheck    = 500 * time.Millisecond
	// The second gateway raises the beat if the first is this late.
	beatGrace = 500 * time.Millisecond
	// A data centre without a new beat for this long, three beats and the time
	// to spread, gets no more calls.
	contactLimit = 7 * time.Second
	// Two versions of a data centre's record are at least this far apart.
	dcRecordInterval = 300 * time.Millisecond
	dcRecordDelay    = 20 * time.Millisecond
)

// noteBeat takes over the platform contact in a beat of this data centre. The
// caller holds m.mu.
func (m *Membership) noteBeat(key string, now time.Time) {
	r, ok := m.cfg.Store.Get(key)
	var b Heartbeat
	if !ok || peer.Unmarshal(r.Value, &b) != nil || b.PlatformAgeMS < 0 {
		return
	}
	if at := now.Add(-time.Duration(b.PlatformAgeMS) * time.Millisecond); at.After(m.platform) {
		m.platform = at
	}
}

// gatewayLoop raises the beat and keeps the record of this data centre while
// this node is a gateway.
func (m *Membership) gatewayLoop(ctx context.Context) {
	ticker := time.NewTicker(beatCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.raiseBeat()
			m.expireContacts()
		case <-m.dirty:
			if !pause.For(ctx, dcRecordDelay) {
				return
			}
			m.publishDC()
			if !pause.For(ctx, dcRecordInterval) {
				return
			}
		}
	}
}

// raiseBeat raises the beat of this data centre when it is due. A gateway that
// has fresher platform contact than the beats show raises it as well.
func (m *Membership) raiseBeat() {
	rank := m.rank()
	if rank < 0 {
		return
	}
	now := m.cfg.Now()
	own := m.platformContact()
	m.mu.Lock()
	last := m.remotes[m.id.DataCentre].contact
	due := now.Sub(last) >= beatInterval+time.Duration(rank)*beatGrace
	fresher := !own.IsZero() && own.Sub(m.platform) >= beatInterval+beatGrace
	if own.After(m.platform) {
		m.platform = own
	}
	age := int64(-1)
	if !m.platform.IsZero() {
		age = now.Sub(m.platform).Milliseconds()
	}
	if due || fresher {
		r := m.remotes[m.id.DataCentre]
		r.contact = now
		m.remotes[m.id.DataCentre] = r
	}
	m.mu.Unlock()
	if due || fresher {
		m.setRising(HeartbeatPrefix+m.id.DataCentre, mustMarshal(Heartbeat{age}))
	}
}

func (m *Membership) platformContact() time.Time {
	if m.cfg.PlatformContact == nil {
		return time.Time{}
	}
	return m.cfg.PlatformContact()
}

// setRising stores a value under the next version. Versions follow the clock
// where possible, so that they also rise after the whole data centre restarts.
func (m *Membership) setRising(key string, value []byte) {
	version := uint64(m.cfg.Now().UnixMilli())
	if r, ok := m.cfg.Store.Get(key); ok && r.Version >= version {
		version = r.Version + 1
	}
	m.cfg.Store.Set(key, version, value)
}

// publishDC writes the record dc/<name> on the first gateway if it changed.
func (m *Membership) publishDC() {
	if m.rank() != 0 || !m.joined.Load() {
		return
	}
	v := m.view.Load()
	value := mustMarshal(newDCValue(m.cfg.Region, v.gateways, v.members))
	key := dcPrefix + m.id.DataCentre
	if r, ok := m.cfg.Store.Get(key); ok && bytes.Equal(r.Value, value) {
		return
	}
	m.setRising(key, value)
}

// expireContacts rebuilds the view when a data centre's contact has expired.
func (m *Membership) expireContacts() {
	now := m.cfg.Now()
	lost := 0
	m.mu.Lock()
	for dc, r := range m.remotes {
		if dc != m.id.DataCentre && now.Sub(r.contact) > contactLimit {
			lost++
		}
	}
	m.mu.Unlock()
	if lost != len(m.view.Load().lost) {
		m.update(func() {})
	}
}
