// Package ledger makes a request that carries a request ID run at most once. A
// row of the platform's table, created before the request runs, is the only
// shared state; no row is ever reused for a second run unless the first one
// certainly did not happen.
package ledger

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/store"
)

// MaxRecordedBody is the largest answer body that is recorded, in bytes. Larger
// answers are not replayed.
const MaxRecordedBody = 4 << 10

// MaxRequestID is the longest accepted request ID, in bytes.
const MaxRequestID = 128

const (
	tokenBytes       = 16
	readBackPause    = 20 * time.Millisecond
	abandonWait      = 300 * time.Millisecond // how long Abandon may delay a refusal
	backgroundLimit  = time.Minute            // after it a row stays started
	backgroundPause  = 250 * time.Millisecond
	backgroundAtOnce = 32 // concurrent background writes, so that an outage's backlog does not flood the table
)

// Table is the part of the store that the ledger uses.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Request identifies a request that may be repeated.
type Request struct {
	Workspace string
	RequestID string            // the caller's own ID
	Digest    [sha256.Size]byte // of the request's method, path and body
}

// Answer is a recorded answer.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Omitted     bool   `cbor:"4,keyasint,omitempty"` // the body was too large to record
}

type state uint8

const (
	started state = iota + 1
	abandoned
	done
)

