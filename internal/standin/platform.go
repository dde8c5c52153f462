// Package standin provides in-memory fakes of the systems that nodes depend on: the
// platform and backend servers. Tests, the demo and experiments use them.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maxPlatformBody = 16 << 20

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults struct {
	Down         bool          `json:"down"`         // answer every request with 503, without effect
	Delay        time.Duration `json:"delay"`        // added before each request, nanoseconds
	DropAnswers  int           `json:"lose_answers"` // apply the next n writes, but close the connection without a response
	DropRequests int           `json:"lose_before"`  // close the connection without applying the next n writes
	Compacted    bool          `json:"compacted"`    // answer feed requests with 410, as if the history was compacted
	Away         bool          `json:"away"`         // end every connection without a response
}

// Platform is an in-memory table service and object store that speaks the
// platform's published protocol over HTTP. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	rows    map[rowID]storedRow
	log     []storedRow   // all changes in order
	changed chan struct{} // closed and replaced at each change
	objects map[string][]byte
	ver     uint64
	era     uint64 // increases with each restore
	started time.Time
	faults  PlatformFaults
	reads   uint64
	writes  uint64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows: map[rowID]storedRow{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now(), era: firstEra,
	}
}

// SetFaults replaces the injected faults. Requests that have already been received
// may keep the previous ones.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Calls returns the numbers of read and write requests received, including those
// that failed because of an injected fault.
func (p *Platform) Calls() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler serves the table, the object store, POST /faults, which takes
// PlatformFaults as JSON, POST /restore, which takes the age of a copy as JSON in
// nanoseconds, and GET /calls, which returns the counts of Calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", p.withFaults(p.transact))
	mux.HandleFunc("GET /-/rows-get", p.withFaults(p.getRows))
	mux.HandleFunc("GET /-/rows-feed", p.withFaults(p.feed))
	mux.HandleFunc("GET /-/blob-get/{id}", p.withFaults(p.getObject))
	mux.HandleFunc("PUT /-/blob-put/{id}", p.withFaults(p.putObject))
	mux.HandleFunc("POST /faults", p.postFaults)
	mux.HandleFunc("POST /restore", p.postRestore)
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

// withFaults wraps a handler with the injected faults.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, dropRequest, dropAnswer := p.nextFault(r.Method != http.MethodGet)
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.Down {
			w.Header().Set(eraHeader, strconv.FormatUint(p.Era(), 10))
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if dropRequest || f.Away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(eraHeader, strconv.FormatUint(p.Era(), 10))
		if !dropAnswer {
			next(w, r)
			return
		}
		next(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) nextFault(write bool) (f PlatformFaults, dropRequest, dropAnswer bool) {
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

// clock returns the time since the start of the platform, from a monotonic clock.
func (p *Platform) clock() string {
	return strconv.FormatInt(time.Since(p.started).Milliseconds(), 10) + "ms"
}

func writeJSON(w http.ResponseWriter, v any) { writeStatusJSON(w, http.StatusOK, v) }

func writeStatusJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
