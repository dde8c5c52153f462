// Package publish writes a configuration document to the platform: first the
// encoded document to the object store under its digest, then the digest to the
// table row by compare-and-swap. The configuration is published once the
// compare-and-swap has taken effect.
package publish

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error classes. Every error of Publish belongs to exactly one of them.
var (
	// ErrInvalid means that the document is invalid or too large.
	ErrInvalid = errs.Class("publish: document invalid")
	// ErrConflict means that another version was published in the meantime. A
	// *ConflictError in the chain names the version to start from.
	ErrConflict = errs.Class("publish: conflict")
	// ErrUnavailable means that the platform could not be reached. From Publish, it
	// also means that nothing was published.
	ErrUnavailable = errs.Class("publish: platform unreachable, nothing was published")
	// ErrUnknownOutcome means that the document may have been published or may
	// still be. An *UnknownOutcomeError in the chain holds what is known.
	ErrUnknownOutcome = errs.Class("publish: outcome unknown")
	// ErrRejected means that the request failed for a reason other than an outage,
	// for example because the platform rejected it as invalid.
	ErrRejected = errs.Class("publish: platform rejected the request")
	// ErrMalformed means that the table row cannot be decoded or encoded.
	ErrMalformed = errs.Class("publish: row malformed")
)

const (
	// MaxEncodedBytes is the maximum size of an encoded document. Every node holds
	// it in memory and passes it on to other nodes.
	MaxEncodedBytes = 4 << 20

	readBackTries    = 5                      // reads after a write of unknown outcome
	readBackInterval = 200 * time.Millisecond // between these reads
	readBackTimeout  = 10 * time.Second       // for all of them
)

// Client is the subset of platform.Client that Publish uses. Its errors are of the
// classes of package store. It must be safe for concurrent use if the Publisher is
// used concurrently.
type Client interface {
	RowReader
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	PutObject(ctx context.Context, data []byte) (string, error)
}

// ConflictError means that the version that the operator started from is not the
// current one.
type ConflictError struct {
	From    uint64  // version that the operator started from
	Current Current // version to start from instead; zero if Known is false
	Known   bool    // whether the current version could be read
}

// Error implements error.
func (c *ConflictError) Error() string {
	if !c.Known {
		return fmt.Sprintf("version %d is not the present one, and the present one could not be read", c.From)
	}
	return fmt.Sprintf("started from version %d, but version %d is present; start from version %d", c.From, c.Current.Version, c.Current.Version)
}

// UnknownOutcomeError describes what is known after a write whose response was
// lost. Publishing the same document again from the same version is safe: it has
// no further effect if the first write has arrived or arrives later.
type UnknownOutcomeError struct {
	From    uint64  // version that the operator started from
	Digest  string  // of the document to publish
	Current Current // what was read back; zero if Known is false
	Known   bool    // whether the row could be read back
}

// Error implements error.
func (u *UnknownOutcomeError) Error() string {
	state := "the row could not be read back"
	if u.Known {
		state = fmt.Sprintf("version %d is present and does not tell", u.Current.Version)
	}
	return fmt.Sprintf("the answer to the write of digest %.12s from version %d was lost and %s; "+
		"the same document may be published again from version %d", u.Digest, u.From, state, u.From)
}

// Publisher publishes documents. It is safe for concurrent use.
type Publisher struct {
	Client Client
	// Pause waits for d or until ctx ends. If it is nil, a timer is used.
	Pause func(ctx context.Context, d time.Duration)
}

// Publish validates d, stores it and updates the table row if it is still at the
// version that the operator started from (0: nothing was published yet). It writes
// the row at most once and returns the new version with its digest. If the outcome of
// the write is unknown, it reads the row back for up to 10 s, even after ctx is
// cancelled.
func Publish(ctx context.Context, client Client, from uint64, d *config.Document) (Current, error) {
	return Publisher{Client: client}.Publish(ctx, from, d)
}

// Publish is like the function Publish, with the client and pause of p.
func (p Publisher) Publish(ctx context.Context, from uint64, d *config.Document) (Current, error) {
	encoded, err := encode(d)
	if err != nil {
		return Current{}, err
	}
	digest, err := p.Client.PutObject(ctx, encoded)
	if err != nil {
		// An object that no row refers to has no effect, so the outcome is known.
		return Current{}, classifyFailure(err)
	}
	value, err := EncodeRow(digest)
	if err != nil {
		return Current{}, err
	}
	version, err := p.Client.Put(ctx, RowKey, from, value)
	switch {
	case err == nil:
		return Current{Version: version, Digest: digest}, nil
	case store.ErrConflict.Has(err):
		return p.resolveConflict(ctx, from, digest)
	case store.ErrUnknownOutcome.Has(err):
		return p.readBack(ctx, from, digest)
	}
	return Current{}, classifyFailure(err)
}

func encode(d *config.Document) ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	encoded, err := config.Encode(d)
	if err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	if len(encoded) > MaxEncodedBytes {
		return nil, ErrInvalid.New("%d bytes encoded, more than %d", len(encoded), MaxEncodedBytes)
	}
	return encoded, nil
}

// classifyFailure wraps the error of a request that had no effect.
func classifyFailure(err error) error {
	if store.IsOutage(err) {
		return ErrUnavailable.Wrap(err)
	}
	return ErrRejected.Wrap(err)
}

// resolveConflict returns an error with the current version. If the same document was
// published from the same version, it returns that version as a success.
func (p Publisher) resolveConflict(ctx context.Context, from uint64, digest string) (Current, error) {
	current, err := ReadCurrent(ctx, p.Client)
	if err == nil && current == (Current{from + 1, digest}) {
		return current, nil
	}
	return Current{}, ErrConflict.Wrap(&ConflictError{From: from, Current: current, Known: err == nil})
}

// readBack determines whether a write whose response was lost took effect. It
// continues after ctx is cancelled, because the operator needs the outcome then
// too.
func (p Publisher) readBack(ctx context.Context, from uint64, digest string) (Current, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	unknown := &UnknownOutcomeError{From: from, Digest: digest}
	for try := range readBackTries {
		if try > 0 {
			p.pause(ctx, readBackInterval)
		}
		current, err := ReadCurrent(ctx, p.Client)
		if err != nil {
			continue
		}
		unknown.Current, unknown.Known = current, true
		if current.Version == from {
			continue // the write may still take effect
		}
		if current.Version == from+1 && current.Digest == digest {
			return current, nil
		}
		if current.Version == from+1 {
			return Current{}, ErrConflict.Wrap(&ConflictError{From: from, Current: current, Known: true})
		}
		break // a later version does not show which document was version from+1
	}
	return Current{}, ErrUnknownOutcome.Wrap(unknown)
}

func (p Publisher) pause(ctx context.Context, d time.Duration) {
	if p.Pause != nil {
		p.Pause(ctx, d)
		return
	}
	pause.For(ctx, d)
}
