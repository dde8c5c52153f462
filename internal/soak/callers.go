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
	// Callers pause between requests for a random time up to this.
	callerPause = 150 * time.Millisecond
	// callerDeadline is how long a caller waits.
	callerDeadline = 3 * time.Second
	connectLimit   = time.Second
)

// caller keeps a connection to one host open and sends one request after another.
type caller struct {
	host   *host
	random *rand.Rand
	conn   net.Conn // nil until the next request
	reader *bufio.Reader
}

var requestIDs atomic.Int64

// run sends requests until ctx ends. next draws one.
func (c *caller) run(ctx context.Context, next func(*rand.Rand) (p standin.PlatformRequest, workspace string)) {
	defer c.close()
	for pause.For(ctx, time.Duration(c.random.Int64N(int64(callerPause)))) {
		p, workspace := next(c.random)
		p.ID = fmt.Sprintf("r%d", requestIDs.Add(1))
		p.Timeout = callerDeadline
		c.send(ctx, &p, workspace)
	}
}

// send sends one request and notes what came of it. It returns the status, or 0.
func (c *caller) send(ctx context.Context, p *standin.PlatformRequest, workspace string) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.at(callersPort), connectLimit)
		if err != nil {
			return 0 // the request was not sent
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	req, err := p.Build(ctx, c.host.at(callersPort))
	if err != nil {
		return 0
	}
	l := c.host.fleet.ledger
	r := l.sent(c.host, p, workspace, time.Now())
	status, wrong := c.exchange(req, p)
	if ctx.Err() != nil && status == 0 {
		c.close()
		return 0 // the end of the soak cut it off
	}
	l.ended(r, status, wrong, time.Now())
	return status
}

// exchange returns the status of a whole answer, or 0, and what is wrong with it.
func (c *caller) exchange(req *http.Request, p *standin.PlatformRequest) (status int, wrong string) {
	_ = c.conn.SetDeadline(time.Now().Add(callerDeadline + connectLimit)) // fails on a closed connection, as the write does
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
