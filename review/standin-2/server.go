package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID      = "X-Marigoldwinch-Request-Id"
	headerStamp   = "X-Marigoldwinch-Response-Stamp"
	headerExpect  = "X-Marigoldwinch-Expected-Instance"
	headerSelf    = "X-Marigoldwinch-Instance-Id"
	headerLoad    = "X-Marigoldwinch-Server-Load"
	headerNotRun  = "X-Marigoldwinch-Not-Executed"
	headerTimeout = "X-Marigoldwinch-Deadline-Ms"
)

const (
	serverSlots = 12
	heartbeat   = 1500 * time.Millisecond
	usualWork   = 20 * time.Millisecond
)

// backend is a stand-in server. It serves on its address and checks in at its daemon.
type backend struct {
	id, service, zone, address string
	checkIns                   string // address of the daemon's check-ins
	rec                        *recorder
	born                       time.Time
	work                       time.Duration // for each request; set before the daemons start

	listener net.Listener
	server   *http.Server
	running  atomic.Int64
	sequence atomic.Int64
	state    atomic.Value // "ready" or "draining"
	stop     func()

	endCheckIns context.CancelFunc

	mu   sync.Mutex
	runs map[string][]time.Time // starts of the runs by request id
}

func startBackend(rec *recorder, id, service, zone, address, checkIns string) (*backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, address: address, checkIns: checkIns, rec: rec, born: time.Now(), work: usualWork,
		listener: listener, runs: make(map[string][]time.Time),
	}
	b.state.Store("ready")
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.endCheckIns = cancel
	b.stop = func() { cancel(); _ = b.server.Close(); _ = b.listener.Close() }
	go b.checkInLoop(ctx)
	return b, nil
}

func (b *backend) checkInLoop(ctx context.Context) {
	for ctx.Err() == nil {
		b.checkIn()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// checkIn sends one check-in. It reports whether the daemon has acknowledged it within a second.
func (b *backend) checkIn() bool {
	return b.tell("/api/Instances.Heartbeat/"+b.id, b.checkInBody())
}

// checkInLate sends a check-in with the present state that arrives late.
func (b *backend) checkInLate(lateness time.Duration) {
	body := b.checkInBody()
	b.rec.line("server %s: sends a check-in that will be late: %s", b.id, body)
	time.AfterFunc(lateness, func() {
		b.rec.line("server %s: the late check-in arrives; acknowledged: %t", b.id, b.tell("/api/Instances.Heartbeat/"+b.id, body))
	})
}

// depart tells the daemon that the server leaves, without reporting that it drains before. No check-in follows.
func (b *backend) depart() bool {
	b.endCheckIns()
	b.state.Store("draining") // at its health path
	return b.leave()
}

func (b *backend) checkInBody() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": serverSlots, "state": b.state.Load(),
		"cold_remaining": "0ms", "sequence": b.sequence.Add(1), "born": b.born.UnixMilli(),
	})
	return body
}

// leave tells the daemon that the server leaves.
func (b *backend) leave() bool {
	body, _ := json.Marshal(map[string]any{"born": b.born.UnixMilli()})
	return b.tell("/api/Instances.Leave/"+b.id, body)
}

func (b *backend) tell(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.checkIns+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < 300
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,0,%d,100", b.running.Load(), serverSlots)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerSelf, b.id)
	w.Header().Set(headerLoad, b.load())
	if r.URL.Path == "/healthz" {
		if b.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.running.Add(1) > serverSlots {
		b.running.Add(-1)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.mu.Lock()
	b.runs[id] = append(b.runs[id], time.Now())
	b.mu.Unlock()
	b.rec.line("server %s (%s, %s): runs %s %s %s", b.id, b.service, b.zone, id, r.Method, r.URL.RequestURI())
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(b.work)
	w.Header().Set(headerStamp, b.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s served %s", b.id, id)
}

// ran returns the starts of the runs of a request.
func (b *backend) ran(id string) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.runs[id]...)
}
