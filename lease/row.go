package lease

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/store"
)

// ErrRow is the class of errors of holder rows that cannot be encoded or decoded.
var ErrRow = errs.Class("lease: holder row")

// ErrNotHolder is the class of errors of operations that only the holder may do.
var ErrNotHolder = errs.Class("lease: not the holder")

// RowPrefix is the prefix of the keys of all holder rows.
const RowPrefix = "holder/"

// maxWitnesses bounds the witness set, so that the cost of a takeover and the
// size of the row do not grow with the data centre.
const maxWitnesses = 7

// minWitnesses is the size below which no member is removed from the witness set.
const minWitnesses = 3

// Row is the content of a data centre's holder row.
//
// While the platform is unreachable, a holder stays valid as long as it has
// recent contact with a majority of its witnesses. This is safe because the row
// names the witnesses: a successor has to fence a majority of exactly that set,
// whatever either side believes about the membership.
type Row struct {
	Node        string     `cbor:"1,keyasint"` // ID of the holder; "" after a release or a retirement
	Incarnation uint64     `cbor:"2,keyasint"`
	Epoch       uint64     `cbor:"3,keyasint"`           // fencing token; rises with each change of the holder
	Witnesses   []string   `cbor:"4,keyasint"`           // members; contact with a majority of them keeps this holder valid
	Fences      [][]string `cbor:"5,keyasint,omitempty"` // witness sets of earlier holders; a majority of each has to be fenced before this holder lends
	FirstHolder bool       `cbor:"6,keyasint,omitempty"` // there was no earlier holder, so there are no leases to wait for
	PlannedStop bool       `cbor:"7,keyasint,omitempty"` // the earlier holder stopped as planned: its leases have to expire, but nothing has to be fenced
	Handover    string     `cbor:"8,keyasint,omitempty"` // ID of the handover in which the earlier holder sent its state to Node; "" if there was none
	State       []byte     `cbor:"9,keyasint,omitempty"` // state of the StateOwner, kept across holders
}

// Released reports whether the row names no holder.
func (r *Row) Released() bool { return r.Node == "" }

// witnessSets returns every witness set that may keep a holder valid.
func (r *Row) witnessSets() [][]string {
	if r.Released() {
		return r.Fences
	}
	return appendSet(slices.Clone(r.Fences), r.Witnesses)
}

// appendSet appends set to sets unless it is empty or already there.
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

// Table is the part of the store that an Elector uses. Its errors are of the
// classes of package store.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	List(ctx context.Context, prefix string, after uint64) ([]store.Row, error)
}

// Query asks a member about the holder. With Fence set it also tells the member
// that Epoch has begun: from then on the member confirms no earlier holder.
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
	HearsHolder bool   `cbor:"3,keyasint"` // a quota response of that holder arrived within FenceTime; from the holder itself: no later holder can lend yet
	Fenced      bool   `cbor:"4,keyasint"` // the member confirms no holder of an epoch before Query.Epoch
}

// MemberClient sends queries to the other members of the data centre.
type MemberClient interface {
	// Members returns the IDs of the live members of the data centre, with or
	// without the node itself.
	Members() []string
	// Ask sends q to all nodes at the same time and returns the answers that
	// arrived before ctx ended, by node ID.
	Ask(ctx context.Context, nodes []string, q Query) map[string]Answer
}

// StateOwner owns the state in the holder row while this node is the holder. The
// Elector calls it from Step only.
type StateOwner interface {
	// Stored is called in each step of the holder with the last known state in
	// the row, and after each write.
	Stored(state []byte)
	// Propose returns the state that should be stored, and false if the stored
	// one is up to date. readRows reads the holder rows of all data centres.
	Propose(ctx context.Context, readRows func(context.Context) (map[string]Row, error)) ([]byte, bool)
}

// Times of the holder row. A holder that loses contact at the moment of a
// takeover goes on lending for up to FenceTime, and what it lent last expires one
// lease later. One GuardTime for each side covers clocks that run at different
// rates.
const (
	FenceTime           = 2 * time.Second                     // a holder without contact with the platform or a majority of its witnesses stops lending after this time
	NodeLease           = 2 * time.Second                     // lease of a node's share
	LoanLease           = 6 * time.Second                     // lease of a loan between data centres
	GuardTime           = 500 * time.Millisecond              // added to a lease by the side that takes the share back
	TakeoverWait        = FenceTime + NodeLease + 2*GuardTime // time from fencing until a new holder may lend to nodes
	LoanWait            = FenceTime + LoanLease + 2*GuardTime // the same for loans to other data centres
	plannedStopWait     = NodeLease + GuardTime               // after a planned stop no witness has to be fenced
	plannedStopLoanWait = LoanLease + GuardTime
	silenceTimeout      = FenceTime              // a node without a quota response of the holder for this long looks for the holder
	StepInterval        = 500 * time.Millisecond // pause between two steps of the holder
	searchInterval      = time.Second            // mean pause between two steps of a node that does not hear the holder
	callTimeout         = time.Second            // timeout of one query to several members
)
