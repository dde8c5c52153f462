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

// Guards against a daemon that a SIGHUP ends while it starts.
func TestHangUpDuringStart(t *testing.T) {
	for _, daemon := range []string{"cmd/dotterelnode", "cmd/dotterelsidecar"} {
		t.Run(filepath.Base(daemon), func(t *testing.T) {
			binary, err := harness.Binary(daemon)
			assert.NilError(t, err)
			settings := filepath.Join(t.TempDir(), "settings.yaml")
			assert.NilError(t, syscall.Mkfifo(settings, 0o600))
			p, err := harness.StartProcess(binary, "-settings", settings)
			assert.NilError(t, err)
			t.Cleanup(p.Kill)
			w, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the daemon reads its settings
			assert.NilError(t, err)
			for range 3 {
				assert.NilError(t, p.Signal(syscall.SIGHUP))
			}
			_, err = w.WriteString("no_such_setting: 1\n")
			assert.NilError(t, err)
			assert.NilError(t, w.Close())
			code, err := p.Wait(exitTimeout)
			assert.NilError(t, err)
			assert.Equal(t, code, process.ExitSettings, p.Logs())
		})
	}
}

// Guards against a SIGTERM during the start that is lost, or that the daemon does not stop for in order.
func TestTerminatedDuringStart(t *testing.T) {
	binary, err := harness.Binary("cmd/dotterelsidecar")
	assert.NilError(t, err)
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	p, err := harness.StartProcess(binary, "-settings", settings)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	w, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the daemon reads its settings
	assert.NilError(t, err)
	assert.NilError(t, p.Signal(syscall.SIGTERM))
	prefix, reservation, err := harness.ReserveLoopbackPrefix()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reservation.Close() })
	_, err = fmt.Fprintf(w, `name: host-1
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
	assert.NilError(t, w.Close())
	code, err := p.Wait(exitTimeout)
	assert.NilError(t, err, p.Logs())
	assert.Equal(t, code, process.ExitStopped, p.Logs())
}
