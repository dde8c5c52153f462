// Package store states what the product needs of the service that keeps its
// durable data: rows under versions and immutable objects. Package platform
// implements it over the platform's published protocol.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Error classes. Every error of a Table belongs to exactly one of them.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errs.Class("platform outcome unknown")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errs.Class("platform not found")
	// ErrRejected means that the platform refused the request as invalid.
	ErrRejected = errs.Class("platform rejected")
	// ErrCompacted means that the changes asked for are not kept any more; the
	// rows have to be listed.
	ErrCompacted = errs.Class("platform history compacted")
)

// Row is one row of the table.
type Row struct {
	Key      string
	Version  uint64 // rises by one with each write of the row
	Revision uint64 // table-wide order of writes
	Value    []byte
	Deleted  bool // only in changes: the row was removed
}

// Changes is what happened after a revision.
type Changes struct {
	Rows     []Row  // in the order of their revisions
	Revision uint64 // where the next call continues
}

// Table is a transactional table with a feed of its changes. Implementations
// are safe for concurrent use.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows with a key prefix that were written after a
	// revision, in the order of their revisions.
	List(ctx context.Context, prefix string, after uint64) ([]Row, error)
	// Snapshot returns all rows with a key prefix and the revision from which
	// Watch continues.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Put writes a row if its present version is ifVersion (0: the row must not
	// exist) and returns the new version. After ErrUnknownOutcome the row has to
	// be read to learn what happened.
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	// Remove removes a row if its present version is ifVersion.
	Remove(ctx context.Context, key string, ifVersion uint64) error
	// Watch returns the changes after a revision. It waits up to the given time
	// for the first one. The error may be of ErrCompacted.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// IsOutage reports whether err means that the store gave no usable answer.
func IsOutage(err error) bool {
	return ErrUnavailable.Has(err) || ErrUnknownOutcome.Has(err) ||
		errors.Is(err, context.DeadlineExceeded)
}
