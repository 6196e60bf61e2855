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

// rowName identifies a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store or, in the history, a change of one.
type row struct {
	rowName
	Value     []byte `json:"value"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type versionedName struct {
	rowName
	Ver uint64 `json:"ver"`
}

type transaction struct {
	Expect []versionedName `json:"expect"`
	Puts   []struct {
		rowName
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []rowName `json:"remove"`
}

// image is the whole content of the store at one version.
type image struct {
	rows    map[rowName]row
	history []row
	ver     uint64
}

func (i image) clone() image {
	c := image{rows: make(map[rowName]row, len(i.rows)), history: append([]row(nil), i.history...), ver: i.ver}
	for name, r := range i.rows {
		c.rows[name] = r
	}
	return c
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows with one version counter, atomic
// conditional transactions, and a feed. It also does what the letter on two customers says of a drill: it goes away for a moment and comes
// back from an older copy, with a higher Store-Era.
type store struct {
	rec      *recorder
	listener net.Listener

	mu      sync.Mutex
	image   image
	era     int
	down    bool
	changed chan struct{} // closed at each change
	started time.Time
}

func startStore(rec *recorder, address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, listener: listener, era: 1, changed: make(chan struct{}), started: time.Now()}
	s.image.rows = make(map[rowName]row)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	server := &http.Server{Handler: s.whileUp(mux)}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.listener.Close() }

// whileUp answers 503, which means that nothing was done, while the store is away.
func (s *store) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.Header().Set("Content-Type", "application/json")
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now"] = time.Since(s.started).Milliseconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts, failed := []row{}, false
	for _, e := range tx.Expect {
		found, exists := s.image.rows[e.rowName]
		if exists {
			conflicts = append(conflicts, found)
		}
		failed = failed || found.Ver != e.Ver
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": s.image.ver})
		return
	}
	changes := []row{}
	for _, p := range tx.Puts {
		changes = append(changes, row{rowName: p.rowName, Value: p.Value})
	}
	for _, name := range tx.Remove {
		changes = append(changes, row{rowName: name, Tombstone: true})
	}
	s.apply("a daemon", changes)
	s.reply(w, http.StatusOK, map[string]any{"ver": s.image.ver})
}

// apply makes the changes in one transaction. s.mu is held.
func (s *store) apply(writer string, changes []row) {
	s.image.ver++
	for _, c := range changes {
		c.Ver = s.image.ver
		if c.Tombstone {
			delete(s.image.rows, c.rowName)
		} else {
			s.image.rows[c.rowName] = c
		}
		s.image.history = append(s.image.history, c)
		s.rec.line("store: version %d, %s writes %s/%s (removed: %t)", c.Ver, writer, c.Table, c.Key, c.Tombstone)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes a row as the operator does. The return is the acknowledgement.
func (s *store) operate(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply("the operator", []row{{rowName: rowName{Table: "op", Key: key}, Value: value}})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, found := range s.image.rows {
		target := query.Get("target")
		if name.Table == query.Get("table") && name.Part == query.Get("part") && name.Key >= query.Get("from") &&
			(target == "" || name.Key < target) {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": s.image.ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down || s.era != era {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.image.ver {
			s.rec.line("store: a read of the feed after version %d, which does not exist, gets 410", after)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, c := range s.image.history {
			if c.Ver > after && c.Table == query.Get("table") {
				rows = append(rows, c)
			}
		}
		ver, changed := s.image.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": false, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": false, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// copy returns the present content.
func (s *store) copy() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.line("store: a copy is taken at version %d", s.image.ver)
	return s.image.clone()
}

// goAway makes the store unavailable until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.line("store: away, at version %d", s.image.ver)
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store available with the content of a copy. What the operator wrote since the copy is written again.
func (s *store) comeBack(from image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.image
	s.image, s.down = from.clone(), false
	s.era++
	s.rec.line("store: back from the copy, at version %d, era %d", s.image.ver, s.era)
	for _, c := range lost.history {
		if c.Table == "op" && c.Ver > from.ver {
			s.apply("the operator, again,", []row{{rowName: c.rowName, Value: c.Value, Tombstone: c.Tombstone}})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
