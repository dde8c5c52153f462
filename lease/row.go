package lease

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/store"
)

// ErrRow is the class of holder rows that cannot be decoded.
var ErrRow = errs.Class("lease: holder row")

// ErrNotHolder is the class of operations that only the holder may do.
var ErrNotHolder = errs.Class("lease: not the holder")

// RowPrefix is the prefix of the keys of all holder rows.
const RowPrefix = "holder/"

// maxWitnesses bounds the witness set, so that the cost of a takeover and the
// size of the row do not depend on the size of the data centre.
const maxWitnesses = 7

// minWitnesses is the size below which the witness set does not shrink.
const minWitnesses = 3

// Row is the content of a data centre's holder row.
//
// The holder may rely on its members in place of the platform only because the
// row names them: whoever takes over has to fence a majority of exactly that
// set, whatever either side believes about the membership.
type Row struct {
	Node        string     `cbor:"1,keyasint"` // "" after a planned stop without successor
	Incarnation uint64     `cbor:"2,keyasint"`
	Epoch       uint64     `cbor:"3,keyasint"`           // rises with each change of the holder
	Witnesses   []string   `cbor:"4,keyasint"`           // members whose majority keeps this holder in office
	Fences      [][]string `cbor:"5,keyasint,omitempty"` // witness sets of earlier holders that this one has to fence first
	FirstHolder bool       `cbor:"6,keyasint,omitempty"` // there was no earlier holder, so there is nothing to wait for
	PlannedStop bool       `cbor:"7,keyasint,omitempty"` // the earlier holder stopped by plan: its leases run out, but nothing has to be fenced
	Handover    string     `cbor:"8,keyasint,omitempty"` // names the state that the earlier holder passed to Node
	State       []byte     `cbor:"9,keyasint,omitempty"` // kept for the Tenant across holders
}

// Released reports whether the row names no holder.
func (r *Row) Released() bool { return r.Node == "" }

// sets returns every witness set that keeps a holder in office or may do so.
func (r *Row) sets() [][]string {
	if r.Released() {
		return r.Fences
	}
	return appendSet(slices.Clone(r.Fences), r.Witnesses)
}

func appendSet(sets [][]string, set []string) [][]string {
	if len(set) == 0 || slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) }) {
		return sets
	}
	return append(sets, set)
}

// DecodeRow parses the value of a holder row. The error is of class ErrRow.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	err := cbor.Unmarshal(value, &r)
	return r, ErrRow.Wrap(err)
}

func (r *Row) encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, ErrRow.Wrap(err)
}

// Table is the part of the store that a Elector uses. Errors are of the
// classes of package platform.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	List(ctx context.Context, prefix string, after uint64) ([]store.Row, error)
}

// Query asks a member about the holder. With Fence it also tells the member
// that Epoch has begun: from then on the member keeps no earlier holder in office.
type Query struct {
	DataCentre string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Node       string `cbor:"3,keyasint"` // holder of Epoch
	Fence      bool   `cbor:"4,keyasint,omitempty"`
}

// Answer is a member's reply to a Query.
type Answer struct {
	Epoch       uint64 `cbor:"1,keyasint"` // highest epoch that the member knows
	Node        string `cbor:"2,keyasint"` // holder of Epoch
	HearsHolder bool   `cbor:"3,keyasint"` // an answer of that holder arrived within FenceTime
	Fenced      bool   `cbor:"4,keyasint"` // the member keeps no holder before Query.Epoch in office
}

// MemberClient reaches the other members of the data centre.
type MemberClient interface {
	// Members returns the IDs of the live members of the data centre. It does
	// not matter whether the node itself is among them.
	Members() []string
	// Ask sends q to all nodes at the same time and returns the answers that
	// arrived in time, by node.
	Ask(ctx context.Context, nodes []string, q Query) map[string]Answer
}

// StateOwner is what the holder of the row owns. The Elector calls it from Step only.
type StateOwner interface {
	// Stored tells the state that the row holds; it is called after each read
	// and write of a row that names this node.
	Stored(state []byte)
	// Propose returns the state that should be stored, and false if the stored
	// one is right. peers reads the rows of all data centres.
	Propose(ctx context.Context, peers func(context.Context) (map[string]Row, error)) ([]byte, bool)
}

// Times of the holder row. A holder that lost its contacts at the moment of
// the takeover lends until FenceTime later; what it lent then ends after the
// lease. One GuardTime for each side covers clocks that run differently fast.
const (
	FenceTime     = 2 * time.Second        // holder without contact to platform or majority stops lending
	NodeLease     = 2 * time.Second        // lease of a node's share
	LoanLease     = 6 * time.Second        // lease of a loan between data centres
	GuardTime     = 500 * time.Millisecond // added by whoever takes a share back
	TakeoverWait  = FenceTime + NodeLease + 2*GuardTime
	LoanWait      = FenceTime + LoanLease + 2*GuardTime
	stoppedWait   = NodeLease + GuardTime // after a planned stop nobody has to be fenced
	stoppedLoans  = LoanLease + GuardTime
	silenceLimit  = FenceTime
	StepInterval  = 500 * time.Millisecond // pause between two steps of the holder
	seekInterval  = time.Second            // mean pause between two steps of a node that has lost the holder
	callTimeLimit = time.Second
)
