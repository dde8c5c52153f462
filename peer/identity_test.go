package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against accepting messages of an earlier process, against refusing a
// process for good because its clock was set back, and against unbounded memory.
func TestIncarnations(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	s := incarnations{entries: map[string]incarnationEntry{}}
	for _, step := range []struct {
		incarnation uint64
		after       time.Duration // since the start
		want        bool
	}{
		{5, 0, true},
		{5, time.Second, true},
		{4, 2 * time.Second, false},
		{6, 3 * time.Second, true},
		{5, 4 * time.Second, false},
		{5, 3*time.Second + incarnationTTL, true}, // the clock was set back
		{6, 4*time.Second + incarnationTTL, true},
	} {
		got := s.observe(Identity{Node: "a", Incarnation: step.incarnation}, start.Add(step.after))
		assert.Equal(t, got, step.want, "%+v", step)
	}
	for i := range 3 * maxIncarnations {
		assert.Assert(t, s.observe(Identity{Node: fmt.Sprint(i), Incarnation: 1}, start))
	}
	assert.Assert(t, len(s.entries) <= maxIncarnations)
}
