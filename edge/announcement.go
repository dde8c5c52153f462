package edge

import (
	"net/netip"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Announcement describes the state of the backend server on this host. It is the body of
// a POST to /v1/announce on the local listener, which the backend server sends at least
// once a second; package platform makes it from heartbeats instead.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`            // ip:port
	Slots       int    `json:"slots"`              // maximum number of concurrent requests
	Connections int    `json:"connections"`        // maximum number of open connections
	State       string `json:"state"`              // "starting", "serving" or "draining"
	ColdStartMS int64  `json:"cold_start_ms"`      // remaining time of the cold start, milliseconds
	Instance    string `json:"instance,omitempty"` // ID of the backend server
	// Started and Sequence order announcements that may arrive late: the start of
	// the backend server, Unix milliseconds, and a number that increases with each
	// announcement since that start. Both are 0 if the server does not send them.
	Started  int64  `json:"started,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// MaxAnnouncementDelay is longer than an announcement may take from the backend server to the
// node.
const MaxAnnouncementDelay = 10 * time.Second

// States maps the state names of announcements to the states of endpoints. It must not
// be modified.
var States = map[string]balancer.State{
	"starting": balancer.Starting, "serving": balancer.Serving, "draining": balancer.Draining,
}

// Validate returns a refusal if the announcement is not valid.
func (a *Announcement) Validate() *refusal.Refusal {
	_, known := States[a.State]
	_, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Service == "":
		return refusal.New(refusal.BadRequest, "announcement: service is missing")
	case err != nil:
		return refusal.New(refusal.BadRequest, "announcement: address: %v", err)
	case a.Slots < 1 || a.Connections < 1:
		return refusal.New(refusal.BadRequest, "announcement: slots %d and connections %d must be positive", a.Slots, a.Connections)
	case !known:
		return refusal.New(refusal.BadRequest, "announcement: state %q does not exist", a.State)
	case a.ColdStartMS < 0:
		return refusal.New(refusal.BadRequest, "announcement: cold_start_ms is negative")
	}
	return nil
}

// ColdStart returns the remaining time for which the backend server is slow after a
// start.
func (a *Announcement) ColdStart() time.Duration {
	return time.Duration(a.ColdStartMS) * time.Millisecond
}
