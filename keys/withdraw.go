package keys

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/store"
)

// WithdrawPath is the path of WithdrawHandler on the operators listener.
const WithdrawPath = "/v1/keys/withdraw"

const (
	kindWithdraw = "KeyWithdraw"

	// Limit of the wait for one node, and for a gateway with its whole data
	// centre. R3 allows 2 s.
	nodeLimit = 600 * time.Millisecond
	dcLimit   = 1500 * time.Millisecond
	// Pause between two rounds of table writes; it doubles up to the maximum.
	writePause    = 500 * time.Millisecond
	maxWritePause = 5 * time.Second
	maxBodyBytes  = 4 << 10
)

// DataCentreResult tells how far a withdrawal has come in one data centre.
type DataCentreResult struct {
	DataCentre string `json:"data_centre" cbor:"1,keyasint"`
	InForce    int    `json:"in_force" cbor:"2,keyasint"` // nodes that confirmed it
	Missing    int    `json:"missing" cbor:"3,keyasint"`  // nodes that did not answer
	Reached    bool   `json:"reached" cbor:"4,keyasint"`  // at least one node confirmed it
}

// Complete reports whether every known node of the data centre confirmed the
// withdrawal.
func (r DataCentreResult) Complete() bool { return r.Reached && r.Missing == 0 }

// WithdrawResult is the outcome of a withdrawal.
type WithdrawResult struct {
	ID          string             `json:"id"`
	Known       bool               `json:"known"`        // the node knew a key with this ID
	DataCentres []DataCentreResult `json:"data_centres"` // ordered by name
	Table       string             `json:"table"`        // "written" or "pending"
}

type withdrawMessage struct {
	ID string `cbor:"1,keyasint"`
	// WholeDC asks the receiver to pass the withdrawal on to its data centre.
	WholeDC bool `cbor:"2,keyasint"`
}

// apply puts a withdrawal into force on this node and spreads it.
func (s *Store) apply(id string) {
	v := value{State: Withdrawn}
	if g := s.find(id); g != nil && g.state == Granted {
		v.Workspace, v.Digest = g.workspace, g.digest[:]
	}
	s.put(id, v)
	s.cfg.Store.SetShared(RowPrefix+id, uint64(Withdrawn), v.encode())
}

// Withdraw puts a withdrawal into force on this node, sends it to all reachable
// nodes and has the table written in the background until that has taken
// effect. The result lists the data centres that confirmed it.
func (s *Store) Withdraw(ctx context.Context, id string) (WithdrawResult, error) {
	if !ValidID(id) {
		return WithdrawResult{}, Class.New("not the ID of a key")
	}
	known := s.find(id) != nil
	s.apply(id)
	written := s.pending.add(id)
	ctx, cancel := context.WithTimeout(ctx, dcLimit)
	defer cancel()
	own := s.cfg.Mesh.Identity().DataCentre
	dcs := s.cfg.Peers.DataCentres()
	reaches := make([]DataCentreResult, len(dcs))
	var wg sync.WaitGroup
	for i, dc := range dcs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if dc == own {
				reaches[i] = s.withdrawLocal(ctx, id)
			} else {
				reaches[i] = s.withdrawRemote(ctx, dc, id)
			}
		}()
	}
	wg.Wait()
	sort.Slice(reaches, func(i, j int) bool { return reaches[i].DataCentre < reaches[j].DataCentre })
	return WithdrawResult{ID: id, Known: known, DataCentres: reaches, Table: tableState(ctx, written)}, nil
}

// tableState waits for the table until ctx ends.
func tableState(ctx context.Context, written <-chan struct{}) string {
	select {
	case <-written:
		return "written"
	case <-ctx.Done():
		return "pending"
	}
}

// withdrawLocal sends a withdrawal to all members of this data centre.
func (s *Store) withdrawLocal(ctx context.Context, id string) DataCentreResult {
	ctx, cancel := context.WithTimeout(ctx, nodeLimit)
	defer cancel()
	nodes := s.cfg.Peers.Local()
	answers := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() {
			answers <- s.cfg.Mesh.Call(ctx, node, kindWithdraw, withdrawMessage{ID: id}, nil) == nil
		}()
	}
	r := DataCentreResult{DataCentre: s.cfg.Mesh.Identity().DataCentre, InForce: 1, Reached: true}
	for range nodes {
		if <-answers {
			r.InForce++
		} else {
			r.Missing++
		}
	}
	return r
}

