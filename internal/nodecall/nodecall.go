// Package nodecall sends small control requests from one node to another over HTTP.
package nodecall

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of errors of requests without a valid response.
var Error = errs.Class("call of another node")

// Do sends a request without a body to the node at a peers address and returns the
// response body, truncated to limit bytes. A status other than 200 is an error. The
// error is of class Error.
func Do(ctx context.Context, client *http.Client, method, address, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := client.Do(req)
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
