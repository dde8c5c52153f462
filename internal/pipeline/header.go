package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/headerfield"
)

// readHeader reads the header of one request, with the request line. exclusive
// reports that this request and the bytes after it must go to one stream unchanged.
func readHeader(r *bufio.Reader) (header []byte, exclusive bool, err error) {
	for {
		line, err := r.ReadSlice('\n')
		header = append(header, line...)
		switch {
		case err == bufio.ErrBufferFull && len(header) <= maxHeaderBytes:
			continue
		case err == bufio.ErrBufferFull:
			return header, true, nil
		case err != nil:
			return header, true, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(header) > 2 {
			return header, !canRunConcurrently(header), nil
		}
		if len(header) > maxHeaderBytes {
			return header, true, nil
		}
	}
}

// canRunConcurrently reports whether the request with this header has no body, is safe to
// handle concurrently with others, and leaves the connection open. It returns false for
// every header that the server rejects: where such a request ends is not certain, so the
// bytes behind it must not be run as requests.
func canRunConcurrently(header []byte) bool {
	line, fields, _ := bytes.Cut(header, []byte("\n"))
	if !isPlainRequestLine(string(trimCR(line))) {
		return false
	}
	hosts := 0
	for field := range bytes.Lines(fields) {
		field = trimCR(bytes.TrimSuffix(field, []byte("\n")))
		if len(field) == 0 {
			break // the end of the header
		}
		name, value, found := bytes.Cut(field, []byte(":"))
		if !found || !isToken(name) || !headerfield.IsValue(value) {
			return false
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
			if !isHost(value) {
				return false
			}
		case bytes.EqualFold(name, []byte("Content-Length")):
			if !bytes.Equal(value, []byte("0")) {
				return false
			}
		case bytes.EqualFold(name, []byte("Connection")):
			if !bytes.EqualFold(value, []byte("keep-alive")) {
				return false
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Expect")), bytes.EqualFold(name, []byte("Upgrade")):
			return false
		}
	}
	return hosts == 1
}

// isPlainRequestLine reports whether line is a GET or HEAD request for a valid path in
// HTTP/1.1.
func isPlainRequestLine(line string) bool {
	method, rest, _ := strings.Cut(line, " ")
	path, version, _ := strings.Cut(rest, " ")
	if method != http.MethodGet && method != http.MethodHead || version != "HTTP/1.1" || !strings.HasPrefix(path, "/") {
		return false
	}
	_, err := url.ParseRequestURI(path)
	return err == nil
}

// isToken reports whether a field name has only letters, digits, "-" and "_". Other names
// are valid too, but not in use.
func isToken(name []byte) bool {
	for _, c := range name {
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}

// isHost reports whether a value of Host has only characters of names, IP addresses and
// ports.
func isHost(value []byte) bool {
	for _, c := range value {
		if !isToken([]byte{c}) && c != '.' && c != ':' && c != '[' && c != ']' {
			return false
		}
	}
	return true
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }
