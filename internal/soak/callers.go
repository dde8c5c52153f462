package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

const (
	callersPerHost = 3
	maxCallerPause = 150 * time.Millisecond // the pause between requests is random
	callerTimeout  = 3 * time.Second
	connectTimeout = time.Second
)

// caller sends requests to one host, one at a time, over a persistent connection.
type caller struct {
	host   *host
	rng    *rand.Rand
	conn   net.Conn // nil if the next request has to connect
	reader *bufio.Reader
}

var requestIDs atomic.Int64

// run sends requests until ctx ends, with a random pause before each. nextRequest
// returns a random request and its workspace.
func (c *caller) run(ctx context.Context, nextRequest func(*rand.Rand) (p standin.PlatformRequest, workspace string)) {
	defer c.close()
	for pause.For(ctx, time.Duration(c.rng.Int64N(int64(maxCallerPause)))) {
		p, workspace := nextRequest(c.rng)
		p.ID = fmt.Sprintf("r%d", requestIDs.Add(1))
		p.Timeout = callerTimeout
		c.send(ctx, &p, workspace)
	}
}

// send sends one request and records its outcome. It returns the status, or 0 if
// there was no complete response.
func (c *caller) send(ctx context.Context, p *standin.PlatformRequest, workspace string) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.at(callersPort), connectTimeout)
		if err != nil {
			return 0 // the request was not sent
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	req, err := p.Build(ctx, c.host.at(callersPort))
	if err != nil {
		return 0
	}
	chk := c.host.fleet.checker
	r := chk.recordSent(c.host, p, workspace, time.Now())
	status, problem := c.roundTrip(req, p)
	if ctx.Err() != nil && status == 0 {
		c.close()
		return 0 // interrupted by the end of the soak; the outcome is not recorded
	}
	chk.recordEnd(r, status, problem, time.Now())
	return status
}

// roundTrip returns the status of a complete response, or 0, and a description of
// what is wrong with the response, or "".
func (c *caller) roundTrip(req *http.Request, p *standin.PlatformRequest) (status int, problem string) {
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout + connectTimeout)) // fails only on a closed connection, on which the write fails too
	if err := req.Write(c.conn); err != nil {
		c.close()
		return 0, ""
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		c.close()
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return 0, ""
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, standin.CheckSeal(p.ID, resp, body)
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
