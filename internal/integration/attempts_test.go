package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

const (
	chainDepth      = 6
	maxTreeAttempts = 14 // attempts of the first service's route, which bound the whole call tree
)

// Guards against attempts that multiply along a deep chain of calls: the last service
// fails, and every other backend server makes two parallel calls and retries each.
func TestAttemptsAreBoundedOverTheTree(t *testing.T) {
	d := faultDocument(1)
	d.Fleet.Workspaces[0] = config.Workspace{Name: "large", Rate: 1000, Burst: 1000}
	d.Services = nil
	var nodes []harness.NodeSpec
	for i := range chainDepth {
		name := fmt.Sprintf("layer-%d", i)
		d.Services = append(d.Services, config.Service{Name: name, Routes: []config.Route{{
			Pattern: "GET /work", Importance: config.High, Idempotent: true, Attempts: maxTreeAttempts - 2*i, Timeout: 2 * time.Second,
		}}})
		b := standin.BackendBehaviour{RetryCalls: 3, Parallel: true}
		if next := fmt.Sprintf("GET /layer-%d/work", i+1); i < chainDepth-1 {
			b.Calls = []string{next, next}
		} else {
			b.FailAfter = true
		}
		nodes = append(nodes, backendSpec(dataCentres[i%2], name, b))
	}
	f := startFleet(t, d, nodes...)
	key, _ := f.grant("large", f.Nodes...)
	for i := range 5 {
		before := f.totalRuns()
		n := f.Nodes[i]
		r := f.sendUntilAdmitted(n, "GET", "/layer-0/work", key, "", "")
		assert.Assert(t, r.status >= 500, "%v", r)
		attempts := f.totalRuns() - before
		t.Logf("%d attempts", attempts)
		assert.Assert(t, attempts >= 1 && attempts <= maxTreeAttempts, "%d attempts, bound %d", attempts, maxTreeAttempts)
	}
}

// totalRuns returns the number of requests that ran on all backend servers together.
func (f *fleet) totalRuns() (total int64) {
	for _, n := range f.Nodes {
		total += n.Backend.Stats().Runs
	}
	return total
}
