package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/process"
)

const exitTimeout = 20 * time.Second

// startWithoutSettings starts a daemon and returns when it reads its settings, which it
// gets through the returned file.
func startWithoutSettings(t *testing.T, daemon string) (*harness.Process, *os.File) {
	t.Helper()
	binary, err := harness.Binary(daemon)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	p, err := harness.StartProcess(binary, "-settings", path)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
	assert.NilError(t, err)
	return p, settings
}

// Guards against a daemon that a SIGHUP ends while it starts.
func TestHangUpDuringStart(t *testing.T) {
	for _, daemon := range []string{"cmd/dotterelnode", "cmd/dotterelsidecar"} {
		t.Run(filepath.Base(daemon), func(t *testing.T) {
			p, settings := startWithoutSettings(t, daemon)
			for range 3 {
				assert.NilError(t, p.Signal(syscall.SIGHUP))
			}
			_, err := settings.WriteString("no_such_setting: 1\n")
			assert.NilError(t, err)
			assert.NilError(t, settings.Close())
			code, err := p.Wait(exitTimeout)
			assert.NilError(t, err)
			assert.Equal(t, code, process.ExitSettings, p.Logs())
		})
	}
}

// Guards against a SIGTERM during the start that is lost, or that the daemon does not stop for in order.
func TestTerminatedDuringStart(t *testing.T) {
	p, settings := startWithoutSettings(t, "cmd/dotterelsidecar")
	assert.NilError(t, p.Signal(syscall.SIGTERM))
	prefix, reservation, err := harness.ReserveLoopbackPrefix()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reservation.Close() })
	_, err = fmt.Fprintf(settings, `name: host-1
data_centre: dudley
region: midlands
service: stockroom
addresses:
  callers: %[1]s.1.1:7001
  peers: %[1]s.1.1:7002
  announcements: %[1]s.1.1:7003
  ready: %[1]s.1.1:7004
  operators: %[1]s.1.1:7005
platform: http://127.0.0.1:1
announcement_interval: 500ms
memory: 284MiB
stop_limit: 6s
`, prefix)
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	code, err := p.Wait(exitTimeout)
	assert.NilError(t, err, p.Logs())
	assert.Equal(t, code, process.ExitStopped, p.Logs())
}
