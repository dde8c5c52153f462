package stage

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	memoryLimit    = 284 << 20 // bytes, as in settings.yaml
	memoryInterval = 20 * time.Millisecond
)

// residentBytes returns the resident memory of the sidecar, or 0 if it does not run.
func (h *Host) residentBytes() int64 {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := bytes.Cut(raw, []byte("VmRSS:"))
	fields := bytes.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(string(fields[0]), 10, 64) // 0 if unreadable
	return kilobytes << 10
}

// LimitMemory does what the platform does until the host is closed: it kills the sidecar
// when its memory exceeds the limit, and starts it again after a short delay. onKill is
// called after each kill.
func (h *Host) LimitMemory(onKill func()) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	peak := int64(0)
	for {
		select {
		case <-tick.C:
		case <-h.stop:
			h.fleet.Record.Add("%s: peak memory %d MiB", h.Name, peak>>20)
			return
		}
		resident := h.residentBytes()
		peak = max(peak, resident)
		if resident <= memoryLimit {
			continue
		}
		h.fleet.Record.Add("%s has %d MiB and is killed", h.Name, resident>>20)
		if err := h.Signal(syscall.SIGKILL); err != nil {
			continue
		}
		onKill()
		if err := h.Restart(); err != nil {
			h.fleet.Record.Add("%s not started again: %v", h.Name, err)
			return
		}
	}
}
