package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of the platform's table service.
const (
	maxRows  = 500   // per response
	maxValue = 65536 // bytes
	maxWait  = 30 * time.Second
)

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storedRow is a row, or the tombstone of a deleted one.
type storedRow struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`

	writtenAt time.Time
}

type transaction struct {
	Expected []storedRow `json:"expected"`
	Writes   []storedRow `json:"writes"`
	Remove   []rowID     `json:"remove"`
}

type rowsResponse struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool        `json:"hasMore"`
	Ver     uint64      `json:"ver"`
	Now     string      `json:"now"`
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPlatformBody)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range tx.Writes {
		if len(row.Value) > maxValue || row.Key == "" || row.Table == "" {
			http.Error(w, "a row has no table or key, or is too long", http.StatusBadRequest)
			return
		}
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "the table belongs to the platform", http.StatusForbidden)
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conflict := rowsResponse{Rows: []storedRow{}, Ver: p.ver, Now: p.clock()}
	failed := false
	for _, e := range tx.Expected {
		row, exists := p.rows[e.rowID]
		failed = failed || row.Ver != e.Ver
		if exists {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if failed {
		writeStatusJSON(w, http.StatusPreconditionFailed, conflict)
		return
	}
	p.apply(&tx)
	writeJSON(w, rowsResponse{Rows: []storedRow{}, Ver: p.ver, Now: p.clock()})
}

// apply commits a transaction and wakes the waiting feed requests. The caller holds
// p.mu.
func (p *Platform) apply(tx *transaction) {
	p.ver++
	now := time.Now()
	for _, row := range tx.Writes {
		row.Ver, row.writtenAt = p.ver, now
		p.rows[row.rowID] = row
		p.log = append(p.log, row)
	}
	for _, id := range tx.Remove {
		delete(p.rows, id)
		p.log = append(p.log, storedRow{rowID: id, Ver: p.ver, Deleted: true, writtenAt: now})
	}
	p.wake()
}

// wake lets the waiting feed requests look again. The caller holds p.mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Write stores a row, even in tables that clients may not write.
func (p *Platform) Write(table, key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(&transaction{Writes: []storedRow{{rowID: rowID{Table: table, Key: key}, Value: value}}})
}

// Has reports whether a row exists.
func (p *Platform) Has(table, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.rows[rowID{Table: table, Key: key}]
	return ok
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part := q.Get("table"), q.Get("part")
	from, to := q.Get("from"), q.Get("to")
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	p.mu.Lock()
	response := rowsResponse{Rows: []storedRow{}, Ver: p.ver, Now: p.clock()}
	for id, row := range p.rows {
		if id.Table == table && id.Part == part && id.Key >= from && (to == "" || id.Key < to) {
			response.Rows = append(response.Rows, row)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(response.Rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	if len(response.Rows) > limit {
		response.Rows, response.HasMore = response.Rows[:limit], true
	}
	writeJSON(w, response)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs")) // 0 if missing or malformed: no wait
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer end.Stop()
	for {
		p.mu.Lock()
		response, changed := p.changesAfter(q.Get("table"), after), p.changed
		compacted, away := p.faults.Compacted || after > p.ver, p.faults.Away
		w.Header().Set(eraHeader, strconv.FormatUint(p.era, 10))
		p.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if compacted {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(response.Rows) > 0 {
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changesAfter(table string, after uint64) rowsResponse {
	response := rowsResponse{Rows: []storedRow{}, Ver: max(p.ver, after), Now: p.clock()}
	for _, row := range p.log {
		if row.Table == table && row.Ver > after {
			response.Rows = append(response.Rows, row)
		}
	}
	return response
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("id")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // a write error means that the client disconnected
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxPlatformBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, exists := p.objects[r.PathValue("id")]; exists && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "the object exists", http.StatusPreconditionFailed)
		return
	}
	p.objects[r.PathValue("id")] = data
	w.WriteHeader(http.StatusOK)
}
