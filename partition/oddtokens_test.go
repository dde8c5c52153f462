package partition_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/partition"
)

// Guards against numbers of tokens from other nodes that no node can have meant: one that is
// infinite or larger than what was asked for would lift the rate limit of the workspace, and
// one that is no number would end the admission of its requests.
func TestOddNumbersOfTokens(t *testing.T) {
	const asked = 3.0
	for _, answer := range []string{"Inf", "+Inf", "-Inf", "NaN", "-1", "1e300", "4", "", "3x", "0x1p1"} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
		b := partition.Borrower{DataCentre: "d", Client: http.DefaultClient}
		got := b.Borrow(context.Background(), "w", asked, []balancer.Endpoint{{Node: "x", DataCentre: "d", PeerAddress: strings.TrimPrefix(node.URL, "http://")}})
		node.Close()
		assert.Check(t, got >= 0 && got <= asked, "%q: %v tokens", answer, got)
	}
	now := time.Unix(0, 0)
	lender := partition.New(partition.Config{Members: members(1, 0), Clock: func() time.Time { return now }})
	lender.Configure([]config.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	now = now.Add(time.Minute)
	for _, want := range []string{"NaN", "Inf", "-Inf", "-5", "0", "x", ""} {
		rec := httptest.NewRecorder()
		lender.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, partition.LendPath+"?workspace=w&want="+url.QueryEscape(want), nil))
		assert.Check(t, rec.Code == http.StatusBadRequest, "%q: status %d, %q", want, rec.Code, rec.Body)
	}
	assert.Check(t, lender.Lend("w", 1) == 1, "the lender has no tokens any more")
}
