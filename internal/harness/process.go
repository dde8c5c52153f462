package harness

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// ErrTimeout is the class of errors for processes that do not exit, and conditions
// that do not hold, within the time limit.
var ErrTimeout = errs.Class("harness: time limit passed")

var build struct {
	once sync.Once
	dir  string
	err  error
}

// Binary builds a main package of this module, such as "cmd/dotterelnode", and
// returns the path of the executable. Later calls return the same executable;
// concurrent calls may build a package more than once. Packages must differ in the
// last element of their paths.
func Binary(pkg string) (string, error) {
	build.once.Do(func() { build.dir, build.err = os.MkdirTemp("", "dotterel-bin") })
	if build.err != nil {
		return "", build.err
	}
	path := filepath.Join(build.dir, filepath.Base(pkg))
	if _, err := os.Stat(path); err == nil {
		return path, nil
	}
	cmd := exec.Command("go", "build", "-o", path, "./"+pkg)
	cmd.Dir = moduleRoot()
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("harness: build %s: %w\n%s", pkg, err, out)
	}
	return path, nil
}

// moduleRoot returns the module's root directory, derived from the path of this
// source file.
func moduleRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// RemoveBinaries deletes the executables that Binary built. Call it at the end of
// TestMain.
func RemoveBinaries() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}

// Process is a child process whose output is captured. It is safe for concurrent use.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	logs bytes.Buffer
}

// StartProcess starts a program and captures its output for Logs.
func StartProcess(path string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		close(p.done)
	}()
	return p, nil
}

// Write appends to the captured output.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(b)
}

// Logs returns the standard output and standard error so far.
func (p *Process) Logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal, for example SIGTERM, SIGSTOP or SIGCONT.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the process to exit and returns its exit code. It returns ErrTimeout
// after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-timer.C:
		return 0, ErrTimeout.New("process %d did not exit within %v", p.PID(), timeout)
	}
}

// Kill sends SIGKILL, which also ends a process that is stopped by SIGSTOP, and
// waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Eventually calls check every 20 ms until it returns nil. After the timeout it
// returns the last error of check, wrapped in ErrTimeout.
func Eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return ErrTimeout.Wrap(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
