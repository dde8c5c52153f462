package config

import (
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// HostRouting is a configuration in which routes are selected by host and path prefix
// and which contains the keys of the workspaces.
type HostRouting struct {
	Routes     []HostRoute
	Workspaces []KeyedWorkspace
	Backends   map[string]BackendLimits // by service
	Callers    CallerLimits
}

// HostRoute routes the requests of a host whose path begins with a prefix to one of
// several services.
type HostRoute struct {
	Host   string            // lower case, without a port
	Prefix string            // begins and ends with a slash
	Split  []WeightedService // at least one
	Rank   int               // 0 is the most important
	Route  Route
}

// WeightedService is one service of a HostRoute, with its share of the requests.
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

// BackendLimits are the limits of every backend server of a service.
type BackendLimits struct {
	Connections int // maximum number of open connections to one backend server
}

// CallerLimits limit the requests and connections of callers. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// hostIndex finds the parts of a HostRouting configuration by host, key and service.
type hostIndex struct {
	byHost   map[string][]*HostRoute               // longest prefix first
	byKey    map[[sha256.Size]byte]*KeyedWorkspace // by the SHA-256 digest of a key
	backends map[string]BackendLimits
	callers  CallerLimits
}

// NewHostRoutedSnapshot returns a snapshot of h, which must not be modified afterwards.
// digest identifies the content. Unlike Decode it does not validate the content.
func NewHostRoutedSnapshot(version uint64, digest string, h HostRouting) *Snapshot {
	d := Document{}
	services := map[string][]Route{}
	index := &hostIndex{
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
	s := &Snapshot{Version: version, Digest: digest, workspaces: map[string]*Workspace{}, hosts: index}
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

// MatchHost returns the route of the host whose prefix is the longest that the path
// begins with. host may have a port and upper-case letters.
func (s *Snapshot) MatchHost(host, path string) (*HostRoute, bool) {
	if s.hosts == nil {
		return nil, false
	}
	for _, r := range s.hosts.byHost[hostName(host)] {
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

// WorkspaceByKey returns the workspace that a key belongs to.
func (s *Snapshot) WorkspaceByKey(key string) (*KeyedWorkspace, bool) {
	if s.hosts == nil {
		return nil, false
	}
	w, ok := s.hosts.byKey[sha256.Sum256([]byte(key))]
	return w, ok
}

// BackendLimits returns the limits of a service's backend servers, or false if the
// configuration has none for it.
func (s *Snapshot) BackendLimits(service string) (BackendLimits, bool) {
	if s.hosts == nil {
		return BackendLimits{}, false
	}
	b, ok := s.hosts.backends[service]
	return b, ok
}

// CallerLimits returns the limits of callers, all zero without host routing.
func (s *Snapshot) CallerLimits() CallerLimits {
	if s.hosts == nil {
		return CallerLimits{}
	}
	return s.hosts.callers
}

// PickService returns one of the route's services, at random by weight.
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
