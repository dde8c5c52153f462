package sidecar

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits that let callers use up the descriptors or the memory of a node.
func TestCallerLimits(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		openFiles             int
		memory                int64
		connections, requests int
	}{
		{"descriptors bind", 2000, 1 << 30, 800, 600},
		{"memory binds", math.MaxInt, 160 << 20, 1024, 768},
		{"small process", 512, 16 << 20, 64, 48},
	} {
		t.Run(tc.name, func(t *testing.T) {
			connections, requests := callerLimits(tc.openFiles, tc.memory)
			assert.Equal(t, connections, tc.connections)
			assert.Equal(t, requests, tc.requests)
		})
	}
}
