// Package nodecall sends small control requests from one node to another over HTTP.
package nodecall

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/noredirect"
)

// Error is the class of errors of requests that failed or got a status other than
// 200.
var Error = errs.Class("call of another node")

// Do sends a request without a body to the node at a peers address (ip:port) and
// returns the response body. A body longer than limit bytes is cut off without an
// error. A status other than 200 is an error. The error is of class Error.
func Do(ctx context.Context, client *http.Client, method, address, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := noredirect.Client(client).Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("%s answered with status %d", address, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return body, Error.Wrap(err)
}
