// Package store defines the interface to the transactional table that holds the
// nodes' durable data, and the classes of its errors. Package platform implements it
// over the platform's published protocol.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Error classes. Every error of a Table belongs to exactly one of them. If ctx ends, the
// error is of class ErrUnavailable or ErrUnknownOutcome.
var (
	// ErrUnavailable means that there was no usable response and that the call
	// certainly had no effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errs.Class("platform outcome unknown")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound means that the row, or the object of package platform, does not exist.
	ErrNotFound = errs.Class("platform not found")
	// ErrRejected means that the platform refused the request as invalid.
	ErrRejected = errs.Class("platform rejected")
	// ErrCompacted means that the store has discarded the requested changes; a new
	// snapshot has to be read.
	ErrCompacted = errs.Class("platform history compacted")
)

// Row is one row of the table.
type Row struct {
	Key      string
	Version  uint64 // 1 after the first write, increases by one with each further one; starts again after a removal
	Revision uint64 // table-wide sequence number of the write
	Value    []byte
	Deleted  bool // set by Watch only: the row was removed; Version is 0 and Value is empty
	Era      Era  // in which the row was read
}

// Changes are the rows that changed after a position, or those of a snapshot.
type Changes struct {
	Rows     []Row    // in the order of their revisions
	Position Position // from which the next Watch continues
}

// Table is a transactional table with a change feed. Implementations are safe for
// concurrent use.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows with a key prefix that were written after a
	// revision, in the order of their revisions. Removed rows are not included.
	List(ctx context.Context, prefix string, after uint64) ([]Row, error)
	// Snapshot returns all rows with a key prefix and the revision from which
	// Watch continues.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Put writes a row if its current version is ifVersion (0: the row must not
	// exist) and returns the new version. It returns ErrConflict for another version, and
	// for one that was read in an earlier era. After ErrUnknownOutcome the row has to be
	// read to find out whether it was written.
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	// Remove removes a row if its current version is ifVersion. It returns ErrConflict
	// for another version, for one that was read in an earlier era, and for a missing row. After ErrUnknownOutcome the row has to
	// be read to find out whether it was removed.
	Remove(ctx context.Context, key string, ifVersion uint64) error
	// Watch returns the changes of all rows of the table after a position. It waits up
	// to the given time for the first one and returns no rows if there was none. The
	// error may be ErrCompacted, and is if the position is of an earlier era.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes, error)
	// Era returns the newest era that an answer has named, or 0 if none has.
	Era() Era
}

// IsOutage reports whether err means that the store gave no usable response.
func IsOutage(err error) bool {
	return ErrUnavailable.Has(err) || ErrUnknownOutcome.Has(err) ||
		errors.Is(err, context.DeadlineExceeded)
}
