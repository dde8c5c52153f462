package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// Guards against refused requests of a workspace that was idle and then sends, through
// all nodes in turn, fewer requests than its burst allows in each data centre.
func TestIdleWorkspaceIsServed(t *testing.T) {
	f := faultFleet(t)
	large, _ := f.grant("large", f.Nodes...)
	small, _ := f.grant("small", f.Nodes...)
	for _, n := range f.Nodes { // waits until the quota holders lend shares
		f.sendUntilAdmitted(n, "GET", "/frontdesk/guests/1", large, "", "")
	}
	time.Sleep(recoveryDuration) // lets the buckets fill
	var refused []string
	for i := range 9 { // 3 for each of the 3 data centres, which may each serve 4 at once
		n := f.Nodes[i%len(f.Nodes)]
		if r := f.send(n, "GET", "/frontdesk/guests/1", small, "", ""); r.reason() == refusal.OverRate {
			refused = append(refused, n.Name)
		} else {
			assert.Equal(t, r.status, 200, "%v", r)
		}
	}
	assert.Equal(t, len(refused), 0, "refused at %v", refused)
}
