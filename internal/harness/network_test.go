package harness

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Checks that a cut delivers nothing, and that all bytes held back arrive once
// the cut is removed. Tests of fault handling would otherwise prove nothing.
func TestNetworkCuts(t *testing.T) {
	for _, tc := range []struct {
		name     string
		from, to string
	}{
		{"requests", "a", "b"},
		{"answers", "b", "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := NewNetwork()
			defer n.Close()
			n.SetZone("127.9.9.1", "a")
			addr, err := n.Proxy("127.0.0.1:0", startEchoServer(t), "b")
			assert.NilError(t, err)
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.9.9.1")}}
			c, err := dialer.Dial("tcp", addr)
			assert.NilError(t, err)
			defer c.Close()
			r := bufio.NewReader(c)
			_, err = io.WriteString(c, "one\n")
			assert.NilError(t, err)
			line, err := r.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "one\n")

			n.SetRule(tc.from, tc.to, Rule{Cut: true})
			_, err = io.WriteString(c, "two\n")
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			_, err = r.ReadString('\n')
			assert.ErrorContains(t, err, "timeout")

			n.SetRule(tc.from, tc.to, Rule{})
			assert.NilError(t, c.SetReadDeadline(time.Time{}))
			line, err = r.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "two\n")
		})
	}
}
