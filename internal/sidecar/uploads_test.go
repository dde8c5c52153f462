package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadBytes is more than the sockets between a caller and a backend server hold, so that
// an upload that the server does not read stays unfinished.
const uploadBytes = 64 << 20

const uploadTimeout = 3 * time.Second

// startUpload sends a POST with uploadBytes of body in the background, and returns the
// answer, whose body has not been read yet, or the error of its head.
func (h *host) startUpload(hostName string) (*http.Response, error) {
	t := h.fleet.t
	conn, err := net.Dial("tcp", h.sidecar.settings.Addresses.Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(conn, requestHead(hostName, uploadTimeout, uploadBytes))
	assert.NilError(t, err)
	go func() {
		part := make([]byte, 64<<10)
		for range uploadBytes / len(part) {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}()
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// Guards against an answer without a length that a server resets during an upload and that
// a caller gets as a complete one: the write of the upload, not the read of the answer,
// may be what returns the error of the connection.
func TestAnswerResetDuringUpload(t *testing.T) {
	const (
		uploads = 20
		part    = "the first part"
	)
	shop, entry := newFleet(t).shopAndEntry()
	shop.setResponse(sendRaw(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, forRequest("HTTP/1.1 200 OK\r\n"+sealedFields+"\r\n"+part, r))
		time.Sleep(20 * time.Millisecond) // the upload fills the buffers meanwhile
		_ = conn.SetLinger(0)
	}))
	for name, h := range map[string]*host{"same host": shop, "one hop": entry} {
		t.Run(name, func(t *testing.T) {
			complete := 0
			for range uploads {
				resp, err := h.startUpload("order.example")
				if err != nil {
					continue
				}
				if _, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d answers", uploads)
		})
	}
}

// Guards against a complete answer without a length that is taken for a broken one because
// the upload is not finished: the server sends all of it, closes its sending side and reads on.
func TestAnswerEndsDuringUpload(t *testing.T) {
	body := strings.Repeat("whole", 10<<10)
	shop, entry := newFleet(t).shopAndEntry()
	shop.setResponse(sendRaw(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, forRequest("HTTP/1.1 200 OK\r\n"+sealedFields+"\r\n"+body, r))
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}))
	for _, h := range []*host{shop, entry} {
		for range 5 {
			resp, err := h.startUpload("order.example")
			assert.NilError(t, err)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, string(got), body)
		}
	}
}
