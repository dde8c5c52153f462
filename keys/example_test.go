package keys_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/platform"
)

func ExampleOperator() {
	table := httptest.NewServer(standin.NewPlatform().Handler())
	defer table.Close()
	op := keys.Operator{Table: platform.New(platform.Config{URL: table.URL})}
	ctx := context.Background()

	key, id, err := op.Grant(ctx, "farm")
	fmt.Println(strings.HasPrefix(key, id+"."), err)
	w, err := op.Withdraw(ctx, id)
	fmt.Println(w.TableWritten, err)
	list, err := op.List(ctx)
	fmt.Println(list[0].Workspace, list[0].State, err)
	// Output:
	// true <nil>
	// true <nil>
	// farm withdrawn <nil>
}
