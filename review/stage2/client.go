package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	tenantKey  = "key-of-farm"
	tenantName = "farm"
)

// outgoing is a request of a client.
type outgoing struct {
	method, host, id string
	deadline         time.Duration
}

// text returns the request as it is sent.
func (o *outgoing) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /a/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		o.method, o.host, names.Attempt, o.id, names.Deadline, o.deadline.Milliseconds(), tenantKey)
	return b.String() + "\r\n"
}

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	size   int
}

func (a answer) String() string {
	return fmt.Sprintf("%d, signature %v, %d bytes", a.status, a.sealed, a.size)
}

// client is a connection of a client to the node of its machine.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.ports.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(o *outgoing) error {
	_, err := io.WriteString(c.conn, o.text())
	return err
}

// read reads one answer, which must be complete by the time limit.
func (c *client) read(method string, limit time.Duration) (answer, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit)) // a failure shows in the read
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, sealed: resp.Header.Get(names.Seal) != "", size: int(n)}, err
}

// ask sends a request on a connection of its own and reads the answer.
func ask(m *machine, o *outgoing) (answer, error) {
	c, err := dial(m)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	if err := c.send(o); err != nil {
		return answer{}, err
	}
	return c.read(o.method, o.deadline+time.Second)
}

// awaitServed waits until a request of the route is served at each of the nodes.
func awaitServed(nodes []*machine, host string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range nodes {
		for n := 0; ; n++ {
			got, err := ask(m, &outgoing{method: http.MethodGet, host: host, id: fmt.Sprintf("warm-%s-%d", m.name, n), deadline: routeTimeout})
			if err == nil && got.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves no request: %v, %v", m.name, got, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
