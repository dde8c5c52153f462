package overhead

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sendLoad sends calls to url at CallsPerSecond for the given duration, whether or
// not earlier ones have been answered (open loop), and returns their latencies. It
// fails if ctx ends, a call fails or more than maxInFlight calls are unanswered.
// After an error, calls that were sent may still be running.
func (tb *testbed) sendLoad(ctx context.Context, url string, duration time.Duration) ([]time.Duration, error) {
	n := int(duration.Seconds() * CallsPerSecond)
	latencies := make([]time.Duration, n)
	var lastErr atomic.Pointer[error]
	var inFlight atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		sleepUntil(start.Add(time.Duration(i) * time.Second / CallsPerSecond))
		if ctx.Err() != nil {
			return nil, Error.Wrap(ctx.Err())
		}
		if inFlight.Add(1) > maxInFlight {
			return nil, Error.New("more than %d calls in flight at %d calls/s: the machine is too slow", maxInFlight, CallsPerSecond)
		}
		wg.Add(1)
		sent := time.Now()
		go func() {
			defer wg.Done()
			defer inFlight.Add(-1)
			if err := tb.sendCall(ctx, url); err != nil {
				lastErr.Store(&err)
			}
			latencies[i] = time.Since(sent)
		}()
	}
	wg.Wait()
	if err := lastErr.Load(); err != nil {
		return nil, Error.Wrap(*err)
	}
	return latencies, nil
}

// sendCall makes one call and checks the status and the length of the answer.
func (tb *testbed) sendCall(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header["Dotterel-Key"] = []string{key}
	resp, err := tb.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != int64(tb.answerBytes)) {
		err = Error.New("status %d with %d bytes", resp.StatusCode, n)
	}
	return err
}
