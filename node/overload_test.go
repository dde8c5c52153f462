package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Guards against retries that multiply with the depth of the call tree under overload:
// repeated onward calls of backend servers must not reach the overloaded service
// again, and once all requests of an importance fail there, entry nodes must refuse
// them before they run anywhere.
func TestOverloadOfDeepServiceReachesEntry(t *testing.T) {
	const repeats = 3
	f := newFleet(t, "front", "middle", "deep")
	start := time.Now()
	// The clock stands still, because the threshold admits more again as time passes.
	f.configure = func(c *Config) { c.Clock = func() time.Time { return start } }
	deep := f.startHost("deep", "deep", standin.BackendBehaviour{Shed: true})
	middle := f.startHost("middle", "middle", standin.BackendBehaviour{Calls: []string{"PUT /deep/files/1"}, RetryCalls: repeats})
	front := f.startHost("front", "front", standin.BackendBehaviour{Calls: []string{"PUT /middle/files/1"}, RetryCalls: repeats})
	entry := f.startHost("entry", "", standin.BackendBehaviour{})
	url := entry.url + "/front/files/1"
	calls := int64(0)
	lowestAdmitted := func() config.Importance { return front.node.threshold().Lowest }
	for lowestAdmitted() <= config.Normal && calls < 20 {
		resp, _ := do(t, newKeyedRequest(t, "PUT", url, nil))
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		calls++
		assert.Equal(t, front.backend.Stats().Runs, calls)
		assert.Assert(t, middle.backend.Stats().Runs <= calls)
		assert.Assert(t, deep.backend.Stats().NotRun <= calls)
	}
	assert.Assert(t, lowestAdmitted() > config.Normal, "the front service still admits requests")
	resp, body := do(t, newKeyedRequest(t, "PUT", url, nil))
	expectRefusal(t, resp, body, refusal.Overload, refusal.RanNo)
	assert.Equal(t, front.backend.Stats().Runs, calls)
}
