package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/dotterelseam/dotterelseam/internal/headerfield"
)

const maxTrailerBytes = 4 << 10 // with the ends of the lines

// chunkedBody is the body of a chunked response. Unlike that of net/http, it checks the
// lines of the trailers as headScanner checks those of the header.
type chunkedBody struct {
	resp   *http.Response
	r      *bufio.Reader
	chunks io.Reader // ends in front of the trailers
	err    error     // returned by all further reads
}

// checkTrailers replaces the body of a chunked response by a chunkedBody that reads from r.
// It returns an error if a declared trailer has no valid name.
func checkTrailers(resp *http.Response, r *bufio.Reader) error {
	for name := range resp.Trailer {
		if !headerfield.IsName(name) {
			return errMalformedHead.New("trailer name %q", shortened([]byte(name)))
		}
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &chunkedBody{resp: resp, r: r, chunks: httputil.NewChunkedReader(r)}
	}
	return nil
}

// Read implements io.Reader. At the end it sets the trailers of the response.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	b.err = err
	if errors.Is(err, io.EOF) {
		if broken := b.readTrailers(); broken != nil {
			b.err = broken
		}
	}
	return n, b.err
}

// Close implements io.Closer. The exchange decides what becomes of its connection.
func (b *chunkedBody) Close() error { return nil }

func (b *chunkedBody) readTrailers() error {
	for left := maxTrailerBytes; ; {
		line, err := b.r.ReadSlice('\n')
		left -= len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || left < 0:
			return errMalformedHead.New("more than %d bytes of trailers", maxTrailerBytes)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
		b.addTrailer(line)
	}
}

// addTrailer adds a valid line to the trailers of the response.
func (b *chunkedBody) addTrailer(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if b.resp.Trailer == nil {
		b.resp.Trailer = http.Header{}
	}
	b.resp.Trailer.Add(string(name), string(bytes.Trim(value, " \t")))
}
