package integration

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Guards against a node that starts with invalid settings, or that does not name the
// line and field in error.
func TestNodeRefusesBadSettings(t *testing.T) {
	binary, err := harness.Binary("cmd/dotterelnode")
	assert.NilError(t, err)
	validSettings := `name: dudley-1
data_centre: dudley
region: midlands
addresses: {callers: 127.0.0.1:1, local: 127.0.0.1:2, peers: 127.0.0.1:3, operators: 127.0.0.1:4}
platform: http://127.0.0.1:5
cluster_secret: 0123456789abcdef
`
	for _, tc := range []struct {
		name, content string
		code          int
		messages      []string
	}{
		{"unknown field", validSettings + "retries: 5\n", 3, []string{"node.yaml:7", "retries"}},
		{"bad value", validSettings + "stop_limit: soon\n", 3, []string{"node.yaml:7", "stop_limit"}},
		{"missing value", strings.Replace(validSettings, "platform: http://127.0.0.1:5\n", "", 1), 3, []string{"node.yaml", "platform"}},
		{"two problems", validSettings + "stop_limit: soon\nlog_level: loud\n", 3, []string{"node.yaml:7", "node.yaml:8"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.yaml")
			assert.NilError(t, os.WriteFile(path, []byte(tc.content), 0o600))
			p, err := harness.StartProcess(binary, "-settings", path)
			assert.NilError(t, err)
			t.Cleanup(p.Kill)
			code, err := p.Wait(conditionTimeout)
			assert.NilError(t, err)
			assert.Equal(t, code, tc.code, p.Logs())
			for _, text := range tc.messages {
				assert.Assert(t, strings.Contains(p.Logs(), text), "%q is not in %s", text, p.Logs())
			}
		})
	}
	p, err := harness.StartProcess(binary)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	code, err := p.Wait(conditionTimeout)
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
}

// Guards against a node that serves requests or reports itself healthy without a
// configuration.
func TestNodeWithoutConfiguration(t *testing.T) {
	f := startFleet(t, nil, harness.NodeSpec{DataCentre: "gdansk"})
	n := f.Nodes[0]
	var r reply
	f.eventually(func() error {
		r = f.send(n, "GET", "/frontdesk/guests/1", "", "", "")
		return r.err
	})
	assert.Equal(t, r.reason(), refusal.NoConfiguration, "%v", r)
	assert.Equal(t, r.ran(), refusal.RanNo)
	resp, err := http.Get("http://" + n.Operators + "/v1/health")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a planned stop that aborts requests in flight at the stop limit, but
// exits with the code of a complete stop.
func TestStopLimitExitCode(t *testing.T) {
	cluster, err := harness.StartCluster(harness.Options{
		Document: faultDocument(1), Dir: t.TempDir(), StopLimit: 300 * time.Millisecond,
		Nodes: []harness.NodeSpec{backendSpec("gdansk", "frontdesk", standin.BackendBehaviour{ServiceTime: 900 * time.Millisecond})},
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	f := &fleet{Cluster: cluster, t: t, client: &http.Client{Timeout: requestTimeout}}
	f.waitUntilRouted(cluster.Nodes[0], "frontdesk")
	key, _ := f.grant("large", cluster.Nodes...)
	n := cluster.Nodes[0]
	f.sendUntilAdmitted(n, "GET", "/frontdesk/guests/1", key, "", "") // waits until the node has quota
	time.Sleep(200 * time.Millisecond)                                // lets the bucket fill for the next request
	answered := make(chan reply, 1)
	go func() { answered <- f.send(n, "GET", "/frontdesk/guests/1", key, "", "") }()
	f.eventually(func() error {
		if n.Backend.Stats().InFlight == 0 {
			return harness.Error.New("no request in flight yet")
		}
		return nil
	})
	code, err := cluster.Stop(n)
	assert.NilError(t, err)
	assert.Equal(t, code, 8, n.Process.Logs())
	<-answered
}
