package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is the platform's row store, as PROTOCOL.md describes it, in memory.
type Store struct {
	Addr string

	mu      sync.Mutex
	cond    *sync.Cond
	rows    map[rowKey]storeRow
	feed    []storeRow // all changes, in order
	ver     uint64
	mode    string // "", "silent", "busy", "reset", "lost", "late"
	began   time.Time
	lateFor time.Duration
	server  *http.Server
	era     uint64 // told in all answers; rises when the store has come back from a copy
}

// Copy is the content of the store at a moment.
type Copy struct {
	rows map[rowKey]storeRow
	feed []storeRow
	ver  uint64
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), feed: slices.Clone(s.feed), ver: s.ver}
}

// Restore puts a copy in place of the content, with the next era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.feed, s.ver = c.rows, c.feed, c.ver
	s.era++
	s.cond.Broadcast()
}

type rowKey struct{ table, part, key string }

type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowRef struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Ver   uint64 `json:"ver"`
	Value []byte `json:"value"`
}

// StartStore serves a store on the address.
func StartStore(addr string) (*Store, error) {
	s := &Store{Addr: addr, rows: map[rowKey]storeRow{}, began: time.Now(), era: 1}
	s.cond = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.read)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// SetMode sets how the store misbehaves; the empty mode is the sound one.
func (s *Store) SetMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.cond.Broadcast()
}

// trouble ends a call as the mode asks, and reports whether it did.
func (s *Store) trouble(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case "reset":
		panic(http.ErrAbortHandler)
	}
	return false
}

// Put writes a row as the operator does.
func (s *Store) Put(table, key string, value any) uint64 {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(rowKey{table, "", key}, data)
	s.cond.Broadcast()
	return s.ver
}

// Remove removes a row as the operator does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(rowKey{table, "", key})
	s.cond.Broadcast()
}

func (s *Store) write(k rowKey, value []byte) {
	row := storeRow{Table: k.table, Part: k.part, Key: k.key, Value: value, Ver: s.ver}
	s.rows[k] = row
	s.feed = append(s.feed, row)
}

func (s *Store) drop(k rowKey) {
	delete(s.rows, k)
	s.feed = append(s.feed, storeRow{Table: k.table, Part: k.part, Key: k.key, Ver: s.ver, Tombstone: true})
}

func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now"] = time.Since(s.began).Milliseconds()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	if s.trouble(w, r) {
		return
	}
	var call struct {
		Expect, Puts, Remove []rowRef
	}
	data, _ := io.ReadAll(r.Body)
	if json.Unmarshal(data, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	mode := s.mode
	if mode == "late" && len(call.Puts)+len(call.Remove) > 0 {
		s.mu.Unlock()
		go func() {
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(call.Expect, call.Puts, call.Remove)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, rows := s.apply(call.Expect, call.Puts, call.Remove)
	ver := s.ver
	s.mu.Unlock()
	if mode == "lost" {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	s.answer(w, status, map[string]any{"ver": ver, "rows": rows})
}

// apply performs a transaction. The caller holds s.mu.
func (s *Store) apply(expect, puts, removes []rowRef) (int, []storeRow) {
	rows := []storeRow{}
	failed := false
	for _, e := range expect {
		held := s.rows[rowKey{e.Table, e.Part, e.Key}]
		failed = failed || held.Ver != e.Ver
		if held.Ver != 0 {
			rows = append(rows, held)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, rows
	}
	s.ver++
	for _, p := range puts {
		s.write(rowKey{p.Table, p.Part, p.Key}, p.Value)
	}
	for _, d := range removes {
		s.drop(rowKey{d.Table, d.Part, d.Key})
	}
	s.cond.Broadcast()
	return http.StatusOK, []storeRow{}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if s.trouble(w, r) {
		return
	}
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	time.Sleep(4 * time.Millisecond)
	s.answer(w, http.StatusOK, map[string]any{"ver": ver, "rows": found, "has_more": more})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	if s.trouble(w, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	stop := time.AfterFunc(time.Until(end), func() { s.mu.Lock(); s.cond.Broadcast(); s.mu.Unlock() })
	defer stop.Stop()
	s.mu.Lock()
	era := s.era
	var changed []storeRow
	for {
		if after > s.ver {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		changed = []storeRow{}
		for _, row := range s.feed {
			if row.Ver > after && row.Table == q.Get("table") {
				changed = append(changed, row)
			}
		}
		if len(changed) > 0 || !time.Now().Before(end) || s.mode != "" || s.era != era {
			break
		}
		s.cond.Wait()
	}
	ver := s.ver
	s.mu.Unlock()
	if s.trouble(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.answer(w, http.StatusOK, map[string]any{"ver": ver, "rows": changed})
}
