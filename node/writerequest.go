package node

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// The methods in this file write the header and the body of a request. The
// bufio.Writer keeps errors until Flush. Names and values come from parsed headers, so
// they contain no line breaks.

func (req *outboundRequest) writeHeader(w *bufio.Writer) {
	writeStrings(w, req.method, " ", req.url.RequestURI(), " HTTP/1.1\r\nHost: ", req.host, "\r\n")
	for name, values := range req.header {
		for _, v := range values {
			writeStrings(w, name, ": ", v, "\r\n")
		}
	}
	for _, f := range req.extraHeaders {
		writeStrings(w, f.Name, ": ", f.Value, "\r\n")
	}
	req.writeFraming(w)
	writeStrings(w, "\r\n")
}

func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}

// writeFraming writes the headers that delimit the body.
func (req *outboundRequest) writeFraming(w *bufio.Writer) {
	switch {
	case req.isChunked():
		writeStrings(w, "Transfer-Encoding: chunked\r\n")
		if names := req.trailerNames(); len(names) > 0 {
			writeStrings(w, "Trailer: ", strings.Join(names, ", "), "\r\n")
		}
	case req.body.declaredLength > 0 || req.method == http.MethodPost || req.method == http.MethodPut || req.method == http.MethodPatch:
		writeStrings(w, "Content-Length: ", strconv.FormatInt(req.body.declaredLength, 10), "\r\n")
	}
}

func (req *outboundRequest) isChunked() bool {
	return req.body.declaredLength < 0 || (req.chunked && req.body.declaredLength > 0) || len(req.body.trailer) > 0
}

func (req *outboundRequest) trailerNames() []string {
	names := make([]string, 0, len(req.body.trailer))
	for name := range req.body.trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// writeBuffered writes a fully buffered body.
func (req *outboundRequest) writeBuffered(w *bufio.Writer) {
	body := req.body.buffered
	if !req.isChunked() {
		_, _ = w.Write(body)
		return
	}
	if len(body) > 0 {
		writeChunk(w, body)
	}
	req.writeLastChunk(w)
}

func writeChunk(w *bufio.Writer, p []byte) {
	var size [16]byte
	_, _ = w.Write(strconv.AppendInt(size[:0], int64(len(p)), 16))
	writeStrings(w, "\r\n")
	_, _ = w.Write(p)
	writeStrings(w, "\r\n")
}

func (req *outboundRequest) writeLastChunk(w *bufio.Writer) {
	writeStrings(w, "0\r\n")
	for name, values := range req.body.trailer {
		for _, v := range values {
			writeStrings(w, name, ": ", v, "\r\n")
		}
	}
	writeStrings(w, "\r\n")
}

// writeStream writes a body as it is read from stream and flushes after each part.
func (req *outboundRequest) writeStream(w *bufio.Writer, stream io.Reader) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := stream.Read(buffer[:])
		if n > 0 && req.isChunked() {
			writeChunk(w, buffer[:n])
		} else if n > 0 {
			_, _ = w.Write(buffer[:n])
		}
		if err == io.EOF {
			if req.isChunked() {
				req.writeLastChunk(w)
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
