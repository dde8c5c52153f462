package node

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// The head and the body of a request on the wire. Errors of the bufio.Writer
// are kept by it until Flush. Names and values come from parsed headers, so
// they hold no line breaks.

func (o *outgoing) writeHead(w *bufio.Writer) {
	line(w, o.method, " ", o.url.RequestURI(), " HTTP/1.1\r\nHost: ", o.host, "\r\n")
	for name, values := range o.header {
		for _, v := range values {
			line(w, name, ": ", v, "\r\n")
		}
	}
	for _, f := range o.extra {
		line(w, f.Name, ": ", f.Value, "\r\n")
	}
	o.writeFraming(w)
	line(w, "\r\n")
}

func line(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}

// writeFraming tells how the body is delimited.
func (o *outgoing) writeFraming(w *bufio.Writer) {
	switch {
	case o.isChunked():
		line(w, "Transfer-Encoding: chunked\r\n")
		if names := o.trailerNames(); len(names) > 0 {
			line(w, "Trailer: ", strings.Join(names, ", "), "\r\n")
		}
	case o.body.length > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch:
		line(w, "Content-Length: ", strconv.FormatInt(o.body.length, 10), "\r\n")
	}
}

func (o *outgoing) isChunked() bool {
	return o.body.length < 0 || (o.chunked && o.body.length > 0) || len(o.body.trailer) > 0
}

func (o *outgoing) trailerNames() []string {
	names := make([]string, 0, len(o.body.trailer))
	for name := range o.body.trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// writeWhole writes a body that is held whole.
func (o *outgoing) writeWhole(w *bufio.Writer) {
	body := o.body.prefix
	if !o.isChunked() {
		_, _ = w.Write(body)
		return
	}
	if len(body) > 0 {
		writeChunk(w, body)
	}
	o.writeLastChunk(w)
}

func writeChunk(w *bufio.Writer, p []byte) {
	var size [16]byte
	_, _ = w.Write(strconv.AppendInt(size[:0], int64(len(p)), 16))
	line(w, "\r\n")
	_, _ = w.Write(p)
	line(w, "\r\n")
}

func (o *outgoing) writeLastChunk(w *bufio.Writer) {
	line(w, "0\r\n")
	for name, values := range o.body.trailer {
		for _, v := range values {
			line(w, name, ": ", v, "\r\n")
		}
	}
	line(w, "\r\n")
}

// writeStream passes on a body as it is read and ends with a flush.
func (o *outgoing) writeStream(w *bufio.Writer) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := o.body.Read(buffer[:])
		if n > 0 && o.isChunked() {
			writeChunk(w, buffer[:n])
		} else if n > 0 {
			_, _ = w.Write(buffer[:n])
		}
		if err == io.EOF {
			if o.isChunked() {
				o.writeLastChunk(w)
			}
			return w.Flush()
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
