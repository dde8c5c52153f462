package daemon

import (
	"time"

	"github.com/dotterelseam/dotterelseam/status"
)

// platformContactAge is the age up to which the platform counts as reachable.
const platformContactAge = 5 * time.Second

// report completes the node's status with the state of the control plane.
func (d *Daemon) report(n *status.Node) {
	n.PlatformReachable = time.Since(d.keys.DataCentreContact()) < platformContactAge
	n.KeysVerified = d.keys.Verified()
	snapshot := d.config.Current()
	if snapshot == nil {
		return
	}
	for _, w := range snapshot.Document.Fleet.Workspaces {
		share := d.quota.Bucket.Share(w.Name)
		n.Workspaces = append(n.Workspaces, status.Workspace{
			Workspace: w.Name, Rate: share.Rate, Burst: share.Burst, Level: share.Level,
		})
	}
}
