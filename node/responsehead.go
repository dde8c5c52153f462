package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/headerfield"
)

// errMalformedHead is the class of errors of the header of a response that is not valid
// HTTP/1.x. net/http accepts some of them and guesses what they mean.
var errMalformedHead = errs.Class("the answer is not valid HTTP")

const maxQuotedBytes = 64 // of a response in an error

func shortened(b []byte) []byte { return b[:min(len(b), maxQuotedBytes)] }

// headScanner checks the lines of a response's header while they arrive.
type headScanner struct {
	scanned   int  // bytes that have been searched for the end of a line
	lineStart int  // bytes before the line that is not complete yet
	fields    int  // complete fields
	started   bool // the status line was seen
	http10    bool // the version is HTTP/1.0
}

// scan checks the complete lines in b, which begins with the status line and has grown
// since the last call. It reports whether the header is complete.
func (h *headScanner) scan(b []byte) (complete bool, err error) {
	for {
		length := bytes.IndexByte(b[h.scanned:], '\n')
		if length < 0 {
			h.scanned = len(b)
			return false, nil
		}
		end := h.scanned + length
		line := bytes.TrimSuffix(b[h.lineStart:end], []byte("\r"))
		h.scanned, h.lineStart = end+1, end+1
		switch {
		case !h.started:
			h.started = true
			h.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
			err = checkStatusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			err = h.checkHeadField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// checkStatusLine returns an error unless the status is one of those that RFC 9110 defines
// the meaning of, 100 to 599.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if minor, ok := bytes.CutPrefix(version, []byte("HTTP/1.")); !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return errMalformedHead.New("version %q", shortened(version))
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errMalformedHead.New("status %q", shortened(status))
	}
	if !headerfield.IsValue(reason) {
		return errMalformedHead.New("a control character behind the status")
	}
	return nil
}

// checkHeadField checks a field of the header and counts it. HTTP/1.0 has no transfer
// encodings, so where a body with one ends is not certain (RFC 9112, section 6.1).
func (h *headScanner) checkHeadField(line []byte) error {
	if h.fields++; h.fields > maxResponseFields {
		return errResponseHeader
	}
	if name, _, _ := bytes.Cut(line, []byte(":")); h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errMalformedHead.New("a transfer encoding in HTTP/1.0")
	}
	return checkField(line)
}

// checkField returns an error unless line is a field on one line. A line that begins with a
// blank continues the field before it; RFC 9112 lets a gateway reject such a response.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !headerfield.IsName(name) {
		return errMalformedHead.New("field name %q", shortened(name))
	}
	if !headerfield.IsValue(value) {
		return errMalformedHead.New("a control character in the value of %s", shortened(name))
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// awaitHead waits until the header of a response is buffered, and checks it. It consumes
// nothing. The error is of class errMalformedHead, or that of the connection.
func (c *pooledConn) awaitHead() error {
	var h headScanner
	for {
		buffered, _ := c.r.Peek(c.r.Buffered()) // cannot fail, because so much is buffered
		if complete, err := h.scan(buffered); complete || err != nil {
			return err
		}
		if err := c.bufferMore(); err != nil {
			return err
		}
	}
}

// bufferMore waits for further bytes of a header that is not complete.
func (c *pooledConn) bufferMore() error {
	if c.r.Buffered() == c.r.Size() {
		if err := c.growBuffer(); err != nil {
			return err
		}
	}
	_, err := c.r.Peek(c.r.Buffered() + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBuffer replaces a full read buffer by one that holds the longest header.
func (c *pooledConn) growBuffer() error {
	if c.r.Size() > connBufferBytes {
		return errResponseHeader
	}
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return err
	}
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c), connBufferBytes+maxResponseHeaderBytes)
	return nil
}

// shrinkBuffer replaces a grown read buffer, which must be empty, by one of the usual size.
func (c *pooledConn) shrinkBuffer() {
	if c.r.Size() > connBufferBytes {
		c.r = bufio.NewReaderSize(c, connBufferBytes)
	}
}
