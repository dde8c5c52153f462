// Package membership tracks the nodes of this data centre, the gateways of the
// other data centres, and the endpoints that this node may route to.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/balancer"
)

// Prefixes of the records that this package writes.
const (
	nodePrefix = "node/"
	dcPrefix   = "dc/"
	// HeartbeatPrefix is the prefix of the records that show contact with a data
	// centre; each value is a Heartbeat.
	HeartbeatPrefix = "beat/"
)

// State is the state of a node.
type State uint8

const (
	Alive   State = iota
	Leaving       // accepts no new work
	Dead          // stopped, or unreachable by its probers
)

var stateNames = [...]string{"alive", "leaving", "dead"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member describes one node.
type Member struct {
	ID               string
	Incarnation      uint64 // start time of the process, nanoseconds
	DataCentre       string
	Region           string
	PeerAddress      string // peers listener, ip:port
	OperatorsAddress string // operators listener, ip:port; empty for nodes of other data centres
	State            State
	Endpoint         *balancer.Endpoint // nil if no backend server is announced
}

// nodeValue is the value of a gossip record node/<id> and of a platform row
// node/<dc>/<id>.
type nodeValue struct {
	Incarnation      uint64         `cbor:"1,keyasint"`
	State            State          `cbor:"2,keyasint"`
	Region           string         `cbor:"3,keyasint"`
	PeerAddress      string         `cbor:"4,keyasint"`
	OperatorsAddress string         `cbor:"5,keyasint,omitempty"`
	Endpoint         *endpointValue `cbor:"6,keyasint,omitempty"`
	Written          int64          `cbor:"7,keyasint,omitempty"` // rows only: time of the write, unix seconds
}

// endpointValue holds the fields of an endpoint that nodeValue does not have.
type endpointValue struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Slots       int
	Connections int
	State       balancer.State
	ColdStartMS int64
}

func endpointToValue(e *balancer.Endpoint) *endpointValue {
	if e == nil {
		return nil
	}
	return &endpointValue{
		Service: e.Service, Slots: e.Slots, Connections: e.Connections,
		State: e.State, ColdStartMS: e.ColdStart.Milliseconds(),
	}
}

func (v *endpointValue) endpoint(m *Member) *balancer.Endpoint {
	if v == nil {
		return nil
	}
	e := &balancer.Endpoint{
		Node: m.ID, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region,
		Service: v.Service, Slots: v.Slots, Connections: v.Connections,
		State: v.State, ColdStart: time.Duration(v.ColdStartMS) * time.Millisecond,
	}
	if m.State != Alive {
		e.State = balancer.Draining
	}
	return e
}

func (v *nodeValue) member(id, dc string) Member {
	m := Member{
		ID: id, Incarnation: v.Incarnation, DataCentre: dc, Region: v.Region,
		PeerAddress: v.PeerAddress, OperatorsAddress: v.OperatorsAddress, State: v.State,
	}
	m.Endpoint = v.Endpoint.endpoint(&m)
	return m
}

// nodeRef identifies a node in a record dc/<name>.
type nodeRef struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	PeerAddress string
}

// remoteEndpoint is an endpoint in a record dc/<name>.
type remoteEndpoint struct {
	_           struct{} `cbor:",toarray"`
	Node        nodeRef
	Endpoint    endpointValue
	NodeLeaving bool
}

// dcValue is the value of a record dc/<name>.
type dcValue struct {
	Region    string           `cbor:"1,keyasint"`
	Gateways  []nodeRef        `cbor:"2,keyasint"`
	Endpoints []remoteEndpoint `cbor:"3,keyasint"`
}

// Heartbeat is the value of a record beat/<dc>.
type Heartbeat struct {
	// PlatformAgeMS is the time in milliseconds since a gateway of the data
	// centre last read the rows of the API keys from the platform; -1 if none
	// ever did.
	PlatformAgeMS int64 `cbor:"1,keyasint"`
}

// mustMarshal encodes a value of this package. It panics on an error, which the
// types of this package cannot cause.
func mustMarshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// newDCValue builds the value of a record dc/<name> from the members.
func newDCValue(region string, gateways []string, members []Member) dcValue {
	v := dcValue{Region: region}
	for i := range members {
		m := &members[i]
		ref := nodeRef{ID: m.ID, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress}
		if slices.Contains(gateways, m.ID) {
			v.Gateways = append(v.Gateways, ref)
		}
		if m.Endpoint != nil {
			v.Endpoints = append(v.Endpoints, remoteEndpoint{
				Node: ref, Endpoint: *endpointToValue(m.Endpoint), NodeLeaving: m.State != Alive,
			})
		}
	}
	slices.SortFunc(v.Endpoints, func(a, b remoteEndpoint) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	slices.SortFunc(v.Gateways, func(a, b nodeRef) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// endpoints converts the endpoints of the record of data centre dc.
func (v *dcValue) endpoints(dc string) []balancer.Endpoint {
	out := make([]balancer.Endpoint, 0, len(v.Endpoints))
	for i := range v.Endpoints {
		r := &v.Endpoints[i]
		m := Member{
			ID: r.Node.ID, Incarnation: r.Node.Incarnation, PeerAddress: r.Node.PeerAddress,
			DataCentre: dc, Region: v.Region,
		}
		if r.NodeLeaving {
			m.State = Leaving
		}
		out = append(out, *r.Endpoint.endpoint(&m))
	}
	return out
}
