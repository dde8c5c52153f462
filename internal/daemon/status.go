package daemon

import (
	"time"

	"github.com/dotterelseam/dotterelseam/status"
)

// maxPlatformContactAge is the maximum age of the last read from the platform by any
// gateway of this data centre for which the platform counts as reachable.
const maxPlatformContactAge = 5 * time.Second

// extendStatus adds the state of the control plane to the status report of the node.
func (d *Daemon) extendStatus(n *status.Node) {
	n.PlatformReachable = time.Since(d.keys.DataCentreContact()) < maxPlatformContactAge
	n.KeysVerified = d.keys.Verified()
	snapshot := d.config.Current()
	if snapshot == nil {
		return
	}
	for _, w := range snapshot.Document.Fleet.Workspaces {
		share := d.quota.Bucket.Share(w.Name)
		n.Workspaces = append(n.Workspaces, status.WorkspaceShare{
			Name: w.Name, Rate: share.Rate, Burst: share.Burst, Level: share.Level,
		})
	}
}
