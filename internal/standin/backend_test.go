package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Checks that each configured fault takes effect. Tests of fault handling would
// pass without testing anything if the fake backend server did not fail as
// configured.
func TestBackendFaults(t *testing.T) {
	for _, tc := range []struct {
		name      string
		behaviour BackendBehaviour
		runs      int64
		status    int // 0: no complete response
		notRun    bool
	}{
		{name: "answers", runs: 1, status: 200},
		{name: "fails before", behaviour: BackendBehaviour{FailBefore: true}},
		{name: "fails after", behaviour: BackendBehaviour{FailAfter: true}, runs: 1},
		{name: "sheds", behaviour: BackendBehaviour{Shed: true}, status: 503, notRun: true},
		{name: "drains", behaviour: BackendBehaviour{Draining: true}, status: 503, notRun: true},
		{name: "truncates", behaviour: BackendBehaviour{Truncate: true, AnswerBytes: 100}, runs: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBackend(BackendConfig{Service: "s", Slots: 1, Behaviour: tc.behaviour})
			srv := httptest.NewServer(b.Handler())
			defer srv.Close()
			resp, err := http.Post(srv.URL+"/orders", "text/plain", strings.NewReader("hello"))
			status := 0
			if err == nil {
				defer resp.Body.Close()
				if _, err = io.ReadAll(resp.Body); err == nil {
					status = resp.StatusCode
					assert.Equal(t, resp.Header.Get(notRunHeader) == "true", tc.notRun)
				}
			}
			assert.Equal(t, status, tc.status)
			assert.Equal(t, b.Stats().Runs, tc.runs)
		})
	}
}
