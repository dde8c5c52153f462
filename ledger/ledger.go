// Package ledger makes a request that carries a request ID run at most once,
// and answers repeats of it with the recorded answer. The only shared state is
// a row of the platform's table, which is created before the request runs. A
// row is used for a second run only if the first one certainly did not happen.
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
	tokenBytes              = 16
	readBackInterval        = 20 * time.Millisecond
	maxAbandonWait          = 300 * time.Millisecond // longest time that Abandon delays a refusal
	backgroundTimeout       = time.Minute            // after this the row stays in state started
	backgroundRetryInterval = 250 * time.Millisecond
	maxBackgroundWrites     = 32 // concurrent; keeps the backlog of an outage from overloading the table
)

// Table is the part of the store that the ledger uses. Its errors are of the
// classes of package store.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Request identifies a request that may be repeated.
type Request struct {
	Workspace string
	RequestID string            // chosen by the caller
	Digest    [sha256.Size]byte // hash of the request's content; a repeat with another digest is refused
}

// Answer is the response recorded for a request that ran.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Omitted     bool   `cbor:"4,keyasint,omitempty"` // the body was too large to record
}

func (a *Answer) hasFinalStatus() bool { return a.Status >= 200 && a.Status <= 599 }

type state uint8

const (
	started   state = iota + 1 // the request may have run
	abandoned                  // it certainly did not run; a repeat may
	done                       // it ran; Answer is recorded
)

