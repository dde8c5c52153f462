package daemon

import (
	"context"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/settings"
)

// Guards against metrics that docs/operators/metrics.md does not list, and against
// names on that page that no node exports.
func TestMetricsAreDocumented(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	d, err := New(&settings.Settings{
		Name: "n", DataCentre: "dudley", Region: "midlands", Platform: "http://127.0.0.1:1", ClusterSecret: "secret-of-this-test",
		Addresses: settings.Addresses{Callers: anyPort, Local: anyPort, Peers: anyPort, PeersAdvertised: "127.0.0.1:1", Operators: anyPort},
	}, logr.Discard())
	assert.NilError(t, err)
	var names []string
	d.metrics.Each(func(name string, _ any) { names = append(names, name) })
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, d.Run(cancelled), context.Canceled) // closes the listeners
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	assert.NilError(t, err)
	var documented []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			for _, name := range regexp.MustCompile("^\\| `([^`]+)`(?: \\| `([^`]+)`)?").FindStringSubmatch(line)[1:] {
				if name != "" {
					documented = append(documented, name)
				}
			}
		}
	}
	slices.Sort(names)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, names)
}
