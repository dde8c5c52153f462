package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a broken answer that names no limit although one holds: it would end the
// limit, and the requests that nodes then send would count against it.
func TestBrokenAnswersNameSignals(t *testing.T) {
	for name, behaviour := range map[string]SidecarBackendBehaviour{"none": {}, "cut off": {Truncate: 1}, "sent twice": {ExtraAnswer: 1}} {
		t.Run(name, func(t *testing.T) {
			s := NewSidecarBackend(SidecarBackendConfig{Service: "s", Slots: 1, OnRequest: func(ReceivedRequest) {}})
			s.Start("i-1")
			s.SetRateLimit(2.5)
			s.SetBehaviour(behaviour)
			srv := httptest.NewServer(s)
			t.Cleanup(srv.Close)
			r, err := http.NewRequest(http.MethodGet, srv.URL, nil)
			assert.NilError(t, err)
			r.Header.Set(platformAttemptID, "r1")
			r.Header.Set(platformDeadline, "1000")
			client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(r)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.Header.Get(platformLimit), "2.5")
			assert.Equal(t, resp.Header.Get(platformAttemptID), "r1")
		})
	}
}
