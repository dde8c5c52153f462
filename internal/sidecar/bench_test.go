package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// BenchmarkRequest sends requests one after another on one connection: to the node
// beside the backend server, and through another node. With -cpu 1 the time is the
// processor time of caller, nodes and backend server together.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b)
	shop, other := f.host("shop-1", "shop"), f.host("other-1", "other")
	f.configure(4, farm)
	for _, entry := range []*host{shop, other} {
		entry.awaitServing("read.example")
		b.Run(entry.service, func(b *testing.B) {
			address := entry.sidecar.settings.Addresses.Callers
			conn, err := net.Dial("tcp", address)
			assert.NilError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			p := standin.PlatformRequest{Method: http.MethodGet, Host: "read.example", Path: "/x", ID: "bench", Key: "k1", Timeout: time.Second}
			req, err := p.Build(context.Background(), address)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, req.Write(conn))
				resp, err := http.ReadResponse(reader, req)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.Equal(b, resp.StatusCode, http.StatusOK)
			}
		})
	}
}