// record is the value of a row. Token identifies the call of Begin that wrote it.
type record struct {
	Token  []byte `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	State  state  `cbor:"3,keyasint"`
	Answer Answer `cbor:"4,keyasint,omitempty"`
}

// Ledger records requests in a Table. It is safe for concurrent use.
type Ledger struct {
	table      Table
	writeSlots chan struct{} // semaphore of background writes
	wg         sync.WaitGroup
	stop       chan struct{}
	stopOnce   sync.Once
}

// New returns a ledger on the given table.
func New(table Table) *Ledger {
	return &Ledger{table: table, writeSlots: make(chan struct{}, maxBackgroundWrites), stop: make(chan struct{})}
}

// Close waits until the outcomes of finished requests are written. If ctx ends
// first, it cancels the remaining writes and returns the error of ctx; repeats
// of those requests are refused as Duplicate with RanMaybe. The ledger may be
// used again only if Close returned nil.
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
		l.stopOnce.Do(func() { close(l.stop) })
		<-finished
		return ctx.Err()
	}
}

// Entry is the right to run one request. Exactly one of Done, Abandon and
// KeepStarted must be called, once. Entry is not safe for concurrent use.
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

// claim writes the row of e. It reads the row back after a conflict or an unknown
// outcome. Repeating the write is safe because each one is conditional on the
// version that the last read returned.
func (l *Ledger) claim(ctx context.Context, e *Entry) (*Entry, *Answer, error) {
	unknownOutcome := false
	for {
		version, err := l.put(ctx, e.key, e.version, e.rec)
		if err == nil {
			e.version = version
			return e, nil, nil
		}
		unknownOutcome = unknownOutcome || store.ErrUnknownOutcome.Has(err)
		if store.ErrConflict.Has(err) || store.ErrUnknownOutcome.Has(err) {
			claimed, answer, decided, refused := l.readBack(ctx, e)
			if claimed || decided {
				return entryIf(claimed, e), answer, refused
			}
		} else if !unknownOutcome {
			return nil, nil, unavailable(err)
		}
		if !pause.For(ctx, readBackInterval) {
			if unknownOutcome {
				l.abandonInBackground(e)
			}
			return nil, nil, unavailable(err)
		}
	}
}

func entryIf(claimed bool, e *Entry) *Entry {
	if claimed {
		return e
	}
	return nil
}

// readBack reads the row to find the outcome of a claim. If decided, exactly one
// of claimed (the row holds the claim of e), answer and err (a *refusal.Refusal)
// is set. Otherwise the claim has to be written again; if the read succeeded,
// e.version is then the version found, or 0 if there is no row.
func (l *Ledger) readBack(ctx context.Context, e *Entry) (claimed bool, answer *Answer, decided bool, err error) {
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
	answer, err = answerRepeat(rec, e.rec.Digest)
	return false, answer, true, err
}

// answerRepeat answers a request whose row was written by another call of Begin.
func answerRepeat(rec record, digest []byte) (*Answer, error) {
	switch {
	case string(rec.Digest) != string(digest):
		return nil, refusal.New(refusal.BadRequest, "request ID was used for another request")
	case rec.State == done && !rec.Answer.hasFinalStatus():
		return nil, refusal.NewRan(refusal.Duplicate, refusal.RanYes, "request ran; its recorded answer has the invalid status %d", rec.Answer.Status)
	case rec.State == done && !rec.Answer.Omitted:
		return &rec.Answer, nil
	case rec.State == done:
		return nil, refusal.NewRan(refusal.Duplicate, refusal.RanYes, "request ran with status %d; its answer was too large to record", rec.Answer.Status)
	}
	return nil, refusal.NewRan(refusal.Duplicate, refusal.RanMaybe, "request was started before and its outcome is not known")
}

// Done records the answer of a request that ran. It returns at once; the record
// is written in the background.
func (e *Entry) Done(a Answer) {
	if len(a.Body) > MaxRecordedBody {
		a.Body, a.Omitted = nil, true
	}
	e.rec.State, e.rec.Answer = done, a
	e.ledger.retryInBackground(func(ctx context.Context) bool { return e.ledger.writeOutcome(ctx, e) })
}

// Abandon records that the request certainly did not run, so that a repeat may
// run. It waits up to maxAbandonWait for the write, so that a caller who repeats
// at once succeeds; after that the write continues in the background.
func (e *Entry) Abandon(ctx context.Context) {
	e.rec.State = abandoned
	finished := make(chan struct{})
	e.ledger.retryInBackground(func(ctx context.Context) bool {
		if !e.ledger.writeOutcome(ctx, e) {
			return false
		}
		close(finished)
		return true
	})
	timer := time.NewTimer(maxAbandonWait)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// KeepStarted leaves the row in state started: it is not known whether the
// request ran, so repeats are refused.
func (e *Entry) KeepStarted() {}

// abandonInBackground marks the row of a claim with an unknown outcome as
// abandoned. If the row does not exist, it writes an abandoned one, which makes
// a claim still in flight fail.
func (l *Ledger) abandonInBackground(e *Entry) {
	e.rec.State = abandoned
	l.retryInBackground(func(ctx context.Context) bool {
		version, rec, err := l.get(ctx, e.key)
		if err != nil && !store.ErrNotFound.Has(err) {
			return false
		}
		if err == nil && l.claimWillFail(e, rec) {
			return true
		}
		e.version = version // 0 if the row does not exist
		_, err = l.put(ctx, e.key, e.version, e.rec)
		return err == nil
	})
}

// claimWillFail reports whether a claim of e that is still in flight will fail,
// given the row's record. It will if the row was written after it: as abandoned
// by e itself, or as started or done by another call of Begin. Otherwise the row
// has to be written once more: if it holds the claim itself, or if another call
// abandoned it, as it may then have the version that the claim is conditional on.
func (l *Ledger) claimWillFail(e *Entry, rec record) bool {
	own := string(rec.Token) == string(e.rec.Token)
	return own == (rec.State == abandoned)
}

// writeOutcome writes the final state of e. It returns false if the write has to
// be repeated.
func (l *Ledger) writeOutcome(ctx context.Context, e *Entry) bool {
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

// retryInBackground calls write in a goroutine until it returns true,
// backgroundTimeout passes or Close cancels it.
func (l *Ledger) retryInBackground(write func(ctx context.Context) bool) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		go func() {
			select {
			case <-l.stop:
				cancel()
			case <-ctx.Done():
			}
		}()
		for !l.tryWrite(ctx, write) {
			if !pause.For(ctx, backgroundRetryInterval) {
				return
			}
		}
	}()
}

func (l *Ledger) tryWrite(ctx context.Context, write func(ctx context.Context) bool) bool {
	select {
	case l.writeSlots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.writeSlots }()
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

// rowKey returns the key of the request's row. The request ID is hashed because
// callers choose it freely, so it may contain any bytes.
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
