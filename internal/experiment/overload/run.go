package overload

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Error groups the errors of this package.
var Error = errs.Class("overload experiment")

// runTimeout bounds the run of all modes together.
const runTimeout = 2 * time.Minute

// Run runs the modes one after another on loopback addresses and returns their
// measures. It takes about 7 phases per mode. The error is of class Error, or that of
// the context if ctx ends or the modes take longer than runTimeout together.
func Run(ctx context.Context, o Options) (Results, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	o = o.withDefaults()
	var records []*modeRecord
	var results []Result
	for _, mode := range o.Modes {
		record, err := runMode(ctx, o, mode)
		if err != nil {
			return Results{}, err
		}
		records = append(records, record)
		results = append(results, record.measure())
	}
	addRelativeMeasures(records, results)
	return Results{Results: results}, nil
}

// testbed holds the running servers of one mode.
type testbed interface {
	// entries returns the base URLs for callers, one per host.
	entries() []string
	// applyPhase sets the behaviour of the backend servers for a phase.
	applyPhase(p phase)
	stats() map[string][]standin.BackendStats // by service
	close()
}

func newTestbed(mode string) (testbed, error) {
	switch mode {
	case ModeNone:
		return newGatewayTestbed(false)
	case ModeStatic:
		return newGatewayTestbed(true)
	case ModeDotterel:
		return newNodeTestbed()
	}
	return nil, Error.New("mode %q does not exist", mode)
}

func runMode(ctx context.Context, o Options, mode string) (*modeRecord, error) {
	tb, err := newTestbed(mode)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	generator := newLoadGenerator(tb.entries(), o.Seed, func(w int) http.Header {
		return http.Header{headerKey: {workspaces[w].name}}
	})
	phases := o.phases()
	if err := generator.run(ctx, phases, tb.applyPhase); err != nil {
		return nil, err
	}
	return &modeRecord{mode: mode, phases: phases, operations: generator.operations, servers: tb.stats()}, nil
}
