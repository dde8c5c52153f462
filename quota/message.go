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
	KindQuery    = "holder_query"   // member to member, about the holder row
	KindHandover = "quota_handover" // stopping holder to its successor
)

// Transport sends a control message to a node and decodes the answer into resp.
// It must return soon after ctx ends and must be safe for concurrent use.
// peer.Mesh implements it.
type Transport interface {
	Call(ctx context.Context, node string, kind string, req, resp any) error
}

// Handler answers a control message of node from; payload is CBOR. It must be safe
// for concurrent use.
type Handler func(ctx context.Context, from string, payload []byte) (any, error)

// Report states everything that a borrower holds, not a change. Whichever
// earlier messages were lost, duplicated or reordered, the newest report is
// correct, because a borrower gains shares only from the answer to its newest
// report.
type Report struct {
	DataCentre  string        `cbor:"1,keyasint"`           // of the borrower
	Node        string        `cbor:"2,keyasint"`           // of the borrower
	Session     uint64        `cbor:"3,keyasint"`           // incarnation of a node; for a loan the epoch of the borrowing holder
	Seq         uint64        `cbor:"4,keyasint"`           // incremented with each report of a session
	Epoch       uint64        `cbor:"5,keyasint"`           // lender's epoch that granted the shares; 0 if none
	EchoEpoch   uint64        `cbor:"6,keyasint,omitempty"` // epoch of Echo
	Echo        time.Duration `cbor:"7,keyasint,omitempty"` // Stamp of the last answer, which proves that it arrived
	Items       []Item        `cbor:"8,keyasint,omitempty"` // a workspace that is not listed is neither held nor wanted
	Incarnation uint64        `cbor:"9,keyasint,omitempty"` // of the node, in case it becomes the holder's successor
}

// Item is the part of a Report on one workspace.
type Item struct {
	Workspace string  `cbor:"1,keyasint"`
	Rate      float64 `cbor:"2,keyasint,omitempty"` // held, requests per second
	Burst     float64 `cbor:"3,keyasint,omitempty"` // held, requests
	Returned  float64 `cbor:"4,keyasint,omitempty"` // total level returned in this session, requests
	Demand    float64 `cbor:"5,keyasint,omitempty"` // requests per second
	Want      float64 `cbor:"6,keyasint,omitempty"` // tokens requested at once, for requests that wait
}

// compactMode encodes floats in the shortest form that keeps their value.
// Shares are multiples of 1/4096, so most of them take 3 or 5 bytes instead of
// 9.
var compactMode = newCompactMode()

func newCompactMode() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// reportFields and grantFields have no MarshalCBOR method, so that the ones of
// Report and Grant do not call themselves.
type (
	reportFields Report
	grantFields  Grant
)

// MarshalCBOR implements cbor.Marshaler.
func (r *Report) MarshalCBOR() ([]byte, error) { return compactMode.Marshal((*reportFields)(r)) }

// MarshalCBOR implements cbor.Marshaler.
func (g *Grant) MarshalCBOR() ([]byte, error) { return compactMode.Marshal((*grantFields)(g)) }

// sortItems makes a report independent of the iteration order of maps.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Workspace, b.Workspace) })
}

// Grant answers a Report.
type Grant struct {
	Epoch    uint64        `cbor:"1,keyasint"` // highest epoch known to the answering node
	Holder   string        `cbor:"2,keyasint"` // holder of Epoch
	Seq      uint64        `cbor:"3,keyasint"`
	IsHolder bool          `cbor:"4,keyasint,omitempty"` // the answering node is the holder, although it may not lend yet
	Stamp    time.Duration `cbor:"5,keyasint,omitempty"` // lender's clock reading, which the borrower only echoes
	Lease    time.Duration `cbor:"6,keyasint,omitempty"` // counted from when the report was sent; 0 if nothing is lent
	Resync   bool          `cbor:"7,keyasint,omitempty"` // drop all held shares before adding the items
	Items    []GrantItem   `cbor:"8,keyasint,omitempty"`
}

// GrantItem is the part of a Grant on one workspace.
type GrantItem struct {
	Workspace   string        `cbor:"1,keyasint"`
	Rate        float64       `cbor:"2,keyasint,omitempty"` // added, requests per second
	Burst       float64       `cbor:"3,keyasint,omitempty"` // added, requests
	Level       float64       `cbor:"4,keyasint,omitempty"` // added, requests
	TargetRate  float64       `cbor:"5,keyasint,omitempty"` // return what exceeds this before the next report, requests per second
	TargetBurst float64       `cbor:"6,keyasint,omitempty"` // the same for the burst, requests
	Lease       time.Duration `cbor:"7,keyasint,omitempty"` // shorter than Grant.Lease; 0 means Grant.Lease
	RetryAfter  time.Duration `cbor:"8,keyasint,omitempty"` // nothing is left; request again after this time
	LenderLow   bool          `cbor:"9,keyasint,omitempty"` // the lender's own level is low; return what is not needed
}

// MemberClient queries members through a Transport. It implements
// lease.MemberClient.
type MemberClient struct {
	Transport   Transport
	LiveMembers func() []string // live members of this data centre
}

// Members implements lease.MemberClient.
func (c MemberClient) Members() []string { return c.LiveMembers() }

// Ask implements lease.MemberClient.
func (c MemberClient) Ask(ctx context.Context, nodes []string, q lease.Query) map[string]lease.Answer {
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
