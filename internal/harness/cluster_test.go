package harness

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// Checks that StartCluster returns no partially started cluster with an error, so
// that callers need not close it. An experiment called Close on the nil cluster of
// a failed start, which panics.
func TestFailedStartReturnsNoCluster(t *testing.T) {
	c, err := StartCluster(Options{Document: &config.Document{}, Dir: t.TempDir()})
	assert.Assert(t, err != nil)
	assert.Assert(t, c == nil)
}
