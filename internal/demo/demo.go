// Package demo runs a small fleet in one process, with a fake platform and fake
// backend servers, and prints what the nodes do in a scripted scenario.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the demo.
var Error = errs.Class("demo")

// Options of a demo.
type Options struct {
	Out      io.Writer
	Duration time.Duration // the demo ends by itself after this time; 0: never
	// ReportInterval is the time between output lines about the background traffic; default 5 s.
	ReportInterval time.Duration
}

const defaultReportInterval = 5 * time.Second

// Run starts the fleet, runs the scenario and then sends background traffic until
// ctx ends or o.Duration has passed, neither of which is an error.
func Run(ctx context.Context, o Options) error {
	if o.ReportInterval == 0 {
		o.ReportInterval = defaultReportInterval
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, o.Duration)
		defer stop()
	}
	d := &demo{out: o.Out, start: time.Now(), client: newCaller()}
	d.printLine("demo", "everything runs in this process, on loopback addresses only")
	f, err := startFleet(ctx)
	defer f.close()
	if err == nil {
		d.fleet = f
		err = d.runScenario(ctx, o.ReportInterval)
	}
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		d.printLine("end", "the demo was interrupted or its time is over")
		return nil
	}
	return Error.Wrap(err)
}

// demo is the state of a run.
type demo struct {
	fleet  *fleet
	client caller
	start  time.Time

	mu  sync.Mutex
	out io.Writer
}

// printLine prints one line with the time since the start.
func (d *demo) printLine(topic, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The demo continues without output after a write error.
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %-8s %s\n", time.Since(d.start).Seconds(), topic, fmt.Sprintf(format, args...))
}

// runScenario runs all steps of the demo against the started fleet, prints commands
// to try and sends background traffic until ctx ends.
func (d *demo) runScenario(ctx context.Context, interval time.Duration) error {
	for _, step := range []func(context.Context) error{
		d.showFleet, d.showKeyGrant, d.showLookup, d.showOrder, d.showKeyWithdrawal, d.showRateLimit, d.showPublish, d.showDrain,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printCommands()
	return d.runTraffic(ctx, interval)
}

// showFleet waits until every node is ready and prints the components.
func (d *demo) showFleet(ctx context.Context) error {
	f := d.fleet
	d.printLine("platform", "fake platform at %s", f.platformURL)
	d.printLine("publish", "version %d: examples/trust, two of its four data centres", f.published.Version)
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	d.printLine("nodes", "%d nodes, each with one backend server, in %s", len(f.nodes), strings.Join(dataCentres, " and "))
	return nil
}

// printCommands prints commands to try against the running fleet.
func (d *demo) printCommands() {
	n := d.fleet.nodes[0]
	d.printLine("try", "these commands work until the demo ends:")
	key := fmt.Sprintf("-H 'Dotterel-Key: %s'", d.fleet.key)
	url := "http://" + n.settings.Addresses.Callers
	fmt.Fprintf(d.out, "\n  curl -i %s%s \\\n    %s\n", url, lookupPath, key)
	fmt.Fprintf(d.out, "\n  curl -i %s%s -d 'one box' \\\n    %s \\\n    -H 'Dotterel-Request-Id: mine-1'\n", url, orderPath, key)
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel status -operators %s\n", strings.Join(d.fleet.operators()[:2], ","))
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel report burn -operators \\\n    %s\n", strings.Join(d.fleet.operators(), ","))
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel keys list -platform %s\n", d.fleet.platformURL)
	d.printLine("try", "an outage of the platform, and a backend server that drains or is slow:")
	fmt.Fprintf(d.out, "\n  curl %s/faults -d '{\"down\": true}'    # {} ends it\n", d.fleet.platformURL)
	backend := d.fleet.hostOf(dataCentres[0], "stockroom").address
	fmt.Fprintf(d.out, "\n  curl http://%s/_behaviour -d '{\"draining\": true}'    # {} ends it\n", backend)
	fmt.Fprintf(d.out, "\n  curl http://%s/_behaviour -d '{\"service_time\": 2000000000}'    # nanoseconds\n\n", backend)
}
