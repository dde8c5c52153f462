// Command stage2 plays the cases of the second review. Each case starts sidecar processes
// and plays their clients, their backend servers and the platform:
//
//	reviewstage2 CASE DIRECTORY
//
// CASE is the number of the case and DIRECTORY that of its record. With TROUBLE=0 in the
// environment it leaves the disruption out. Exit codes: 0 if the rule held, 1 if it was
// broken, 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit ends a case that hangs.
	caseLimit = 110 * time.Second
)

// stage is what a case plays on.
type stage struct {
	*fleet
	trouble bool // play the disruption
}

// cases returns whether the rule was broken.
var cases = map[string]func(*stage) (bool, error){
	"6": workAfterHeldHeartbeat,
	"7": workAfterLeaving,
	"8": workAfterForgetting,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstage2 CASE DIRECTORY")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*stage) (bool, error), dir string) int {
	r, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f, err := newFleet(r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return exitFailed
	}
	defer f.close()
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c(&stage{fleet: f, trouble: os.Getenv("TROUBLE") != "0"})
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.say("the case could not run: %v", got.err)
			return exitFailed
		case got.broken:
			r.say("the rule was broken")
			return exitBroken
		}
		r.say("the rule held")
		return exitHeld
	case <-ctx.Done():
		r.say("the case was stopped")
	case <-time.After(caseLimit):
		r.say("the case took too long")
	}
	return exitFailed
}

// startAll starts the nodes and their servers' heartbeats, and waits until all are ready.
func (s *stage) startAll() error {
	for _, m := range s.nodes {
		if err := m.launch(); err != nil {
			return err
		}
	}
	for _, m := range s.nodes {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of a node and the heartbeats of its server.
func (m *machine) launch() error {
	if err := m.start(); err != nil {
		return err
	}
	go m.server.announce()
	return nil
}
