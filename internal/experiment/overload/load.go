package overload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// clientAttempt is one HTTP exchange of a client.
type clientAttempt struct {
	start, end time.Duration // since the start of the run
	succeeded  bool
	failure    string // reason of the refusal, status or error; "" if ok
}

// operation is a client's request with all its attempts.
type operation struct {
	phase      int           // index in the phases of the run
	arrival    time.Duration // since the start of the run
	workspace  int           // index in workspaces
	importance config.Importance
	attempts   []clientAttempt
}

func (o *operation) succeeded() bool {
	return len(o.attempts) > 0 && o.attempts[len(o.attempts)-1].succeeded
}

// loadGenerator starts operations at a fixed rate per phase, whether or not
// earlier ones have ended (open loop).
type loadGenerator struct {
	client    *http.Client
	entries   []string // base URLs
	newHeader func(workspace int) http.Header
	rng       *rand.Rand
	startTime time.Time

	wg         sync.WaitGroup
	operations []*operation // must not be read before run has returned nil
}

func newLoadGenerator(entries []string, seed uint64, newHeader func(int) http.Header) *loadGenerator {
	dialer := &net.Dialer{Timeout: clientTimeout}
	return &loadGenerator{
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2 * maxConns, MaxConnsPerHost: 2 * maxConns, DisableCompression: true,
		}},
		entries: entries, newHeader: newHeader, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// run generates the load of the phases and waits for the last operations. It calls
// onPhase at the start of each phase. The error is that of ctx; operations may still
// be running after an error.
func (l *loadGenerator) run(ctx context.Context, phases []phase, onPhase func(phase)) error {
	l.startTime = time.Now()
	start := time.Duration(0)
	for i, p := range phases {
		onPhase(p)
		interval := time.Duration(float64(time.Second) / (p.load * capacity()))
		for arrival := start; arrival < start+p.length; arrival += interval {
			if err := sleepUntil(ctx, l.startTime.Add(arrival)); err != nil {
				return err
			}
			l.startOperation(ctx, i, arrival)
		}
		start += p.length
	}
	l.wg.Wait()
	l.client.CloseIdleConnections()
	return ctx.Err()
}

func sleepUntil(ctx context.Context, t time.Time) error {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *loadGenerator) startOperation(ctx context.Context, phaseIndex int, arrival time.Duration) {
	op := &operation{phase: phaseIndex, arrival: arrival, workspace: l.pickWorkspace(), importance: l.pickImportance()}
	number := len(l.operations)
	l.operations = append(l.operations, op)
	entry := l.entries[l.rng.IntN(len(l.entries))]
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.runOperation(ctx, op, number, entry)
	}()
}

func (l *loadGenerator) pickWorkspace() int {
	x := l.rng.Float64()
	for i, w := range workspaces {
		if x -= w.fraction; x < 0 {
			return i
		}
	}
	return 0
}

func (l *loadGenerator) pickImportance() config.Importance {
	x := l.rng.Float64()
	for _, c := range loadMix {
		if x -= c.fraction; x < 0 {
			return c.importance
		}
	}
	return config.Low
}

func (l *loadGenerator) runOperation(ctx context.Context, op *operation, number int, entry string) {
	for n := range clientAttempts {
		if n > 0 && sleepUntil(ctx, time.Now().Add(clientRetryDelay)) != nil {
			return
		}
		attempt := clientAttempt{start: time.Since(l.startTime)}
		attempt.failure = l.exchange(ctx, op, fmt.Sprintf("r%d-%d", number, n), entry)
		attempt.succeeded = attempt.failure == ""
		attempt.end = time.Since(l.startTime)
		op.attempts = append(op.attempts, attempt)
		if attempt.succeeded {
			return
		}
	}
}

// exchange sends one request. It returns "" if the whole response arrived in time,
// or the reason of the refusal, the status or the kind of error.
func (l *loadGenerator) exchange(ctx context.Context, op *operation, id, entry string) string {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/front/%s", entry, op.importance)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "error"
	}
	req.Header = l.newHeader(op.workspace)
	req.Header.Set("Dotterel-Request-Id", id)
	req.Header.Set("Dotterel-Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := l.client.Do(req)
	if err != nil {
		return failureReason(ctx)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return failureReason(ctx)
	case resp.StatusCode == http.StatusOK && len(body) == answerBytes:
		return ""
	}
	if r, ok := refusal.Parse(resp.Header, body); ok {
		return string(r.Reason)
	}
	return fmt.Sprintf("status %d", resp.StatusCode)
}

func failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return "timeout"
	}
	return "error"
}
