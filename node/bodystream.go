package node

// bodyStream is the body of a request that is not fully buffered, as one try sends it. Only
// the stream of the current try can read from the body: the goroutine that writes the body
// may come to its first read after its try has ended.
type bodyStream struct{ body *requestBody }

// openStream returns the body for a new try, or an error if an earlier try has read from it.
// end must be called on the stream.
func (b *requestBody) openStream() (*bodyStream, error) {
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	if b.consumed || b.stream != nil {
		return nil, errBodyClosed
	}
	b.stream = &bodyStream{body: b}
	return b.stream, nil
}

// Read implements io.Reader.
func (s *bodyStream) Read(p []byte) (int, error) {
	if !s.begin() {
		return 0, errBodyClosed
	}
	return s.body.read(p)
}

// begin reports whether the stream may read, and marks the body as consumed if so.
func (s *bodyStream) begin() bool {
	b := s.body
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	if b.stream != s {
		return false
	}
	b.consumed = true
	return true
}

// end makes further reads fail. A read that has begun may go on; the body is consumed then.
func (s *bodyStream) end() {
	b := s.body
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	if b.stream == s {
		b.stream = nil
	}
}