// withdrawRemote sends a withdrawal to all gateways of another data centre at
// once and returns the best answer.
func (s *Store) withdrawRemote(ctx context.Context, dc, id string) DataCentreResult {
	best := DataCentreResult{DataCentre: dc}
	gateways := s.cfg.Peers.Remote()[dc]
	answers := make(chan DataCentreResult, len(gateways))
	for _, node := range gateways {
		go func() {
			var r DataCentreResult
			if s.cfg.Mesh.Call(ctx, node, kindWithdraw, withdrawMessage{ID: id, WholeDC: true}, &r) != nil {
				r = DataCentreResult{}
			}
			answers <- r
		}()
	}
	for range gateways {
		if r := <-answers; r.DataCentre == dc && r.InForce > best.InForce {
			best = r
		}
		if best.Complete() {
			break
		}
	}
	return best
}

func (s *Store) handleWithdraw(ctx context.Context, _ peer.Identity, payload []byte) (any, error) {
	var msg withdrawMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	if !ValidID(msg.ID) {
		return nil, peer.ErrMalformed.New("not the ID of a key")
	}
	s.apply(msg.ID)
	if !msg.WholeDC {
		return DataCentreResult{}, nil
	}
	return s.withdrawLocal(ctx, msg.ID), nil
}

// WithdrawHandler serves POST {"id": "<key ID>"} and answers with a Result as
// JSON. The node mounts it at WithdrawPath on the operators listener.
func (s *Store) WithdrawHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req struct {
			ID string `json:"id"`
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || json.Unmarshal(body, &req) != nil || !ValidID(req.ID) {
			// The answer repeats nothing, in case a whole key was sent.
			refusal.Write(w, refusal.New(refusal.BadRequest, "the body must be {\"id\": \"<key ID>\"}"))
			return
		}
		result, err := s.Withdraw(r.Context(), req.ID)
		if err != nil {
			refusal.Write(w, refusal.FromError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result) // a write error means that the client is gone
	})
}

// pending is the set of withdrawals that the table may not show yet.
type pending struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	done map[string]chan struct{}
	wake chan struct{}
}

// add queues a table write. The result is closed when it has taken effect.
func (p *pending) add(id string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		p.done = map[string]chan struct{}{}
	}
	ch, ok := p.done[id]
	if !ok {
		ch = make(chan struct{})
		p.done[id] = ch
	}
	p.ids[id] = struct{}{}
	select {
	case p.signal() <- struct{}{}:
	default: // already signalled
	}
	return ch
}

// signal returns the channel that wakes the writer. The caller holds p.mu.
func (p *pending) signal() chan struct{} {
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

func (p *pending) waiting() (<-chan struct{}, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(p.ids))
	for id := range p.ids {
		ids = append(ids, id)
	}
	return p.signal(), ids
}

func (p *pending) finish(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
	if ch, ok := p.done[id]; ok {
		close(ch)
		delete(p.done, id)
	}
}

// writeLoop writes queued withdrawals to the table until each has taken effect.
func (s *Store) writeLoop(ctx context.Context) {
	wait := writePause
	for {
		wake, ids := s.pending.waiting()
		if len(ids) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			}
			wait = writePause
			continue
		}
		failed := false
		for _, id := range ids {
			if writeWithdrawal(ctx, s.cfg.Table, id, s.record(id)) == nil {
				s.pending.finish(id)
			} else {
				failed = true
			}
		}
		if failed {
			if !pause.For(ctx, wait/2+rand.N(wait)) {
				return
			}
			wait = min(2*wait, maxWritePause)
		}
	}
}

// record returns what is known of a withdrawn key, for its row.
func (s *Store) record(id string) value {
	v := value{State: Withdrawn}
	if g := s.find(id); g != nil && g.digest != (unknownGrant.digest) {
		v.Workspace, v.Digest = g.workspace, g.digest[:]
	}
	return v
}

const maxWriteTries = 4

// writeWithdrawal makes the row of a key say withdrawn. It returns nil only
// when the row certainly does.
func writeWithdrawal(ctx context.Context, t Table, id string, v value) error {
	var err error
	for range maxWriteTries {
		var row store.Row
		row, err = t.Get(ctx, RowPrefix+id)
		if err != nil && !store.ErrNotFound.Has(err) {
			return err
		}
		if err == nil {
			var stored value
			if peer.Unmarshal(row.Value, &stored) == nil {
				if stored.State == Withdrawn {
					return nil
				}
				v.Workspace, v.Digest = stored.Workspace, stored.Digest
			}
		}
		if _, err = t.Put(ctx, RowPrefix+id, row.Version, v.encode()); err == nil {
			return nil
		}
		if !store.ErrConflict.Has(err) && !store.ErrUnknownOutcome.Has(err) {
			return err
		}
	}
	return err
}
