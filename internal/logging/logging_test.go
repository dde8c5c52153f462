package logging

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dotterelseam/dotterelseam/settings"
)

// output is an io.Writer that can be blocked.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	block chan struct{} // if not nil, writes wait until it is closed
}

func (o *output) Write(p []byte) (int, error) {
	if o.block != nil {
		<-o.block
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Guards against values that split a line or are parsed as another key.
func TestLines(t *testing.T) {
	out := &output{}
	w := NewWriter(out)
	log := New(w, settings.LogInfo).WithValues("node", "a")
	log.Info("refused", "reason", "over rate", "n", 3, "took", 1500*time.Microsecond, "odd", "a=\"b\"\nc", "empty", "")
	log.V(1).Info("detail")
	log.Error(errors.New("no way"), "failed")
	w.Close(10 * time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.HasSuffix(lines[0], ` event=refused node=a reason="over rate" n=3 took=1.5 odd="a=\"b\"\nc" empty=""`), lines[0])
	assert.Assert(t, strings.HasSuffix(lines[1], ` event=failed node=a error="no way"`), lines[1])
}

// Guards against a blocked output that delays the node, makes the buffer grow without
// bound, or loses lines without reporting it.
func TestBlockedOutput(t *testing.T) {
	out := &output{block: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, settings.LogInfo)
	value := strings.Repeat("x", maxValueBytes)
	const lines = 4 * bufferBytes / maxValueBytes
	for range lines {
		log.Info("event", "value", value) // would block here if it waited for the output
	}
	assert.Assert(t, w.Dropped() > 0)
	assert.Assert(t, len(w.pending) <= bufferBytes)
	close(out.block)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		log.Info("again")
		if !strings.Contains(out.String(), "event=log_dropped lines=") {
			return poll.Continue("no log_dropped line yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}
