// Package nodecall makes small control calls from one node to another over HTTP.
package nodecall

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of calls without a good answer.
var Error = errs.Class("call of another node")

// Do sends a request without a body to the node at a peers address and returns the
// body of its answer, of which at most limit bytes are read. An answer other than
// 200 is an error.
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
