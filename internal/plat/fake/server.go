package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// The paths of the control API: GET, POST and DELETE of faults, GET of the operation counts.
const (
	FaultsPath = "/control/faults"
	CountsPath = "/control/counts"
)

const (
	maxFaultBytes = 4 << 10
	// writeTimeout limits a delayed write whose client has disconnected. It is still applied, as a real store would do.
	writeTimeout = time.Minute
)

// Server serves a Platform and its control API over HTTP.
type Server struct {
	Platform *Platform
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+table.RangePath, s.readRange)
	mux.HandleFunc("GET "+table.RowPath+"{key}", s.readRow)
	mux.HandleFunc("PUT "+table.RowPath+"{key}", s.writeRow)
	mux.HandleFunc("POST "+table.TransactionPath, s.commit)
	mux.HandleFunc("GET "+object.Path+"{name}", s.readObject)
	mux.HandleFunc("PUT "+object.Path+"{name}", s.writeObject)
	mux.HandleFunc("GET "+FaultsPath, s.listFaults)
	mux.HandleFunc("POST "+FaultsPath, s.injectFault)
	mux.HandleFunc("DELETE "+FaultsPath, s.clearFaults)
	mux.HandleFunc("GET "+CountsPath, s.readCounts)
	return mux
}

func (s *Server) readRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.Platform.Table.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Etag", `"`+row.Version+`"`)
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(row.Value))
}

func (s *Server) readRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		writeError(w, code.NotRunf(code.BadRequest, "limit must be a whole number above 0"))
		return
	}
	rows, err := s.Platform.Table.Range(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := table.EncodePage(rows)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}

func (s *Server) writeRow(w http.ResponseWriter, r *http.Request) {
	value, err := readBody(w, r, table.MaxTransactionBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	key := r.PathValue("key")
	txn := table.Txn{Puts: []table.Put{{Key: key, Value: value}}}
	if tag := r.Header.Get("If-Match"); tag != "" {
		txn.Conditions = []table.Condition{{Key: key, Version: strings.Trim(tag, `"`)}}
	}
	if r.Header.Get("If-None-Match") == "*" {
		txn.Conditions = []table.Condition{{Key: key}}
	}
	s.applyWrite(w, r, func(ctx context.Context) error { return s.Platform.Table.Commit(ctx, txn) })
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, table.MaxTransactionBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	txn, err := table.DecodeTxn(body)
	if err != nil {
		writeError(w, code.NotRunf(code.BadRequest, "malformed transaction").WithCause(err))
		return
	}
	s.applyWrite(w, r, func(ctx context.Context) error { return s.Platform.Table.Commit(ctx, txn) })
}

func (s *Server) readObject(w http.ResponseWriter, r *http.Request) {
	found, err := s.Platform.Objects.Object(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Etag", `"`+found.Tag+`"`)
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(found.Content))
}

func (s *Server) writeObject(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(w, r, object.MaxObjectBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	name := r.PathValue("name")
	s.applyWrite(w, r, func(ctx context.Context) error { return s.Platform.Objects.Put(ctx, name, content) })
}

// applyWrite applies a write, even after its client has disconnected, and sends the response.
func (s *Server) applyWrite(w http.ResponseWriter, r *http.Request, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, code.NotRunf(code.BodyTooLarge, "request body could not be read").WithCause(err)
	}
	return body, nil
}

// writeError sends the response to a failed operation. A write with an unknown outcome gets none: the connection is aborted.
func writeError(w http.ResponseWriter, err error) {
	coded := code.Of(err)
	if coded.Outcome == code.Unknown {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(table.OutcomeHeader, table.NotApplied)
	status := coded.Code.HTTPStatus()
	if coded.Code == code.ChangeConflict {
		status = http.StatusPreconditionFailed
	}
	http.Error(w, coded.Error(), status)
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // it fails only if the client has disconnected
}

func (s *Server) readCounts(w http.ResponseWriter, _ *http.Request) {
	counts := s.Platform.Faults.Counts()
	body, err := json.Marshal(map[string]int{
		"table-reads":   counts.TableReads,
		"table-writes":  counts.TableWrites,
		"object-reads":  counts.ObjectReads,
		"object-writes": counts.ObjectWrites,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}
