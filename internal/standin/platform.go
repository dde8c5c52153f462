// Package standin holds small stand-ins for the systems around the nodes: the
// platform and a backend server. They serve tests, the demo and experiments.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maxPlatformBody = 16 << 20

// PlatformFaults is the failure mode of a Platform.
type PlatformFaults struct {
	Down         bool          `json:"down"`         // refuse every call with 503, without effect
	Delay        time.Duration `json:"delay"`        // added before each call, nanoseconds
	DropAnswers  int           `json:"lose_answers"` // drop the connection after the effect of the next n writes
	DropRequests int           `json:"lose_before"`  // drop the connection before the effect of the next n writes
	Compacted    bool          `json:"compacted"`    // answer feeds with 410
}

// Platform is an in-memory table service and object store that speaks the
// platform's published protocol over HTTP.
type Platform struct {
	mu      sync.Mutex
	rows    map[rowID]storedRow
	log     []storedRow // all changes in order
	changed chan struct{}
	objects map[string][]byte
	ver     uint64
	started time.Time
	faults  PlatformFaults
	reads   uint64
	writes  uint64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows: map[rowID]storedRow{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now(),
	}
}

// SetFaults replaces the failure mode.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the numbers of reads and writes served.
func (p *Platform) Calls() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler serves the table, the object store and POST /faults, which takes
// PlatformFaults as JSON.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", p.guard(p.transact))
	mux.HandleFunc("GET /-/rows-get", p.guard(p.getRows))
	mux.HandleFunc("GET /-/rows-feed", p.guard(p.feed))
	mux.HandleFunc("GET /-/blob-get/{id}", p.guard(p.getObject))
	mux.HandleFunc("PUT /-/blob-put/{id}", p.guard(p.putObject))
	mux.HandleFunc("POST /faults", p.postFaults)
	mux.HandleFunc("GET /calls", p.getCalls)
	return mux
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.Calls()
	writeJSON(w, map[string]uint64{"reads": reads, "writes": writes})
}

// guard applies the failure mode around a handler.
func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, loseBefore, loseAfter := p.nextFault(r.Method != http.MethodGet)
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if loseBefore {
			panic(http.ErrAbortHandler)
		}
		if !loseAfter {
			next(w, r)
			return
		}
		next(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) nextFault(write bool) (f PlatformFaults, loseBefore, loseAfter bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f = p.faults
	if !write {
		p.reads++
		return f, false, false
	}
	p.writes++
	if p.faults.DropRequests > 0 {
		p.faults.DropRequests--
		return f, true, false
	}
	if p.faults.DropAnswers > 0 {
		p.faults.DropAnswers--
		return f, false, true
	}
	return f, false, false
}

// now returns the platform's steady clock.
func (p *Platform) now() string {
	return strconv.FormatInt(time.Since(p.started).Milliseconds(), 10) + "ms"
}

func writeJSON(w http.ResponseWriter, v any) { writeStatusJSON(w, http.StatusOK, v) }

func writeStatusJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// discardWriter takes an answer that is not to be sent.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
