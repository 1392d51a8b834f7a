package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults that the store simulates. The zero value has none.
type Faults struct {
	Down         bool          // responds 503 to every call
	Unresponsive bool          // sends no response to any call
	Delay        time.Duration // before each call is processed
	// DropWriteResponses commits writes and closes the connection without a response.
	DropWriteResponses bool
	// WriteDelay closes the connection of a write at once and commits the write only
	// after this time.
	WriteDelay time.Duration
	// Refuse selects the callers, by remote address, that get a 503.
	Refuse func(remote string) bool
}

// Store is a stand-in for the platform's store: versioned rows, atomic transactions
// and a feed of changes. The history behind the feed may be truncated. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storedRow
	history []change
	// oldest is the version at the last truncation of the history; reading the feed
	// from an earlier version fails.
	oldest    uint64
	era       uint64        // rises when the store comes back from a copy
	changed   chan struct{} // closed at the next change
	faults    Faults
	calls     map[string]int
	startedAt time.Time
}

type rowKey struct{ Table, Part, Key string }

type storedRow struct {
	Value   []byte
	Version uint64
}

type change struct {
	rowKey
	value   []byte
	version uint64
	deleted bool
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type wireTx struct {
	Expected []wireRow `json:"expected"`
	Puts     []wireRow `json:"puts"`
	Remove   []wireRow `json:"remove"`
}

const (
	maxRowsPerResponse = 500
	maxFeedWait        = 30 * time.Second
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows: map[rowKey]storedRow{}, changed: make(chan struct{}), calls: map[string]int{}, startedAt: time.Now(), era: 1,
	}
}

// Copy is a copy of a store's rows and history.
type Copy struct {
	version, oldest uint64
	rows            map[rowKey]storedRow
	history         []change
}

// Copy returns a copy of the present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{version: s.version, oldest: s.oldest, rows: maps.Clone(s.rows), history: slices.Clone(s.history)}
}

// ComeBack replaces the state by an earlier copy of it and starts a new era: what was
// written since then is gone, and its versions are given out again.
func (s *Store) ComeBack(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.oldest = c.version, c.oldest
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	close(s.changed) // wakes feed calls of the earlier era
	s.changed = make(chan struct{})
}

// Era returns the number of the present era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed) // wakes feed calls that wait for a change, so that the faults apply to them too
	s.changed = make(chan struct{})
}

// TruncateHistory drops the changes up to the current version, as the platform's
// store may at any time.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Put writes a row directly, as the platform itself does. Faults don't apply.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(wireTx{Puts: []wireRow{{Table: table, Key: key, Value: value}}})
}

// Remove removes a row directly, as the platform itself does. Faults don't apply.
func (s *Store) Remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(wireTx{Remove: []wireRow{{Table: table, Key: key}}})
}

// Row returns the value of a row, or nil if the row does not exist.
func (s *Store) Row(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{Table: table, Key: key}].Value
}

// Keys returns the keys of a table's rows, sorted.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.rows {
		if k.Table == table {
			out = append(out, k.Key)
		}
	}
	slices.Sort(out)
	return out
}

// Calls returns the number of calls received, by URL path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// OperatorHandler returns the handler for operators, who may write all tables. Faults
// don't apply to their transactions.
func (s *Store) OperatorHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == txPath {
			w.Header().Set("Store-Era", strconv.FormatUint(s.Era(), 10))
			s.serveTx(w, r, Faults{}, true)
			return
		}
		s.ServeHTTP(w, r)
	})
}

const txPath = "/v1/rows-tx"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if !applyFaults(w, r, f) {
		return
	}
	switch {
	case r.Method == http.MethodPost && r.URL.Path == txPath:
		s.serveTx(w, r, f, false)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/rows-get":
		s.serveGet(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// applyFaults applies the faults that are the same for all calls. It reports whether
// the call is to be processed.
func applyFaults(w http.ResponseWriter, r *http.Request, f Faults) bool {
	switch {
	case f.Unresponsive:
		<-r.Context().Done()
		return false
	case f.Down || f.Refuse != nil && f.Refuse(r.RemoteAddr):
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
		return false
	}
	return true
}

func (s *Store) serveTx(w http.ResponseWriter, r *http.Request, f Faults, operator bool) {
	var tx wireTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(tx.Puts, tx.Remove...) {
		if !operator && (row.Table == "op" || row.Table == "servers") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if f.WriteDelay > 0 {
		time.AfterFunc(f.WriteDelay, func() { s.commit(tx) })
		panic(http.ErrAbortHandler)
	}
	version, current, ok := s.commit(tx)
	if f.DropWriteResponses {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	s.writeResponse(w, map[string]any{"rows": current, "ver": version})
}

func (s *Store) commit(tx wireTx) (version uint64, current []wireRow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	current = []wireRow{}
	for _, e := range tx.Expected {
		k := rowKey{e.Table, e.Part, e.Key}
		have := s.rows[k]
		ok = ok && have.Version == e.Ver
		current = append(current, wireRow{Table: k.Table, Part: k.Part, Key: k.Key, Value: have.Value, Ver: have.Version, Deleted: have.Version == 0})
	}
	if !ok {
		return s.version, current, false
	}
	return s.apply(tx), nil, true
}

// apply performs the writes of a transaction without checking the expected versions.
// The caller holds s.mu.
func (s *Store) apply(tx wireTx) uint64 {
	s.version++
	for _, p := range tx.Puts {
		k := rowKey{p.Table, p.Part, p.Key}
		s.rows[k] = storedRow{Value: p.Value, Version: s.version}
		s.history = append(s.history, change{rowKey: k, value: p.Value, version: s.version})
	}
	for _, p := range tx.Remove {
		k := rowKey{p.Table, p.Part, p.Key}
		delete(s.rows, k)
		s.history = append(s.history, change{rowKey: k, version: s.version, deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []wireRow{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			rows = append(rows, wireRow{Table: k.Table, Part: k.Part, Key: k.Key, Value: v.Value, Ver: v.Version})
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wireRow) int { return cmp.Compare(a.Key, b.Key) })
	hasMore := len(rows) > maxRowsPerResponse
	if hasMore {
		rows = rows[:maxRowsPerResponse]
	}
	s.writeResponse(w, map[string]any{"rows": rows, "hasMore": hasMore, "ver": version})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer cancel()
	started := s.Era()
	for {
		rows, version, truncated, changed := s.changesSince(q.Get("table"), after)
		if s.Era() != started {
			panic(http.ErrAbortHandler) // the store was away in between
		}
		if s.down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if truncated {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || ctx.Err() != nil {
			s.writeResponse(w, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// changesSince returns the changes to a table after a version, the current version,
// whether the store does not have that version (any more), and a channel that is closed at
// the next change.
func (s *Store) changesSince(table string, after uint64) (rows []wireRow, version uint64, truncated bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []wireRow{}
	for _, c := range s.history {
		if c.Table == table && c.version > after {
			rows = append(rows, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: c.value, Ver: c.version, Deleted: c.deleted})
		}
	}
	return rows, s.version, after < s.oldest || after > s.version, s.changed
}

func (s *Store) writeResponse(w http.ResponseWriter, v map[string]any) {
	v["nowMs"] = time.Since(s.startedAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
