// Package operators serves and reads JSON on the operators listeners of nodes.
package operators

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/httpclient"
)

// Error is the class of errors of nodes that gave no valid response.
var Error = errs.Class("operators listener")

// Handler serves the value that current returns as JSON, for any method. current is
// called for each request and must be safe for concurrent use.
func Handler[T any](current func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(current())
	})
}

// Get reads the JSON document at path from the operators listener at address
// (ip:port). A response longer than limit bytes is an error. The error is of class
// Error.
func Get[T any](ctx context.Context, client *http.Client, address, path string, limit int64) (v T, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return v, Error.Wrap(err)
	}
	resp, err := httpclient.WithoutRedirects(client).Do(req)
	if err != nil {
		return v, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, Error.New("%s answered with status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(&v); err != nil {
		return v, Error.New("%s: invalid response: %v", address, err)
	}
	return v, nil
}
