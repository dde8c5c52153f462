package lab3

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Received is an upload that a server has received whole and run.
type Received struct {
	ID    string
	Bytes int
	Whole bool // it is the body that the client sent
}

// UploadServer is a sound server of uploads, unless ExtraShare is set: then it sends some of
// its answers a second time. The body of each upload follows from its ID and length, which
// stands in the path.
type UploadServer struct {
	*Server
	ExtraShare atomic.Uint64 // of answers that are sent again, in thousandths
	extraDelay time.Duration // longest time to the second answer
	Extras     atomic.Int64  // second answers so far

	receivedMu sync.Mutex
	received   []Received
}

// StartUploadServer starts a server beside a node and begins to send heartbeats.
func StartUploadServer(n *Node, slots int, work, extraDelay time.Duration) *UploadServer {
	s := &UploadServer{extraDelay: extraDelay, Server: newServer(n, slots, work)}
	go func() {
		for {
			conn, err := n.ForServer.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	go s.heartbeats()
	return s
}

// Received returns the uploads that were run so far.
func (s *UploadServer) Received() []Received {
	s.receivedMu.Lock()
	defer s.receivedMu.Unlock()
	return append([]Received(nil), s.received...)
}

// serve reads one request after the other from a connection.
func (s *UploadServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	var writing sync.Mutex
	answered := 0 // answers so far; guarded by writing
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(names.Attempt)
		if expected := req.Header.Get(names.Instance); expected != s.Instance {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", names.Attempt, id)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return // the upload is not whole: it is not run
		}
		s.run(id, req.URL.Path, body)
		text := "stored " + id + "\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x\r\nContent-Length: %d\r\n\r\n%s",
			names.Attempt, id, names.Seal, crc32.ChecksumIEEE([]byte(text)), len(text), text)
		writing.Lock()
		answered++
		number := answered
		_, err = io.WriteString(conn, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if rand.Uint64N(1000) < s.ExtraShare.Load() {
			time.AfterFunc(rand.N(s.extraDelay), func() {
				writing.Lock()
				defer writing.Unlock()
				if answered == number { // never within or behind a later answer
					s.Extras.Add(1)
					_, _ = io.WriteString(conn, answer)
				}
			})
		}
	}
}

func (s *UploadServer) run(id, path string, body []byte) {
	time.Sleep(s.work)
	length, _ := strconv.Atoi(path[bytes.LastIndexByte([]byte(path), '/')+1:]) // every path ends with a number
	whole := bytes.Equal(body, BodyOf(id, length))
	s.record.Line("run", "server", s.Instance, "id", id, "sent_bytes", length, "got_bytes", len(body), "same", whole)
	s.receivedMu.Lock()
	defer s.receivedMu.Unlock()
	s.received = append(s.received, Received{id, len(body), whole})
}

// BodyOf returns the body of the upload with an ID.
func BodyOf(id string, length int) []byte {
	const part = 1 << 10 // bytes that a digest is repeated for
	out := make([]byte, 0, length+part)
	for i := 0; len(out) < length; i++ {
		digest := sha256.Sum256([]byte(id + strconv.Itoa(i)))
		out = append(out, bytes.Repeat([]byte(hex.EncodeToString(digest[:])), part/sha256.Size/2)...)
	}
	return out[:length]
}

// Upload sends an upload in chunks, as a client does that does not say the length, and waits
// for the answer.
func (c *Client) Upload(host, prefix, key string, length int, deadline time.Duration) Sent {
	id := fmt.Sprintf("%016x", c.lab.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	sent := Sent{ID: id, At: time.Now()}
	body := io.MultiReader(bytes.NewReader(BodyOf(id, length))) // hides the length
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%d", c.node.Callers, prefix, length), body)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(names.Attempt, id)
	r.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set(names.Key, names.KeyScheme+key)
	c.lab.Record.Line("sent", "node", c.node.Name, "id", id, "bytes", length)
	if resp, err := c.http.Do(r); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			sent.Status = resp.StatusCode
		}
	}
	c.lab.Record.Line("answered", "id", id, "status", sent.Status)
	return sent
}
