// Package nodecall sends small control requests from one node to another over HTTP.
package nodecall

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/httpclient"
)

// Error is the class of errors of requests that failed or got no answer as Do describes it.
var Error = errs.Class("call of another node")

// Do sends a request without a body to the node at a peers address (ip:port) and
// returns the response body. A status other than 200, a body longer than limit bytes and one
// that may have been cut off are errors. The error is of class Error.
func Do(ctx context.Context, client *http.Client, method, address, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := httpclient.WithoutRedirects(client).Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("%s answered with status %d", address, resp.StatusCode)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, Error.New("the answer of %s has no length", address)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if int64(len(body)) > limit {
		return nil, Error.New("the answer of %s is longer than %d bytes", address, limit)
	}
	return body, nil
}
