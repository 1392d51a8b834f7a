//go:build review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// callTime is how long the store takes for an answer.
const callTime = 4 * time.Millisecond

// storeRow is a row as the store sends it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's store: versioned rows, atomic transactions and a
// feed of changes. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: value}}, nil)
}

func (s *store) apply(puts, removes []storeRow) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, r.id())
		r.Ver, r.Deleted, r.Value = s.ver, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// front is the address at which one machine reaches the store.
type front struct {
	store    *store
	address  string
	mu       sync.Mutex
	refusing bool
	broken   chan struct{} // closed when the front begins to refuse
}

// newFront serves the store at a free address.
func (s *store) newFront() *front {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	f := &front{store: s, address: l.Addr().String(), broken: make(chan struct{})}
	go http.Serve(l, f)
	return f
}

// refuse makes the store answer this machine with 503, or serve it again.
func (f *front) refuse(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on && !f.refusing {
		close(f.broken)
	}
	if !on && f.refusing {
		f.broken = make(chan struct{})
	}
	f.refusing = on
}

func (f *front) state() (bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusing, f.broken
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refusing, broken := f.state()
	time.Sleep(callTime)
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		f.store.serveTx(w, r)
	case "GET /v1/rows-get":
		f.store.serveGet(w, r)
	case "GET /v1/rows-feed":
		f.store.serveFeed(w, r, broken)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	current, ok := []storeRow{}, true
	for _, e := range tx.Expected {
		have, found := s.rows[e.id()]
		ok = ok && have.Ver == e.Ver
		if found {
			current = append(current, have)
		}
	}
	if ok {
		s.apply(tx.Puts, tx.Remove)
		current = nil
	}
	ver := s.ver
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	s.write(w, map[string]any{"rows": current, "ver": ver})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storeRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	s.write(w, map[string]any{"rows": rows, "hasMore": false, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, broken <-chan struct{}) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30_000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			w.Header().Set("Content-Type", "application/json")
			s.write(w, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-broken:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, v map[string]any) {
	v["nowMs"] = time.Since(s.started).Milliseconds()
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}
