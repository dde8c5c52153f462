package standin

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// SidecarBackendBehaviour are the faults that a SidecarBackend injects. Fractions are
// of all requests, from 0 to 1; the request ID determines which requests are
// affected.
type SidecarBackendBehaviour struct {
	WorkFactor  float64 // multiplies the service time; 0 and other values below 1 count as 1
	DropAnswer  float64 // fraction that is run and gets no response
	Truncate    float64 // fraction whose response is cut off after half of the body
	ExtraAnswer float64 // fraction whose response is followed by an unsolicited second one
	Fail        float64 // fraction that is answered with 500
	Shed        float64 // fraction that is refused as not run
}

// formatResponse returns the header of a response. It says of the server what all its
// responses say: one that names no limit would end the limit.
func (s *SidecarBackend) formatResponse(id string, status int, seal string, length int) string {
	h := http.Header{}
	h.Set(platformAttemptID, id)
	h.Set(platformSeal, seal)
	h.Set("Content-Length", strconv.Itoa(length))
	s.setSignals(h)
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&text) // a strings.Builder does not fail
	text.WriteString("\r\n")
	return text.String()
}

// writeRawAndClose writes text to the hijacked connection and closes it.
func writeRawAndClose(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text) // a write error means that the node disconnected
	_ = conn.Close()
}

// faultSampler decides from the hash of a request ID which faults apply to the
// request, so that the same request ID always gets the same faults.
type faultSampler struct {
	sum  [sha256.Size]byte
	next int
}

func newFaultSampler(id string) *faultSampler { return &faultSampler{sum: sha256.Sum256([]byte(id))} }

// sample reports whether the next fault, which applies to a fraction of all
// requests, applies to this one.
func (f *faultSampler) sample(fraction float64) bool {
	f.next++
	return float64(f.sum[f.next])/256 < fraction
}
