package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/lease"
)

// Kinds of the control messages of this package.
const (
	KindReport   = "quota_report"   // node to the holder of its data centre
	KindLoan     = "loan_report"    // holder to the holder of another data centre
	KindQuery    = "holder_query"   // member to member, about the holder
	KindHandover = "quota_handover" // stopping holder to its successor
)

// Transport sends a control message to a node and decodes the answer into resp.
// It must not fail later than shortly after ctx ends. peer.Mesh implements it.
type Transport interface {
	Call(ctx context.Context, node string, kind string, req, resp any) error
}

// Handler answers a control message; payload is CBOR.
type Handler func(ctx context.Context, from string, payload []byte) (any, error)

// Report states what a borrower holds. It is a state, not a change: whatever
// earlier messages were lost, duplicated or overtaken, the newest report is
// right, because a borrower gains shares only from the answer to its newest one.
type Report struct {
	DataCentre  string        `cbor:"1,keyasint"`           // of the borrower
	Node        string        `cbor:"2,keyasint"`           // of the borrower
	Session     uint64        `cbor:"3,keyasint"`           // incarnation of a node; for loans the epoch of the borrowing holder
	Seq         uint64        `cbor:"4,keyasint"`           // rises with each report of a session
	Epoch       uint64        `cbor:"5,keyasint"`           // lender's epoch that the shares come from; 0 if none
	EchoEpoch   uint64        `cbor:"6,keyasint,omitempty"` // epoch of Echo
	Echo        time.Duration `cbor:"7,keyasint,omitempty"` // Stamp of the last answer: proof that it arrived
	Items       []Item        `cbor:"8,keyasint,omitempty"` // a workspace that is left out is not held and not wanted
	Incarnation uint64        `cbor:"9,keyasint,omitempty"` // of the node, to name it as successor
}

// Item is the part of a Report on one workspace.
type Item struct {
	Workspace string  `cbor:"1,keyasint"`
	Rate      float64 `cbor:"2,keyasint,omitempty"` // held, requests per second
	Burst     float64 `cbor:"3,keyasint,omitempty"` // held, requests
	Returned  float64 `cbor:"4,keyasint,omitempty"` // level given back in this session so far, requests
	Demand    float64 `cbor:"5,keyasint,omitempty"` // requests per second
	Want      float64 `cbor:"6,keyasint,omitempty"` // requests that wait for a token now
}

// compact writes floats in the shortest form that keeps their value. Shares are
// multiples of 1/4096, so most of them take 3 or 5 bytes in place of 9.
var compactMode = newCompactMode()

func newCompactMode() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

type (
	reportFields Report
	grantFields  Grant
)

// MarshalCBOR implements cbor.Marshaler.
func (r *Report) MarshalCBOR() ([]byte, error) { return compactMode.Marshal((*reportFields)(r)) }

// MarshalCBOR implements cbor.Marshaler.
func (g *Grant) MarshalCBOR() ([]byte, error) { return compactMode.Marshal((*grantFields)(g)) }

// sortItems makes a report independent of the order of maps.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Workspace, b.Workspace) })
}

// Grant answers a Report.
type Grant struct {
	Epoch    uint64        `cbor:"1,keyasint"` // highest epoch that the answering node knows
	Holder   string        `cbor:"2,keyasint"` // holder of Epoch
	Seq      uint64        `cbor:"3,keyasint"`
	IsHolder bool          `cbor:"4,keyasint,omitempty"` // the answering node is the holder, though it may not lend yet
	Stamp    time.Duration `cbor:"5,keyasint,omitempty"` // to be echoed; means nothing to the borrower
	Lease    time.Duration `cbor:"6,keyasint,omitempty"` // from when the report was sent; 0 means that nothing is lent
	Resync   bool          `cbor:"7,keyasint,omitempty"` // drop everything held before adding
	Items    []GrantItem   `cbor:"8,keyasint,omitempty"`
}

// GrantItem is the part of a Grant on one workspace.
type GrantItem struct {
	Workspace   string        `cbor:"1,keyasint"`
	Rate        float64       `cbor:"2,keyasint,omitempty"` // added, requests per second
	Burst       float64       `cbor:"3,keyasint,omitempty"` // added, requests
	Level       float64       `cbor:"4,keyasint,omitempty"` // added, requests
	TargetRate  float64       `cbor:"5,keyasint,omitempty"` // keep at most this before the next report
	TargetBurst float64       `cbor:"6,keyasint,omitempty"`
	Lease       time.Duration `cbor:"7,keyasint,omitempty"` // shorter than Grant.Lease; 0 means Grant.Lease
	RetryAfter  time.Duration `cbor:"8,keyasint,omitempty"` // nothing is left; ask again after this time
	LenderLow   bool          `cbor:"9,keyasint,omitempty"` // the lender's own level is low; give back what is not needed
}

// Contacts reaches members through a Transport. It implements lease.MemberClient.
type Contacts struct {
	Transport   Transport
	LiveMembers func() []string // live members of the own data centre
}

// Members implements lease.MemberClient.
func (c Contacts) Members() []string { return c.LiveMembers() }

// Ask implements lease.MemberClient.
func (c Contacts) Ask(ctx context.Context, nodes []string, q lease.Query) map[string]lease.Answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]lease.Answer, len(nodes))
	for _, node := range nodes {
		wg.Go(func() {
			var a lease.Answer
			if c.Transport.Call(ctx, node, KindQuery, q, &a) != nil {
				return // the Elector counts a missing answer
			}
			mu.Lock()
			defer mu.Unlock()
			answers[node] = a
		})
	}
	wg.Wait()
	return answers
}
