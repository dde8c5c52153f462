package lab3

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// PipelinedUploads sends idempotent uploads on one connection without waiting for the answers,
// and closes it after a while. It returns the IDs of the uploads and when the connection was
// closed.
func (c *Client) PipelinedUploads(host, path, key string, count, length int, deadline, stay time.Duration) (ids []string, closed time.Time, err error) {
	conn, err := net.Dial("tcp", c.node.Callers)
	if err != nil {
		return nil, time.Time{}, err
	}
	var text bytes.Buffer
	for range count {
		id := fmt.Sprintf("%016x", c.lab.ids.Add(1))
		ids = append(ids, id)
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s%s\r\nContent-Length: %d\r\n\r\n%s",
			http.MethodPost, path, host, names.Attempt, id, names.Deadline, deadline.Milliseconds(), names.Key, names.KeyScheme, key, length, strings.Repeat("x", length))
		c.lab.Record.Line("sent", "node", c.node.Name, "id", id, "bytes", length)
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(text.Bytes())
		written <- err
	}()
	time.Sleep(stay)
	closed = time.Now()
	_ = conn.Close()
	c.lab.Record.Line("closed", "ids", strings.Join(ids, ","))
	<-written // the node may not have read all
	return ids, closed, nil
}
