package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// eraHeader of every response says how often the store has come back from a copy.
	eraHeader = "Store-Era"
	firstEra  = 1
)

// operatorTables hold what the operator and the backend servers write. They write it again
// after a restore.
var operatorTables = map[string]bool{"op": true, "servers": true}

// Era returns the era that the responses name.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Ver returns the number of the newest transaction, which Restore takes.
func (p *Platform) Ver() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ver
}

// Restore replaces the rows by a copy that was taken after the transaction ver, and begins
// the next era. The numbers of later transactions are given out again. Rows of the operator
// and the backend servers that the copy lacks are written again. Objects stay.
func (p *Platform) Restore(ver uint64) { p.RestoreRows(ver)() }

// RestoreRows is Restore, but the rows of the operator and the backend servers are written
// again only when the returned function is called.
func (p *Platform) RestoreRows(ver uint64) (writeAgain func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.restore(func(row *storedRow) bool { return row.Ver <= ver })
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.writeAgain(lost)
	}
}

// RestoreAge is Restore with a copy of the given age.
func (p *Platform) RestoreAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := time.Now().Add(-age)
	p.writeAgain(p.restore(func(row *storedRow) bool { return !row.writtenAt.After(taken) }))
}

// restore keeps the first changes for which kept returns true, and returns the others. The
// caller holds p.mu.
func (p *Platform) restore(kept func(*storedRow) bool) (lost []storedRow) {
	all := p.log
	n := 0
	for n < len(all) && kept(&all[n]) {
		n++
	}
	p.log, p.rows, p.ver = append([]storedRow(nil), all[:n]...), map[rowID]storedRow{}, 0
	for _, row := range p.log {
		p.ver = row.Ver
		p.rows[row.rowID] = row
		if row.Deleted {
			delete(p.rows, row.rowID)
		}
	}
	p.era++
	p.wake()
	return all[n:]
}

// writeAgain writes lost rows of the operator and the backend servers. The caller holds p.mu.
func (p *Platform) writeAgain(lost []storedRow) {
	for _, row := range lost {
		if operatorTables[row.Table] {
			p.apply(&transaction{Writes: []storedRow{row}})
		}
	}
}

func (p *Platform) postRestore(w http.ResponseWriter, r *http.Request) {
	var age time.Duration
	if err := json.NewDecoder(r.Body).Decode(&age); err != nil || age < 0 {
		http.Error(w, "the age of the copy is not a number of nanoseconds", http.StatusBadRequest)
		return
	}
	p.RestoreAge(age)
	writeJSON(w, map[string]uint64{"era": p.Era()})
}
