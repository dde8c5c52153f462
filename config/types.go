// Package config defines the operators' configuration: it reads and validates the
// files, encodes them, and provides the immutable snapshot that nodes apply.
package config

import "time"

// Importance orders requests for load shedding. A higher value is shed later.
type Importance uint8

// The levels of importance.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// ImportanceLevels is the number of values from Low to Critical.
const ImportanceLevels = 4

var importanceNames = [ImportanceLevels]string{"low", "normal", "high", "critical"}

// String returns the name of the level in operators' files, or "unknown".
func (i Importance) String() string {
	if int(i) < len(importanceNames) {
		return importanceNames[i]
	}
	return "unknown"
}

// ParseImportance returns the level with the given name.
func ParseImportance(name string) (Importance, bool) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), true
		}
	}
	return 0, false
}

// Objective is a route's service-level objective.
type Objective struct {
	Availability float64       `cbor:"1,keyasint"` // fraction of requests, 0 to 1; 0 if there is no objective
	Latency      time.Duration `cbor:"2,keyasint"` // maximum latency of the requests that meet the objective; 0 if there is no objective
}

// Route is the configuration of one route of a service.
type Route struct {
	Pattern    string        `cbor:"1,keyasint"` // net/http mux pattern; in a host-routed configuration the name of the route
	Importance Importance    `cbor:"2,keyasint"`
	Idempotent bool          `cbor:"3,keyasint"`
	AtMostOnce bool          `cbor:"4,keyasint"` // the ledger deduplicates requests with a request ID
	Attempts   int           `cbor:"5,keyasint"` // limit for the whole call tree of a request
	Timeout    time.Duration `cbor:"6,keyasint"` // of the whole request, including retries
	Open       bool          `cbor:"7,keyasint"` // needs no key
	MaxBody    int64         `cbor:"8,keyasint"` // bytes
	Objective  Objective     `cbor:"9,keyasint"`
}

// Service is the content of one service's file.
type Service struct {
	Name   string  `cbor:"1,keyasint"`
	Routes []Route `cbor:"2,keyasint"`
}

// Workspace is a tenant with its rate limit across the whole fleet.
type Workspace struct {
	Name  string  `cbor:"1,keyasint"`
	Rate  float64 `cbor:"2,keyasint"` // requests per second; 0 means no limit, in host-routed configurations only
	Burst float64 `cbor:"3,keyasint"` // requests
}

// DataCentre is a data centre with its fixed share of every workspace's rate limit.
type DataCentre struct {
	Name   string  `cbor:"1,keyasint"`
	Region string  `cbor:"2,keyasint"`
	Share  float64 `cbor:"3,keyasint"` // fraction, 0 to 1
}

// KeyPolicy limits how long a data centre that is cut off from the others accepts keys.
type KeyPolicy struct {
	CutOffLimit time.Duration `cbor:"1,keyasint"`
}

// Fleet is the content of the fleet file.
type Fleet struct {
	DataCentres []DataCentre `cbor:"1,keyasint"`
	Workspaces  []Workspace  `cbor:"2,keyasint"`
	Keys        KeyPolicy    `cbor:"3,keyasint"`
}

// Document is the content of all operators' files in canonical order. It is published
// in its canonical CBOR form.
type Document struct {
	Fleet    Fleet     `cbor:"1,keyasint"`
	Services []Service `cbor:"2,keyasint"`
}
