package stage

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

const dialTimeout = time.Second

// Conn is a caller's connection to a sidecar, which is kept for several requests.
type Conn struct {
	conn net.Conn
	r    *bufio.Reader
	Used int // requests answered
}

// Dial opens a connection to the callers listener of a host.
func Dial(h *Host) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", h.Callers, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, r: bufio.NewReader(conn)}, nil
}

// LimitReading makes the caller read no faster than perSecond bytes a second; 0 means no
// limit. It must be called before the first answer is read.
func (c *Conn) LimitReading(perSecond int) {
	if perSecond > 0 {
		c.r = bufio.NewReader(&slowReader{r: c.conn, perSecond: perSecond})
	}
}

// slowReader reads no faster than perSecond bytes a second.
type slowReader struct {
	r         io.Reader
	perSecond int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.perSecond))
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Answer is what a caller got for a request.
type Answer struct {
	Status int // 0: the connection ended without a complete answer
	Body   []byte
	Ended  bool  // the connection was closed, by a header or without one
	Err    error // why there is no complete answer
	Wrong  string
}

// Send writes a request.
func (c *Conn) Send(p *standin.PlatformRequest) error {
	r, err := p.Build(context.Background(), c.conn.RemoteAddr().String())
	if err != nil {
		return err
	}
	return r.Write(c.conn)
}

// ErrPatience is the error of an answer that did not come until the caller gave up.
var ErrPatience = errors.New("no answer until the caller gave up")

// Receive reads the answer to a request that was sent with the method. The caller gives up
// at the time limit.
func (c *Conn) Receive(p *standin.PlatformRequest, limit time.Time) Answer {
	_ = c.conn.SetReadDeadline(limit) // a failure shows in the read
	resp, err := http.ReadResponse(c.r, &http.Request{Method: p.Method})
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed(err)
	}
	c.Used++
	return Answer{Status: resp.StatusCode, Body: body, Ended: resp.Close, Wrong: standin.CheckSeal(p.ID, resp, body)}
}

func failed(err error) Answer {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = ErrPatience
	}
	return Answer{Ended: true, Err: err}
}
