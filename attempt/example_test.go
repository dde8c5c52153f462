package attempt_test

import (
	"context"
	"fmt"

	"github.com/dotterelseam/dotterelseam/attempt"
)

// A caller's request with a budget of 4 attempts is delivered once. Its backend server
// makes one onward call, which may use 2 attempts and uses 1.
func Example() {
	root := attempt.NewBudget(4)
	registry := attempt.NewRegistry()

	given := root.Split(root.Left())
	call := registry.Begin(context.Background(), attempt.Info{Workspace: "farm"}, given-1)

	parent, _ := registry.Lookup(call.Token())
	child := attempt.NewBudget(parent.Budget.Split(2))
	child.Split(1) // the delivery of the onward call
	parent.Budget.Return(child.Close())

	root.Return(call.End())
	fmt.Println("unused:", root.Left())
	// Output: unused: 2
}
