package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// ErrInvalid is the class of errors of documents that cannot be encoded, decoded or
// applied.
var ErrInvalid = errs.Class("configuration invalid")

var canonical = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the canonical CBOR form of d.
func Encode(d *Document) ([]byte, error) {
	b, err := canonical.Marshal(d)
	return b, ErrInvalid.Wrap(err)
}

// Digest returns the SHA-256 digest of an encoded document in hex.
func Digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Snapshot is one version of the configuration, ready for use. It is immutable
// and safe for concurrent use.
type Snapshot struct {
	Version  uint64
	Digest   string
	Document Document

	workspaces map[string]*Workspace
	services   map[string]*http.ServeMux
	hosts      *hostIndex // nil unless made by NewHostRoutedSnapshot
}

// Decode decodes and validates a document and returns it as a snapshot. The error is
// of class ErrInvalid.
func Decode(version uint64, encoded []byte) (*Snapshot, error) {
	var d Document
	if err := cbor.Unmarshal(encoded, &d); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return newSnapshot(version, Digest(encoded), d), nil
}

func newSnapshot(version uint64, digest string, d Document) *Snapshot {
	s := &Snapshot{
		Version: version, Digest: digest, Document: d,
		workspaces: make(map[string]*Workspace, len(d.Fleet.Workspaces)),
		services:   make(map[string]*http.ServeMux, len(d.Services)),
	}
	for i := range d.Fleet.Workspaces {
		s.workspaces[d.Fleet.Workspaces[i].Name] = &d.Fleet.Workspaces[i]
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = routeMux(&d.Services[i])
	}
	return s
}

// routeHandler stores a Route in a mux, which only matches patterns; it serves nothing.
type routeHandler struct{ route *Route }

func (routeHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}

func routeMux(s *Service) *http.ServeMux {
	mux := http.NewServeMux()
	for i := range s.Routes {
		mux.Handle(s.Routes[i].Pattern, routeHandler{&s.Routes[i]})
	}
	return mux
}

// Workspace returns the workspace with the given name.
func (s *Snapshot) Workspace(name string) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// HasService reports whether a service with the given name is configured. It is always
// false for a host-routed snapshot.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.services[name]
	return ok
}

// Match returns the route of service for a method and a path, where path is
// the request's path without the service name. It finds none in a host-routed snapshot,
// for which MatchHost is used.
func (s *Snapshot) Match(service, method, path string) (*Route, bool) {
	mux, ok := s.services[service]
	if !ok {
		return nil, false
	}
	handler, pattern := mux.Handler(&http.Request{Method: method, URL: &url.URL{Path: path}})
	if pattern == "" {
		return nil, false
	}
	rh, ok := handler.(routeHandler)
	if !ok {
		return nil, false // the mux's redirect to the cleaned path
	}
	return rh.route, true
}

// DataCentre returns the data centre with the given name.
func (s *Snapshot) DataCentre(name string) (DataCentre, bool) {
	for _, dc := range s.Document.Fleet.DataCentres {
		if dc.Name == name {
			return dc, true
		}
	}
	return DataCentre{}, false
}
