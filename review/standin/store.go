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

// row is one row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// store is a stand-in for the platform's metadata store: rows, transactions, the feed. It is linearizable and loses nothing.
type store struct {
	rec *recorder

	mu      sync.Mutex
	ver     uint64
	rows    map[rowName]row
	history []row
	changed chan struct{}
	silent  bool // calls that arrive get no response, also later
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rows: map[rowName]row{}, changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) { go func() { _ = http.Serve(l, s) }() }

func (s *store) setSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.rec.add("store silent=%v", on)
}

// put is a write of the operator, which is acknowledged when put returns.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	s.ver++
	s.apply(row{Table: "op", Key: key, Value: value, Ver: s.ver})
	ver := s.ver
	s.mu.Unlock()
	s.rec.add("operator wrote op/%s, acknowledged, ver %d", key, ver)
}

func (s *store) apply(r row) {
	name := rowName{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done() // no response, and the connection delivers nothing further
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/api/rows-tx":
		s.tx(w, r)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now"] = strconv.FormatInt(time.Since(s.rec.start).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			rowName
			Ver uint64 `json:"ver"`
		} `json:"expect"`
		Puts []struct {
			rowName
			Value []byte `json:"value"`
		} `json:"puts"`
		Remove []rowName `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.rows[e.rowName].Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.ver})
			return
		}
	}
	s.ver++
	for _, p := range body.Puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver})
	}
	for _, n := range body.Remove {
		s.apply(row{Table: n.Table, Part: n.Part, Key: n.Key, Ver: s.ver, Tombstone: true})
	}
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for name, kept := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") &&
			(q.Get("target") == "" || name.Key < q.Get("target")) {
			found = append(found, kept)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if s.silent {
			s.mu.Unlock()
			<-r.Context().Done() // a response that was due while the store was away is lost
			panic(http.ErrAbortHandler)
		}
		changes := []row{}
		for _, c := range s.history {
			if c.Ver > after && c.Table == q.Get("table") {
				changes = append(changes, c)
			}
		}
		changed := s.changed
		if len(changes) > 0 || ended {
			s.reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": s.ver})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
