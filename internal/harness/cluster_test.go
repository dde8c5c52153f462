package harness

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// Checks that StartCluster returns no partially started cluster with an error.
// Callers must not close the cluster after an error, because it is nil and Close
// panics.
func TestFailedStartReturnsNoCluster(t *testing.T) {
	c, err := StartCluster(Options{Document: &config.Document{}, Dir: t.TempDir()})
	assert.Assert(t, err != nil)
	assert.Assert(t, c == nil)
}
