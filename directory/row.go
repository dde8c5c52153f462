package directory

import (
	"net"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
)

// Limits of the fields of a row. A row beyond them was not written by a node.
const (
	maxSlots     = 1 << 20 // also of connections
	maxColdStart = time.Hour
	maxNameBytes = 200 // of a service, data centre or region
)

// entry is the row of one node.
type entry struct {
	revision uint64 // of the row in the store; 0 if the own row is not known to be stored
	rowValue
}

// rowValue is the content of a row.
type rowValue struct {
	balancer.Endpoint
	// The departures are read by later processes of the same node only.
	Departure       *edge.Departure  `cbor:"20,keyasint,omitempty"` // the newest
	OtherDepartures []edge.Departure `cbor:"21,keyasint,omitempty"`
}

// newRowValue returns the row of an endpoint.
func newRowValue(e balancer.Endpoint, d edge.Departures) rowValue {
	v := rowValue{Endpoint: e, OtherDepartures: d.Others}
	if d.Newest != (edge.Departure{}) {
		v.Departure = &d.Newest
	}
	return v
}

func (v *rowValue) departures() edge.Departures {
	d := edge.Departures{Others: v.OtherDepartures}
	if v.Departure != nil {
		d.Newest = *v.Departure
	}
	return d
}

// decodeRow decodes the row of a node. The error is of class Error if another writer put it
// there: it then names no endpoint that could be used.
func decodeRow(node string, raw []byte) (rowValue, error) {
	var v rowValue
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return rowValue{}, Error.Wrap(err)
	}
	return v, validate(node, &v.Endpoint)
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
