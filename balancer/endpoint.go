// Package balancer chooses the endpoint that serves a call.
package balancer

import "time"

// State is the state that a backend server announces.
type State uint8

// The states of a backend server.
const (
	Starting State = iota
	Serving
	Draining
)

// Endpoint is a backend server with the node on its host.
type Endpoint struct {
	Node        string        `cbor:"1,keyasint"` // ID of the node
	Incarnation uint64        `cbor:"2,keyasint"` // start time of the node, Unix nanoseconds
	PeerAddress string        `cbor:"3,keyasint"` // the node's peers listener, ip:port
	DataCentre  string        `cbor:"4,keyasint"`
	Region      string        `cbor:"5,keyasint"`
	Service     string        `cbor:"6,keyasint"`
	Slots       int           `cbor:"7,keyasint"` // requests that the backend server runs concurrently
	Connections int           `cbor:"8,keyasint"` // connections that it accepts; 0 means unlimited
	State       State         `cbor:"9,keyasint"`
	ColdStart   time.Duration `cbor:"10,keyasint"` // time after the start in which its usable slots rise to Slots; 0 means none
}
