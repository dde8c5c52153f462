package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// Guards against example configurations that do not load, and against orders and
// counts in them that would be shed before less important requests or run twice.
func TestExampleTrees(t *testing.T) {
	for dir, services := range map[string]string{
		"../examples/trust":       "certvault orderbook pricelist stockroom",
		"../examples/sniadaniowo": "counts frontdesk kitchen-orders night-audit",
	} {
		d, problems := config.Load(dir)
		assert.NilError(t, problems.Err())
		assert.Equal(t, len(d.Fleet.Workspaces), 8)
		encoded, err := config.Encode(d)
		assert.NilError(t, err)
		s, err := config.Decode(1, encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, s.Document, *d)
		var names []string
		for _, service := range d.Services {
			names = append(names, service.Name)
			for _, r := range service.Routes {
				once := strings.HasPrefix(r.Pattern, "POST /orders") || r.Pattern == "POST /credit-holds" || r.Pattern == "POST /confirmations"
				assert.Equal(t, r.AtMostOnce, once, "%s", r.Pattern)
				if once || strings.HasPrefix(r.Pattern, "PUT /counts") {
					assert.Equal(t, r.Importance, config.Critical, "%s", r.Pattern)
				}
			}
		}
		assert.Equal(t, strings.Join(names, " "), services)
	}
}
