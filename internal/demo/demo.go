// Package demo runs a small fleet inside one process, with a stand-in for the
// platform and backend servers, and shows what nodes do.
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

// Error is the class of failures of the demo.
var Error = errs.Class("demo")

// Options of a demo.
type Options struct {
	Out      io.Writer
	Duration time.Duration // time until the demo ends by itself; 0: never
	// ReportInterval is the time between lines about the background traffic; default 5 s.
	ReportInterval time.Duration
}

const defaultEvery = 5 * time.Second

// Run starts the fleet, walks through the scenario and keeps traffic running
// until ctx or the time in o ends, which is no error.
func Run(ctx context.Context, o Options) error {
	if o.ReportInterval == 0 {
		o.ReportInterval = defaultEvery
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, o.Duration)
		defer stop()
	}
	d := &demo{out: o.Out, start: time.Now(), client: newCaller()}
	d.say("demo", "everything runs in this process, on loopback addresses only")
	f, err := startFleet(ctx)
	defer f.close()
	if err == nil {
		d.fleet = f
		err = d.present(ctx, o.ReportInterval)
	}
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		d.say("end", "the demo was interrupted or its time is over")
		return nil
	}
	return Error.Wrap(err)
}

// demo is the narrator and caller.
type demo struct {
	fleet  *fleet
	client caller
	start  time.Time

	mu  sync.Mutex
	out io.Writer
}

// say prints one line with the time since the start.
func (d *demo) say(topic, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A write error means that nobody reads the output.
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %-8s %s\n", time.Since(d.start).Seconds(), topic, fmt.Sprintf(format, args...))
}

// present is the demo after the fleet has started.
func (d *demo) present(ctx context.Context, every time.Duration) error {
	for _, step := range []func(context.Context) error{
		d.introduce, d.grantKeys, d.lookUp, d.order, d.withdraw, d.exceedRate, d.publishChange, d.drain,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.invite()
	return d.traffic(ctx, every)
}

// introduce waits until every node is ready and names the parts.
func (d *demo) introduce(ctx context.Context) error {
	f := d.fleet
	d.say("platform", "stand-in at %s", f.platformURL)
	d.say("publish", "version %d: examples/trust, two of its four data centres", f.published.Version)
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	d.say("nodes", "%d nodes, each beside one backend server, in %s", len(f.nodes), strings.Join(dataCentres, " and "))
	return nil
}

// invite prints what the reader can try.
func (d *demo) invite() {
	n := d.fleet.nodes[0]
	d.say("try", "these commands work until the demo ends:")
	key := fmt.Sprintf("-H 'Dotterel-Key: %s'", d.fleet.key)
	url := "http://" + n.settings.Addresses.Callers
	fmt.Fprintf(d.out, "\n  curl -i %s%s \\\n    %s\n", url, lookupPath, key)
	fmt.Fprintf(d.out, "\n  curl -i %s%s -d 'one box' \\\n    %s \\\n    -H 'Dotterel-Request-Id: mine-1'\n", url, orderPath, key)
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel status -operators %s\n", strings.Join(d.fleet.operators()[:2], ","))
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel report burn -operators \\\n    %s\n", strings.Join(d.fleet.operators(), ","))
	fmt.Fprintf(d.out, "\n  go run ./cmd/dotterel keys list -platform %s\n", d.fleet.platformURL)
	d.say("try", "an outage of the platform, and a backend server that drains or is slow:")
	fmt.Fprintf(d.out, "\n  curl %s/faults -d '{\"down\": true}'    # {} ends it\n", d.fleet.platformURL)
	backend := d.fleet.find(dataCentres[0], "stockroom").address
	fmt.Fprintf(d.out, "\n  curl http://%s/_behaviour -d '{\"draining\": true}'    # {} ends it\n", backend)
	fmt.Fprintf(d.out, "\n  curl http://%s/_behaviour -d '{\"service_time\": 2000000000}'    # nanoseconds\n\n", backend)
}
