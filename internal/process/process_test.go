package process

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

const waitLimit = 20 * time.Second

// daemon is a Daemon that does nothing.
type daemon struct{ stopped chan struct{} }

func (d *daemon) Run(context.Context) error {
	<-d.stopped
	return nil
}

func (d *daemon) Stop(context.Context) error {
	close(d.stopped)
	return nil
}

// Guards against a SIGTERM that is lost behind SIGHUPs, so that the process is killed at
// the end of its grace time.
func TestStopBehindReloads(t *testing.T) {
	d := &daemon{stopped: make(chan struct{})}
	reloading, release := make(chan struct{}, 10), make(chan struct{})
	defer close(release)
	code := make(chan int, 1)
	signals := CatchSignals()
	go func() {
		code <- Run(d, signals, logr.Discard(), waitLimit, func() { reloading <- struct{}{}; <-release })
	}()
	signal := func(s syscall.Signal) { assert.NilError(t, syscall.Kill(os.Getpid(), s)) }
	signal(syscall.SIGHUP)
	<-reloading // the first reload blocks; the next one waits in the queue
	signal(syscall.SIGHUP)
	signal(syscall.SIGHUP)
	signal(syscall.SIGTERM)
	select {
	case got := <-code:
		assert.Equal(t, got, ExitStopped)
	case <-time.After(waitLimit):
		t.Fatal("the process does not stop")
	}
}
