//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a small stand-in of the platform's store, by PROTOCOL.md: rows, conditional
// transactions and the feed, with a history of historyS.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow // by table and key, joined by a zero byte
	log     []storeRow
	dropped uint64 // version up to which the history is gone
	changed chan struct{}
	began   time.Time
	addr    string
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

const (
	txTime       = 4 * time.Millisecond
	storeHistory = 20 * time.Second
)

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{}), began: time.Now(), addr: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply([]storeRow{{Table: table, Key: key, Value: value}}, nil)
}

// apply is called with mu held.
func (s *store) apply(puts, remove []storeRow) uint64 {
	s.version++
	now := time.Now()
	for _, r := range puts {
		r.Ver, r.at = s.version, now
		s.rows[r.Table+"\x00"+r.Key] = r
		s.log = append(s.log, r)
	}
	for _, r := range remove {
		r.Ver, r.at, r.Value, r.Deleted = s.version, now, nil, true
		delete(s.rows, r.Table+"\x00"+r.Key)
		s.log = append(s.log, r)
	}
	for len(s.log) > 0 && now.Sub(s.log[0].at) > storeHistory {
		s.dropped = s.log[0].Ver
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txTime)
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		s.serveTx(w, r)
	case "GET /v1/rows-get":
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
				rows = append(rows, row)
			}
		}
		version := s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		s.answer(w, 200, rows, version)
	case "GET /v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(404)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected, Puts, Remove []storeRow
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(400)
		return
	}
	for _, row := range append(append([]storeRow{}, tx.Puts...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	s.mu.Lock()
	ok, current := true, []storeRow{}
	for _, e := range tx.Expected {
		have, there := s.rows[e.Table+"\x00"+e.Key]
		ok = ok && have.Ver == e.Ver
		if there {
			current = append(current, have)
		}
	}
	if !ok {
		version := s.version
		s.mu.Unlock()
		s.answer(w, 412, current, version)
		return
	}
	version := s.apply(tx.Puts, tx.Remove)
	s.mu.Unlock()
	s.answer(w, 200, []storeRow{}, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		version, gone, changed := s.version, after < s.dropped, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(410)
			return
		}
		if len(rows) > 0 || over {
			s.answer(w, 200, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": version, "nowMs": time.Since(s.began).Milliseconds()})
}
