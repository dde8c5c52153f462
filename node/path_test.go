package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

func newRequest(t testing.TB, method, url string, body []byte) *http.Request {
	t.Helper()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, url, r)
	assert.NilError(t, err)
	return req
}

// do sends a request and reads the whole response.
func do(t testing.TB, req *http.Request) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, body
}

// Guards the path of a request through an entry node and a destination node to a
// backend server, and through a single node.
func TestRequestThroughNodes(t *testing.T) {
	f := newFleet(t, "stock")
	entry := f.startHost("a", "", standin.BackendBehaviour{})
	dest := f.startHost("b", "stock", standin.BackendBehaviour{})
	for _, h := range []*host{entry, dest} {
		resp, body := do(t, newKeyedRequest(t, "POST", h.url+"/stock/orders", []byte("hello")))
		assert.Equal(t, resp.StatusCode, 200, "%s", body)
		assert.Equal(t, string(body), "hello")
		assert.Equal(t, resp.ContentLength, int64(5))
		for name := range resp.Header {
			assert.Assert(t, name[:4] != "Dott", name)
		}
	}
	stats := dest.backend.Stats()
	assert.Equal(t, stats.Runs, int64(2))
	assert.Assert(t, !stats.KeyReceived)
	assert.Equal(t, entry.quota.sent.Load(), int64(1))
	assert.Equal(t, dest.node.calls.Len(), 0)
}

// cancelledExchange sends a request, cancels it early unless i is a multiple of 3, and
// checks the response if one arrives.
func cancelledExchange(t testing.TB, url, body string, i int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if i%3 > 0 {
		timer := time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
		defer timer.Stop()
	}
	resp, err := http.DefaultClient.Do(newKeyedRequest(t, "POST", url+"/stock/orders", []byte(body)).WithContext(ctx))
	if err != nil {
		return ignoreCancelled(ctx, err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return ignoreCancelled(ctx, err)
	}
	if resp.StatusCode != 200 || string(got) != body {
		return fmt.Errorf("status %d, body %q for request %q", resp.StatusCode, got, body)
	}
	return nil
}

func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
