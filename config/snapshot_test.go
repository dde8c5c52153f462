package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func validDocument() Document {
	return Document{
		Fleet: Fleet{
			DataCentres: []DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
			Workspaces:  []Workspace{{Name: "farm", Rate: 10, Burst: 20}},
			Keys:        KeyPolicy{CutOffLimit: DefaultCutOffLimit},
		},
		Services: []Service{{Name: "stockroom", Routes: []Route{
			{Pattern: "GET /stock/{sku}", Importance: High, Idempotent: true, Attempts: 3, Timeout: time.Second},
			{Pattern: "POST /orders", Importance: Critical, AtMostOnce: true, Attempts: 3, Timeout: time.Second},
		}}},
	}
}

// Guards against an encoding that is not reproducible or loses fields, and against
// routes that are matched wrongly after it.
func TestEncodeDecode(t *testing.T) {
	d := validDocument()
	encoded, err := Encode(&d)
	assert.NilError(t, err)
	again, err := Encode(&d)
	assert.NilError(t, err)
	assert.Equal(t, Digest(encoded), Digest(again))
	s, err := Decode(7, encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Document, d)

	route, ok := s.Match("stockroom", "GET", "/stock/m6-bolt")
	assert.Assert(t, ok)
	assert.Equal(t, route.Pattern, "GET /stock/{sku}")
	for _, miss := range [][3]string{
		{"stockroom", "DELETE", "/stock/m6-bolt"}, {"stockroom", "GET", "/stock/../orders"},
		{"stockroom", "GET", "/nothing"}, {"unknown", "GET", "/stock/m6-bolt"},
	} {
		_, ok := s.Match(miss[0], miss[1], miss[2])
		assert.Assert(t, !ok, "%v", miss)
	}
}

// Guards against invalid documents that a node applies.
func TestDecodeRejectsInvalid(t *testing.T) {
	for name, corrupt := range map[string]func(*Document){
		"no data centre":        func(d *Document) { d.Fleet.DataCentres = nil },
		"shares above 1":        func(d *Document) { d.Fleet.DataCentres[0].Share = 1.1 },
		"workspace twice":       func(d *Document) { d.Fleet.Workspaces = append(d.Fleet.Workspaces, d.Fleet.Workspaces[0]) },
		"no rate":               func(d *Document) { d.Fleet.Workspaces[0].Rate = 0 },
		"no attempts":           func(d *Document) { d.Services[0].Routes[0].Attempts = 0 },
		"no timeout":            func(d *Document) { d.Services[0].Routes[0].Timeout = 0 },
		"bad pattern":           func(d *Document) { d.Services[0].Routes[0].Pattern = "GET stock" },
		"conflicting patterns":  func(d *Document) { d.Services[0].Routes[1].Pattern = "GET /stock/{other}" },
		"idempotent and once":   func(d *Document) { d.Services[0].Routes[1].Idempotent = true },
		"service stated twice":  func(d *Document) { d.Services = append(d.Services, d.Services[0]) },
		"cut-off limit missing": func(d *Document) { d.Fleet.Keys.CutOffLimit = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			corrupt(&d)
			encoded, err := Encode(&d)
			assert.NilError(t, err)
			_, err = Decode(1, encoded)
			assert.Assert(t, ErrInvalid.Has(err), "%v", err)
		})
	}
	_, err := Decode(1, []byte("not cbor"))
	assert.Assert(t, ErrInvalid.Has(err), "%v", err)
}
