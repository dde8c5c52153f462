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
	maxCallerPause = 150 * time.Millisecond // default of Options.MaxPause
	callerTimeout  = 3 * time.Second
	connectTimeout = time.Second
	pipelineOneIn  = 3 // pairs of GET requests that could be sent together
)

// caller sends requests to one host over a persistent connection, some of them two at a
// time: the second one before the answer to the first one.
type caller struct {
	host   *host
	rng    *rand.Rand
	conn   net.Conn // nil if the next request has to connect
	reader *bufio.Reader
	// maxPause is the longest pause before a request. The pause is random.
	maxPause time.Duration
}

var requestIDs atomic.Int64

// run sends requests until ctx ends, with a random pause for each. nextRequest returns a
// random request and its workspace.
func (c *caller) run(ctx context.Context, nextRequest func(*rand.Rand) (p standin.PlatformRequest, workspace string)) {
	defer c.close()
	for c.pause(ctx) {
		first, second := c.next(nextRequest), c.next(nextRequest)
		if first.Method == http.MethodGet && second.Method == http.MethodGet && c.rng.IntN(pipelineOneIn) == 0 && c.pause(ctx) {
			c.sendAll(ctx, first, second)
			continue
		}
		c.sendAll(ctx, first)
	}
}

// pause waits for a random time and returns false if ctx ends first.
func (c *caller) pause(ctx context.Context) bool {
	return pause.For(ctx, time.Duration(c.rng.Int64N(int64(c.maxPause))))
}

// outgoing is a request with its workspace.
type outgoing struct {
	standin.PlatformRequest
	workspace string
}

func (c *caller) next(nextRequest func(*rand.Rand) (standin.PlatformRequest, string)) *outgoing {
	p, workspace := nextRequest(c.rng)
	p.ID = fmt.Sprintf("r%d", requestIDs.Add(1))
	p.Timeout = callerTimeout
	return &outgoing{PlatformRequest: p, workspace: workspace}
}

// send sends one request and records its outcome. It returns the status, or 0 if
// there was no complete response.
func (c *caller) send(ctx context.Context, p *standin.PlatformRequest, workspace string) int {
	return c.sendAll(ctx, &outgoing{PlatformRequest: *p, workspace: workspace})
}

// sendAll sends requests on one connection, before it reads the first answer, and records
// their outcomes. It returns the status of the first one, or 0 if there was no complete
// response.
func (c *caller) sendAll(ctx context.Context, requests ...*outgoing) (status int) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.at(callersPort), connectTimeout)
		if err != nil {
			return 0 // nothing was sent
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout + connectTimeout)) // fails only on a closed connection, on which the write fails too
	chk := c.host.fleet.checker
	var sent []*request
	for i, p := range requests {
		req, err := p.Build(ctx, c.host.at(callersPort))
		if err != nil {
			return 0
		}
		r := chk.recordSent(c.host, &p.PlatformRequest, p.workspace, time.Now())
		r.behind = i > 0
		sent = append(sent, r)
		if err := req.Write(c.conn); err != nil {
			c.close()
			break
		}
	}
	for i, r := range sent {
		got, problem := c.receive(r.ID)
		if ctx.Err() != nil && got == 0 {
			c.close()
			return status // interrupted by the end of the soak; the outcome is not recorded
		}
		chk.recordEnd(r, got, problem, time.Now())
		if i == 0 {
			status = got
		}
	}
	return status
}

// receive returns the status of the next response, or 0 without a complete one, and a
// description of what is wrong with the response, or "".
func (c *caller) receive(id string) (status int, problem string) {
	if c.conn == nil {
		return 0, "" // the response before was the last one
	}
	resp, err := http.ReadResponse(c.reader, nil)
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
	return resp.StatusCode, standin.CheckSeal(id, resp, body)
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
