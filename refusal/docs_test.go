package refusal

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reason that is missing on the operators' page on refusals or is listed
// there with a wrong status.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/refusals.md")
	assert.NilError(t, err)
	for reason, status := range statuses {
		row := fmt.Sprintf("| `%s` | %d | ", reason, status)
		assert.Assert(t, strings.Contains(string(page), row), "no row %q", row)
	}
}
