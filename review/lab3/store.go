package lab3

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the store: those that the settings of small deployments name.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	maxFeedWait     = 30 * time.Second
)

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type transaction struct {
	Expected []row   `json:"expected"`
	Writes   []row   `json:"writes"`
	Remove   []rowID `json:"remove"`
}

type answer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	Now     string `json:"now"`
}

// Copy is the content of the store at one moment.
type Copy struct {
	rows map[rowID]row
	log  []row
	ver  uint64
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	Address string
	started time.Time

	mu      sync.Mutex
	now     Copy
	changed chan struct{} // closed and replaced at each change
	away    bool          // every connection ends without an answer
	era     int
}

// StartStore serves an empty store on a free port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), started: time.Now(), now: Copy{rows: map[rowID]row{}}, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Transaction, s.transact)
	mux.HandleFunc("GET "+names.Rows, s.rows)
	mux.HandleFunc("GET "+names.Feed, s.feed)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.endIfAway()
			time.Sleep(answerTime)
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// endIfAway ends the connection of a request while the store is away.
func (s *Store) endIfAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
}

// Ver returns the version of the newest transaction.
func (s *Store) Ver() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.ver
}

// Take returns a copy of the content.
func (s *Store) Take() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.now.rows), slices.Clone(s.now.log), s.now.ver}
}

// GoAway ends all calls, and those to come, without an answer.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// ComeBack ends GoAway. With a copy, the store has its content and the next era, and
// what the operator and the servers have written since the copy is written again.
func (s *Store) ComeBack(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c == nil {
		return
	}
	lost := s.now.log[len(c.log):]
	s.now = Copy{maps.Clone(c.rows), slices.Clone(c.log), c.ver}
	s.era++
	for _, r := range lost {
		if r.Table == names.OperatorTable || r.Table == names.ServersTable {
			s.apply([]row{r}, nil)
		}
	}
}

// Configure writes a version of the configuration as the operator does.
func (s *Store) Configure(c *Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowID: rowID{Table: names.OperatorTable, Key: names.ConfigKey}, Value: fill(configurationTemplate, c)}}, nil)
}

// apply commits a transaction. s.mu must be held.
func (s *Store) apply(writes []row, remove []rowID) {
	s.now.ver++
	for _, r := range writes {
		r.Ver = s.now.ver
		s.now.rows[r.rowID] = r
		s.now.log = append(s.now.log, r)
	}
	for _, id := range remove {
		delete(s.now.rows, id)
		s.now.log = append(s.now.log, row{rowID: id, Ver: s.now.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.endIfAway()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range tx.Writes {
		if write.Table == names.OperatorTable || write.Table == names.ServersTable {
			s.write(w, http.StatusForbidden, nil)
			return
		}
	}
	var current []row
	conflict := false
	for _, e := range tx.Expected {
		known, exists := s.now.rows[e.rowID]
		conflict = conflict || known.Ver != e.Ver
		if exists {
			current = append(current, known)
		}
	}
	if conflict {
		s.write(w, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(tx.Writes, tx.Remove)
	s.write(w, http.StatusOK, nil)
}

func (s *Store) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, known := range s.now.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.write(w, http.StatusOK, found)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs")) // without a number there is no wait
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	defer end.Stop()
	for ended := false; ; {
		s.endIfAway()
		s.mu.Lock()
		changes, changed := s.changesAfter(q.Get("table"), after), s.changed
		switch {
		case after > s.now.ver:
			s.write(w, http.StatusGone, nil)
		case len(changes) > 0 || ended:
			s.write(w, http.StatusOK, changes)
		default:
			s.mu.Unlock()
			select {
			case <-changed:
			case <-end.C:
				ended = true
			case <-r.Context().Done():
				return
			}
			continue
		}
		s.mu.Unlock()
		return
	}
}

// changesAfter returns the changes of a table after a version. s.mu must be held.
func (s *Store) changesAfter(table string, after uint64) (changes []row) {
	for _, r := range s.now.log {
		if r.Table == table && r.Ver > after {
			changes = append(changes, r)
		}
	}
	return changes
}

// write sends an answer. s.mu must be held.
func (s *Store) write(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	body, err := json.Marshal(answer{Rows: rows, Ver: s.now.ver, Now: strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(names.Era, strconv.Itoa(s.era))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a write error means that the node has disconnected
}
