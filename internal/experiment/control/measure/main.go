// Command measure measures the control plane for clusters of several sizes and
// prints the results as JSON.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/experiment/control"
	"github.com/dotterelseam/dotterelseam/internal/harness"
)

func main() {
	list := flag.String("sizes", "12,24,48,96", "numbers of nodes, separated by commas")
	inProcess := flag.Bool("in-process", false, "run the control plane of all nodes in this process instead of starting dotterelnode processes")
	flag.Parse()
	measure := control.Run
	if *inProcess {
		measure = control.RunInProcess
	}
	err := run(*list, measure)
	harness.RemoveBinaries()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(list string, measure func(context.Context, []int) (control.Results, error)) error {
	var sizes []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return err
		}
		sizes = append(sizes, n)
	}
	results, err := measure(context.Background(), sizes)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}