// record is the value of a row.
type record struct {
	Token  []byte `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	State  state  `cbor:"3,keyasint"`
	Answer Answer `cbor:"4,keyasint,omitempty"`
}

// Ledger is safe for concurrent use.
type Ledger struct {
	table Table
	slots chan struct{} // limits background writes
	wg    sync.WaitGroup
	stop  chan struct{}
	once  sync.Once
}

// New returns a ledger on the given table.
func New(table Table) *Ledger {
	return &Ledger{table: table, slots: make(chan struct{}, backgroundAtOnce), stop: make(chan struct{})}
}

// Close waits until the outcomes of finished requests are written, or until ctx
// ends; it then gives up the rest, whose repeats are answered as "may have run".
func (l *Ledger) Close(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		l.once.Do(func() { close(l.stop) })
		<-finished
		return ctx.Err()
	}
}

// Entry is the right to run one request. Exactly one of Done, Abandon and Leave
// must be called.
type Entry struct {
	ledger  *Ledger
	key     string
	version uint64
	rec     record
}

// Begin decides whether a request may run. It returns an Entry if it may, the
// recorded Answer if it ran before, or else a *refusal.Refusal: duplicate,
// ledger_unavailable or bad_request.
func (l *Ledger) Begin(ctx context.Context, r Request) (*Entry, *Answer, error) {
	if r.RequestID == "" || len(r.RequestID) > MaxRequestID {
		return nil, nil, refusal.New(refusal.BadRequest, "request ID must have 1 to %d bytes", MaxRequestID)
	}
	e := &Entry{ledger: l, key: rowKey(r), rec: record{Token: newToken(), Digest: r.Digest[:], State: started}}
	return l.claim(ctx, e)
}

// claim writes the row of e, reading it back whenever the outcome is unknown.
// The loop is safe to repeat because each write is conditional on the version
// that the last read showed.
func (l *Ledger) claim(ctx context.Context, e *Entry) (*Entry, *Answer, error) {
	uncertain := false
	for {
		version, err := l.put(ctx, e.key, e.version, e.rec)
		if err == nil {
			e.version = version
			return e, nil, nil
		}
		uncertain = uncertain || store.ErrUnknownOutcome.Has(err)
		if store.ErrConflict.Has(err) || store.ErrUnknownOutcome.Has(err) {
			mine, answer, settled, refused := l.readBack(ctx, e)
			if mine || settled {
				return entryIf(mine, e), answer, refused
			}
		} else if !uncertain {
			return nil, nil, unavailable(err)
		}
		if !pause.For(ctx, readBackPause) {
			if uncertain {
				l.releaseLater(e)
			}
			return nil, nil, unavailable(err)
		}
	}
}

func entryIf(mine bool, e *Entry) *Entry {
	if mine {
		return e
	}
	return nil
}

// readBack learns from the row what became of a claim. settled is false when
// the claim has to be written (again), with e.version set to the version found.
func (l *Ledger) readBack(ctx context.Context, e *Entry) (mine bool, answer *Answer, settled bool, err error) {
	version, rec, err := l.get(ctx, e.key)
	if store.ErrNotFound.Has(err) {
		e.version = 0
		return false, nil, false, nil
	}
	if err != nil {
		return false, nil, false, nil
	}
	if string(rec.Token) == string(e.rec.Token) {
		e.version = version
		return true, nil, true, nil
	}
	if rec.State == abandoned {
		e.version = version
		return false, nil, false, nil
	}
	answer, err = repeated(rec, e.rec.Digest)
	return false, answer, true, err
}

// repeated answers a repeat of a request whose row belongs to another attempt.
func repeated(rec record, digest []byte) (*Answer, error) {
	switch {
	case string(rec.Digest) != string(digest):
		return nil, refusal.New(refusal.BadRequest, "request ID was used for another request")
	case rec.State == done && !rec.Answer.Omitted:
		return &rec.Answer, nil
	case rec.State == done:
		return nil, refusal.NewRan(refusal.Duplicate, refusal.RanYes, "request ran with status %d; its answer was too large to record", rec.Answer.Status)
	}
	return nil, refusal.NewRan(refusal.Duplicate, refusal.RanMaybe, "request was started before and its outcome is not known")
}

// Done records the answer of a request that ran. It returns at once; the write
// goes on in the background.
func (e *Entry) Done(a Answer) {
	if len(a.Body) > MaxRecordedBody {
		a.Body, a.Omitted = nil, true
	}
	e.rec.State, e.rec.Answer = done, a
	e.ledger.background(func(ctx context.Context) bool { return e.ledger.settle(ctx, e) })
}

// Abandon records that the request certainly did not run, so that a repeat may
// run. It waits a short while for the write, so that a caller who repeats at
// once succeeds, and goes on in the background.
func (e *Entry) Abandon(ctx context.Context) {
	e.rec.State = abandoned
	finished := make(chan struct{})
	e.ledger.background(func(ctx context.Context) bool {
		if !e.ledger.settle(ctx, e) {
			return false
		}
		close(finished)
		return true
	})
	timer := time.NewTimer(abandonWait)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// KeepStarted keeps the row as started: the request may have run and nobody knows.
func (e *Entry) KeepStarted() {}

// releaseLater marks the row of a claim of unknown outcome as abandoned. If the
// row does not exist it writes an abandoned one, which makes a claim that is
// still on its way fail.
func (l *Ledger) releaseLater(e *Entry) {
	e.rec.State = abandoned
	l.background(func(ctx context.Context) bool {
		version, rec, err := l.get(ctx, e.key)
		if err != nil && !store.ErrNotFound.Has(err) {
			return false
		}
		if err == nil && l.cannotTakeEffect(e, rec) {
			return true
		}
		e.version = version // 0 if the row does not exist
		_, err = l.put(ctx, e.key, e.version, e.rec)
		return err == nil
	})
}

// cannotTakeEffect reports whether a claim of e that is still on its way will
// fail. A row that another attempt abandoned may be the one that the claim was
// conditional on, so its version has to be raised first.
func (l *Ledger) cannotTakeEffect(e *Entry, rec record) bool {
	mine := string(rec.Token) == string(e.rec.Token)
	return mine == (rec.State == abandoned)
}

// settle writes the final state of e. It reports whether nothing is left to do.
func (l *Ledger) settle(ctx context.Context, e *Entry) bool {
	_, err := l.put(ctx, e.key, e.version, e.rec)
	if err == nil {
		return true
	}
	version, rec, err := l.get(ctx, e.key)
	if err != nil {
		return store.ErrNotFound.Has(err)
	}
	if string(rec.Token) != string(e.rec.Token) || rec.State == e.rec.State {
		return true
	}
	e.version = version
	return false
}

// background repeats write until it returns true, the limit passes or the
// ledger is closed.
func (l *Ledger) background(write func(ctx context.Context) bool) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundLimit)
		defer cancel()
		go func() {
			select {
			case <-l.stop:
				cancel()
			case <-ctx.Done():
			}
		}()
		for !l.tryWrite(ctx, write) {
			if !pause.For(ctx, backgroundPause) {
				return
			}
		}
	}()
}

func (l *Ledger) tryWrite(ctx context.Context, write func(ctx context.Context) bool) bool {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.slots }()
	return write(ctx)
}

func (l *Ledger) put(ctx context.Context, key string, ifVersion uint64, rec record) (uint64, error) {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return 0, store.ErrRejected.Wrap(err)
	}
	return l.table.Put(ctx, key, ifVersion, value)
}

func (l *Ledger) get(ctx context.Context, key string) (uint64, record, error) {
	row, err := l.table.Get(ctx, key)
	if err != nil {
		return 0, record{}, err
	}
	var rec record
	if err := cbor.Unmarshal(row.Value, &rec); err != nil {
		return 0, record{}, store.ErrRejected.Wrap(err)
	}
	return row.Version, rec, nil
}

// rowKey hashes the request ID because callers choose it freely.
func rowKey(r Request) string {
	sum := sha256.Sum256([]byte(r.RequestID))
	return "once/" + r.Workspace + "/" + hex.EncodeToString(sum[:])
}

func newToken() []byte {
	token := make([]byte, tokenBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(token)
	return token
}

func unavailable(err error) *refusal.Refusal {
	return refusal.New(refusal.LedgerUnavailable, "request cannot be recorded, so it was not run: %v", err).WithRetryAfter(time.Second)
}
