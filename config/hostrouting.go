package config

import (
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// HostRouting is a configuration whose callers address routes by host and path
// prefix, and whose workspaces bring their keys along.
type HostRouting struct {
	Routes     []HostRoute
	Workspaces []KeyedWorkspace
	Backends   map[string]BackendLimits // by service
	Callers    CallerLimits
}

// HostRoute sends the requests of a host whose path begins with a prefix to
// one of several services.
type HostRoute struct {
	Host   string            // lower case, without a port
	Prefix string            // begins and ends with a slash
	Split  []WeightedService // at least one
	Rank   int               // 0 is the most important
	Route  Route
}

// WeightedService is one service of a HostRoute.
type WeightedService struct {
	Service string
	Weight  int
}

// KeyedWorkspace is a workspace with the keys of its callers.
type KeyedWorkspace struct {
	Workspace
	Keys []string
	Rank int // 0 is the most important
}

// BackendLimits are the properties that all backend servers of a service share.
type BackendLimits struct {
	Connections int // that one backend server accepts
}

// CallerLimits bound what callers may send. Zero means no bound.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// hosted is the index of a Hosted configuration.
type hosted struct {
	byHost   map[string][]*HostRoute // longest prefix first
	byKey    map[[sha256.Size]byte]*KeyedWorkspace
	backends map[string]BackendLimits
	callers  CallerLimits
}

// NewHostRoutedSnapshot returns h as a snapshot that is ready for use. digest identifies
// the content.
func NewHostRoutedSnapshot(version uint64, digest string, h HostRouting) *Snapshot {
	d := Document{}
	services := map[string][]Route{}
	index := &hosted{
		byHost: map[string][]*HostRoute{}, byKey: map[[sha256.Size]byte]*KeyedWorkspace{},
		backends: h.Backends, callers: h.Callers,
	}
	for i := range h.Routes {
		r := &h.Routes[i]
		index.byHost[r.Host] = append(index.byHost[r.Host], r)
		for _, p := range r.Split {
			services[p.Service] = append(services[p.Service], r.Route)
		}
	}
	for _, routes := range index.byHost {
		slices.SortFunc(routes, func(a, b *HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range h.Workspaces {
		w := &h.Workspaces[i]
		d.Fleet.Workspaces = append(d.Fleet.Workspaces, w.Workspace)
		for _, key := range w.Keys {
			index.byKey[sha256.Sum256([]byte(key))] = w
		}
	}
	s := &Snapshot{Version: version, Digest: digest, workspaces: map[string]*Workspace{}, hosted: index}
	for name, routes := range services {
		d.Services = append(d.Services, Service{Name: name, Routes: routes})
	}
	slices.SortFunc(d.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	s.Document = d
	for i := range s.Document.Fleet.Workspaces {
		w := &s.Document.Fleet.Workspaces[i]
		s.workspaces[w.Name] = w
	}
	return s
}

// MatchHost returns the route with the longest prefix that begins the path,
// among those of the host.
func (s *Snapshot) MatchHost(host, path string) (*HostRoute, bool) {
	if s.hosted == nil {
		return nil, false
	}
	for _, r := range s.hosted.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns a host header in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace that holds a key.
func (s *Snapshot) WorkspaceByKey(key string) (*KeyedWorkspace, bool) {
	if s.hosted == nil {
		return nil, false
	}
	w, ok := s.hosted.byKey[sha256.Sum256([]byte(key))]
	return w, ok
}

// BackendLimits returns what the configuration says of a service's backend servers.
func (s *Snapshot) BackendLimits(service string) (BackendLimits, bool) {
	if s.hosted == nil {
		return BackendLimits{}, false
	}
	b, ok := s.hosted.backends[service]
	return b, ok
}

// CallerLimits returns the limits of callers.
func (s *Snapshot) CallerLimits() CallerLimits {
	if s.hosted == nil {
		return CallerLimits{}
	}
	return s.hosted.callers
}

// PickService returns the service that a request goes to, at random by weight.
func (r *HostRoute) PickService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0
	for _, p := range r.Split {
		sum += p.Weight
	}
	if sum > 0 {
		n := rand.IntN(sum)
		for _, p := range r.Split {
			if n -= p.Weight; n < 0 {
				return p.Service
			}
		}
	}
	return r.Split[0].Service
}
