package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// sendText returns a handler that sends text, with the ID of the request in it, and closes
// the connection.
func sendText(text string) http.HandlerFunc {
	return sendRaw(func(conn *net.TCPConn, r *http.Request) { _, _ = io.WriteString(conn, forRequest(text, r)) })
}

// assertBroken checks, on the same host and across one hop, that a request whose server
// sends each of the given texts runs once and gets 502.
func assertBroken(t *testing.T, texts map[string]string) {
	shop, entry := newFleet(t).shopAndEntry()
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			shop.setResponse(sendText(text))
			for _, h := range []*host{shop, entry} {
				before := len(shop.requests())
				a := h.call("POST", "order.example", "k1")
				assert.Check(t, a.status == http.StatusBadGateway, "status %d, header %v, body %q", a.status, a.header, a.body)
				assert.Check(t, !a.sealed())
				assert.Equal(t, len(shop.requests())-before, 1)
			}
		})
	}
}

// Guards against an answer with a status that does not exist, which reaches a caller as an
// answer or is skipped like an interim answer, so that the bytes behind it count as the answer.
func TestInvalidStatus(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n" + sealedFields + "Content-Length: 5\r\n\r\nwrong"
	texts := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "700", "999"} {
		head := "HTTP/1.1 " + status + " Status\r\n" + sealedFields
		texts[status] = head + "Content-Length: 5\r\n\r\nwrong"
		texts[status+" without a body"] = head + "\r\n"
		texts[status+" before an answer"] = head + "\r\n" + answer
	}
	texts["000 with an answer as its body"] = "HTTP/1.1 000 Status\r\nContent-Length: 95\r\n\r\n" + answer
	assertBroken(t, texts)
}

// badFields are lines of a header or a trailer section that are no fields.
var badFields = map[string]string{
	"blank before the colon":      "X-Field : 1",
	"tab before the colon":        "X-Field\t: 1",
	"blank in the name":           "X Field: 1",
	"blank before the name":       " X-Field: 1",
	"tab before the name":         "\tX-Field: 1",
	"NUL in the name":             "X-Fi\x00eld: 1",
	"control byte in the name":    "X-Fi\x01eld: 1",
	"carriage return in the name": "X-Fi\reld: 1",
	"DEL in the name":             "X-Fi\x7feld: 1",
	"separator in the name":       "X(Field): 1",
	"no name":                     ": 1",
	"no colon":                    "X-Field",
	"NUL in the value":            "X-Field: 1\x002",
	"carriage return in a value":  "X-Field: 1\r2",
}

// Guards against an answer with a field name that is not valid, which reaches a caller with
// that line, or with a body that is not the server's because the line says where it ends.
func TestInvalidFieldInHead(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	texts := map[string]string{
		"length with a blank":   start + sealedFields + "Content-Length : 4\r\n\r\nbodybehind",
		"encoding with a blank": start + sealedFields + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"coding with a blank":   start + sealedFields + "Content-Encoding : gzip\r\nContent-Length: 4\r\n\r\nbody",
		"folded seal":           start + sealedFields + " Content-Length: 4\r\n\r\nbodybehind",
	}
	for name, field := range badFields {
		texts[name] = start + sealedFields + field + "\r\nContent-Length: 4\r\n\r\nbody"
		texts[name+", first"] = start + field + "\r\n" + sealedFields + "Content-Length: 4\r\n\r\nbody"
		texts[name+", interim answer"] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + start + sealedFields + "Content-Length: 4\r\n\r\nbody"
	}
	assertBroken(t, texts)
}

// Guards against a body that holds the sizes of its chunks, because net/http ignores the
// transfer encoding of an HTTP/1.0 answer.
func TestTransferEncodingInHTTP10(t *testing.T) {
	const start = "HTTP/1.0 200 OK\r\n" + sealedFields + "transfer-encoding: chunked\r\n"
	const body = "\r\n4\r\nbody\r\n0\r\n\r\n"
	assertBroken(t, map[string]string{"no length": start + body, "length": start + "Content-Length: 4\r\n" + body})
}

// Guards against a line of the trailers that is no field and reaches a caller, and against
// an answer that counts as complete although its trailers are broken.
func TestInvalidFieldInTrailers(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n" + sealedFields + "Transfer-Encoding: chunked\r\n"
	const chunks = "\r\n4\r\nbody\r\n0\r\n"
	texts := map[string]string{
		"blank in a declared name": start + "Trailer: X Field\r\n" + chunks + "X Field: 1\r\n\r\n",
	}
	for name, field := range badFields {
		texts[name] = start + chunks + field + "\r\n\r\n"
		texts[name+", behind another"] = start + "Trailer: X-Sum\r\n" + chunks + "X-Sum: 1\r\n" + field + "\r\n\r\n"
	}
	assertBroken(t, texts)
}

// Guards against an answer whose body ends elsewhere than its server meant, because its
// length, its encoding or its chunks can be read in more than one way.
func TestMalformedFraming(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n" + sealedFields
	texts := map[string]string{"no end of the chunks": start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"}
	for _, length := range []string{"", "-1", "+4", "4, 4", "0x4", "4x", "99999999999999999999"} {
		texts[fmt.Sprintf("length %q", length)] = start + "Content-Length: " + length + "\r\n\r\nbody"
	}
	texts["two lengths"] = start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody1"
	for _, encoding := range []string{"", "identity", "gzip, chunked", "chunked\r\nTransfer-Encoding: chunked", "\x0bchunked"} {
		texts[fmt.Sprintf("encoding %q", encoding)] = start + "Transfer-Encoding: " + encoding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	}
	for _, size := range []string{"", "+4", " 4", "0x4", "-4", "FFFFFFFFFFFFFFFFF"} {
		texts[fmt.Sprintf("chunk size %q", size)] = start + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\nbody\r\n0\r\n\r\n"
	}
	texts["no line end behind a chunk"] = start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n"
	texts["bare line feeds"] = start + "Transfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n"
	assertBroken(t, texts)
}
