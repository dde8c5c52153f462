package fleetview

import (
	"net"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error is the class of errors of rows that no node can have written.
var Error = errs.Class("row of a node")

// Limits of the fields of a row. A row beyond them was not written by a node.
const (
	maxSlots     = 1 << 20 // also of connections
	maxColdStart = time.Hour
	maxNameBytes = 200 // of a service, data centre or region
)

// Row is the content of a node's row.
type Row struct {
	balancer.Endpoint
	// The departures are read by later processes of the same node only.
	Departure       *edge.Departure  `cbor:"20,keyasint,omitempty"` // the newest
	OtherDepartures []edge.Departure `cbor:"21,keyasint,omitempty"`
	Era             store.Era        `cbor:"22,keyasint,omitempty"` // in which the node wrote the row
}

// NewRow returns the row of an endpoint, to be written in an era.
func NewRow(e balancer.Endpoint, d edge.Departures, era store.Era) Row {
	r := Row{Endpoint: e, OtherDepartures: d.Others, Era: era}
	if d.Newest != (edge.Departure{}) {
		r.Departure = &d.Newest
	}
	return r
}

// Departures returns the departures in the row.
func (r *Row) Departures() edge.Departures {
	d := edge.Departures{Others: r.OtherDepartures}
	if r.Departure != nil {
		d.Newest = *r.Departure
	}
	return d
}

// DecodeRow decodes the row of a node. The error is of class Error if another writer put it
// there: it then names no endpoint that could be used.
func DecodeRow(node string, raw []byte) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return Row{}, Error.Wrap(err)
	}
	return r, validate(node, &r.Endpoint)
}

func validate(node string, e *balancer.Endpoint) error {
	switch {
	case e.Node != node:
		return Error.New("the row of node %q names node %q", node, e.Node)
	case e.State != balancer.Starting && e.State != balancer.Serving && e.State != balancer.Draining:
		return Error.New("state %d does not exist", e.State)
	case e.Slots < 0 || e.Slots > maxSlots || e.Connections < 0 || e.Connections > maxSlots:
		return Error.New("slots %d and connections %d must be from 0 to %d", e.Slots, e.Connections, maxSlots)
	case e.ColdStart < 0 || e.ColdStart > maxColdStart:
		return Error.New("cold start of %v must be from 0 to %v", e.ColdStart, maxColdStart)
	case max(len(e.Service), len(e.DataCentre), len(e.Region)) > maxNameBytes:
		return Error.New("a name is longer than %d bytes", maxNameBytes)
	}
	return validateAddress(e.PeerAddress)
}

func validateAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return Error.Wrap(err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return Error.New("port %q of the peers address does not exist", port)
	}
	return nil
}
