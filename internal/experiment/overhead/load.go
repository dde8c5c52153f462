package overhead

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends calls to url at a fixed rate, whether or not earlier ones have
// been answered, and returns their latencies.
func (b *bench) load(ctx context.Context, url string, d time.Duration) ([]time.Duration, error) {
	n := int(d.Seconds() * CallsPerSecond)
	latencies := make([]time.Duration, n)
	var failed atomic.Pointer[error]
	var pending atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		pace(start.Add(time.Duration(i) * time.Second / CallsPerSecond))
		if ctx.Err() != nil {
			return nil, Error.Wrap(ctx.Err())
		}
		if pending.Add(1) > maxPending {
			return nil, Error.New("the machine does not keep up with %d calls/s", CallsPerSecond)
		}
		wg.Add(1)
		sent := time.Now()
		go func() {
			defer wg.Done()
			defer pending.Add(-1)
			if err := b.call(ctx, url); err != nil {
				failed.Store(&err)
			}
			latencies[i] = time.Since(sent)
		}()
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return nil, Error.Wrap(*err)
	}
	return latencies, nil
}

func (b *bench) call(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header["Dotterel-Key"] = []string{key}
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != int64(b.answerBytes)) {
		err = Error.New("status %d with %d bytes", resp.StatusCode, n)
	}
	return err
}
