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

	// withdrawalTimeout bounds a whole withdrawal, including the calls to gateways of
	// other data centres. nodeTimeout bounds the calls to the nodes of the local data
	// centre. A withdrawal has to be in force on all reachable nodes within 2 s (R3
	// in docs/design.md).
	nodeTimeout       = 600 * time.Millisecond
	withdrawalTimeout = 1500 * time.Millisecond
	// writeBackoff is the pause after a failed round of table writes. It doubles up
	// to maxWriteBackoff.
	writeBackoff    = 500 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
	maxBodyBytes    = 4 << 10
)

// DataCentreResult is the progress of a withdrawal in one data centre.
type DataCentreResult struct {
	DataCentre string `json:"data_centre" cbor:"1,keyasint"`
	InForce    int    `json:"in_force" cbor:"2,keyasint"` // nodes that confirmed it
	Missing    int    `json:"missing" cbor:"3,keyasint"`  // nodes that did not confirm it
	Reached    bool   `json:"reached" cbor:"4,keyasint"`  // at least one node confirmed it
}

// Complete reports whether every known node of the data centre confirmed the
// withdrawal.
func (r DataCentreResult) Complete() bool { return r.Reached && r.Missing == 0 }

// WithdrawResult is the result of a withdrawal that was sent through one node.
type WithdrawResult struct {
	ID          string             `json:"id"`
	Known       bool               `json:"known"`        // the node knew a key with this ID
	DataCentres []DataCentreResult `json:"data_centres"` // ordered by name
	Table       string             `json:"table"`        // "written" or "pending"
}

type withdrawMessage struct {
	ID string `cbor:"1,keyasint"`
	// WholeDC asks the receiver to pass the withdrawal on to all nodes of its data
	// centre.
	WholeDC bool `cbor:"2,keyasint"`
}

// apply withdraws the key on this node and publishes a gossip record of the
// withdrawal.
func (s *Store) apply(id string) {
	v := value{State: Withdrawn}
	if e := s.find(id); e != nil && e.state == Granted {
		v.Workspace, v.Digest = e.workspace, e.digest[:]
	}
	s.put(id, v)
	s.cfg.Store.SetShared(RowPrefix+id, uint64(Withdrawn), v.encode())
}

// Withdraw withdraws a key on this node, sends the withdrawal to all reachable nodes
// and queues the table write. It returns after at most 1.5 s; while Run is running, a
// table write that is still pending is retried until it has taken effect. The result
// lists how many nodes of each data centre confirmed the withdrawal. The error is of
// class Class and means that id is not the ID of a key.
func (s *Store) Withdraw(ctx context.Context, id string) (WithdrawResult, error) {
	if !ValidID(id) {
		return WithdrawResult{}, Class.New("not the ID of a key")
	}
	known := s.find(id) != nil
	s.apply(id)
	written := s.pending.add(id)
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	own := s.cfg.Mesh.Identity().DataCentre
	dcs := s.cfg.Peers.DataCentres()
	results := make([]DataCentreResult, len(dcs))
	var wg sync.WaitGroup
	for i, dc := range dcs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if dc == own {
				results[i] = s.withdrawLocal(ctx, id)
			} else {
				results[i] = s.withdrawRemote(ctx, dc, id)
			}
		}()
	}
	wg.Wait()
	sort.Slice(results, func(i, j int) bool { return results[i].DataCentre < results[j].DataCentre })
	return WithdrawResult{ID: id, Known: known, DataCentres: results, Table: tableState(ctx, written)}, nil
}

// tableState waits for the table write until ctx ends.
func tableState(ctx context.Context, written <-chan struct{}) string {
	select {
	case <-written:
		return "written"
	case <-ctx.Done():
		return "pending"
	}
}

// withdrawLocal sends a withdrawal to all other nodes of this data centre. The
// result includes this node.
func (s *Store) withdrawLocal(ctx context.Context, id string) DataCentreResult {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	nodes := s.cfg.Peers.Local()
	confirmed := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() {
			confirmed <- s.cfg.Mesh.Call(ctx, node, kindWithdraw, withdrawMessage{ID: id}, nil) == nil
		}()
	}
	r := DataCentreResult{DataCentre: s.cfg.Mesh.Identity().DataCentre, InForce: 1, Reached: true}
	for range nodes {
		if <-confirmed {
			r.InForce++
		} else {
			r.Missing++
		}
	}
	return r
}

// withdrawRemote sends a withdrawal to all gateways of another data centre in
// parallel and returns the first complete result, or else the one with the most
// confirmations.
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

// WithdrawHandler serves POST requests with the body {"id": "<key ID>"} and
// responds with a WithdrawResult as JSON. The node mounts it at WithdrawPath on
// the operators listener.
func (s *Store) WithdrawHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req struct {
			ID string `json:"id"`
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || json.Unmarshal(body, &req) != nil || !ValidID(req.ID) {
			// The response repeats nothing of the body, in case it holds a whole key.
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

// pendingWrites is the set of withdrawals whose table write is not confirmed yet.
// It is safe for concurrent use.
type pendingWrites struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	done map[string]chan struct{}
	wake chan struct{}
}

// add queues a table write. The returned channel is closed when the write has
// taken effect.
func (p *pendingWrites) add(id string) <-chan struct{} {
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
func (p *pendingWrites) signal() chan struct{} {
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// list returns the channel that signals additions and the queued IDs.
func (p *pendingWrites) list() (<-chan struct{}, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(p.ids))
	for id := range p.ids {
		ids = append(ids, id)
	}
	return p.signal(), ids
}

// finish removes a withdrawal whose table write has taken effect.
func (p *pendingWrites) finish(id string) {
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
	wait := writeBackoff
	for {
		wake, ids := s.pending.list()
		if len(ids) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			}
			wait = writeBackoff
			continue
		}
		failed := false
		for _, id := range ids {
			if writeWithdrawal(ctx, s.cfg.Table, id, s.withdrawnValue(id)) == nil {
				s.pending.finish(id)
			} else {
				failed = true
			}
		}
		if failed {
			if !pause.For(ctx, wait/2+rand.N(wait)) {
				return
			}
			wait = min(2*wait, maxWriteBackoff)
		}
	}
}

// withdrawnValue returns the row content of a withdrawn key, with its workspace
// and digest if this node knows them.
func (s *Store) withdrawnValue(id string) value {
	v := value{State: Withdrawn}
	if e := s.find(id); e != nil && e.digest != (unknownEntry.digest) {
		v.Workspace, v.Digest = e.workspace, e.digest[:]
	}
	return v
}

const maxWriteTries = 4

// writeWithdrawal marks the table row of a key as withdrawn. It returns nil only
// when the row is confirmed to be so. Conflicts and unknown outcomes are retried
// up to maxWriteTries in total.
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
