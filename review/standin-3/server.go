package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for an application server, as PROTOCOL.md describes one.
type Server struct {
	ID, Service, Zone, Addr string
	Control                 string // of the daemon beside it; empty: it does not check in
	Slots, Queue            int
	Work                    func(path string) time.Duration
	Faults                  func(id, path string) string // how the answer goes wrong; "" for a sound one
	BodySize                func(path string) int
	Rec                     *Recorder

	born     time.Time
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  atomic.Int64
	waiting  atomic.Int64
	leaving  atomic.Bool // its health says that it leaves
	draining atomic.Bool
	beats    atomic.Int64 // check-ins that were acknowledged
	sequence atomic.Int64
	stamps   atomic.Int64
	slots    chan struct{}
	conns    sync.Map
	locks    sync.Map
	Acked    atomic.Int64 // when a departure was acknowledged, as a duration of the record; 0 before
}

// Start serves at Addr and checks in.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.listener, s.born = listener, time.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.slots = make(chan struct{}, s.Slots)
	go s.accept()
	if s.Control != "" {
		go s.checkIns()
	}
	s.Rec.Note("server %s of service %s starts at %s", s.ID, s.Service, s.Addr)
	return nil
}

// Crash ends the server at once, without a word.
func (s *Server) Crash() {
	s.cancel()
	_ = s.listener.Close()
	s.conns.Range(func(k, _ any) bool { reset(k.(net.Conn)); return true })
	s.Rec.Note("server %s of service %s crashes", s.ID, s.Service)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Store(conn, nil)
		go s.serve(conn)
	}
}

func (s *Server) checkIns() {
	for s.ctx.Err() == nil {
		if !s.leaving.Load() && s.CheckIn() {
			s.beats.Add(1)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// CheckIn sends one check-in, and reports whether it was acknowledged.
func (s *Server) CheckIn() bool {
	return s.SendCheckIn(s.NextCheckIn())
}

// SendCheckIn sends a check-in, perhaps late, and reports whether it was acknowledged.
func (s *Server) SendCheckIn(body []byte) bool {
	return s.post("/api/Instances.Heartbeat/"+s.ID, body)
}

// NextCheckIn returns the body of the next check-in.
func (s *Server) NextCheckIn() []byte {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": state,
		"cold_remaining": "0ms", "sequence": s.sequence.Add(1), "born": s.born.UnixMilli(),
	})
	return body
}

// Leave tells that the server leaves, and reports whether it was acknowledged.
func (s *Server) Leave() bool {
	return s.post("/api/Instances.Leave/"+s.ID, nil)
}

func (s *Server) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+s.Control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (s *Server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.Slots)
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close(); s.conns.Delete(conn); s.locks.Delete(conn) }()
	reader := bufio.NewReader(conn)
	for s.ctx.Err() == nil {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			status := 200
			if s.leaving.Load() {
				status = 503
			}
			s.write(conn, status, "", "", nil, "X-Marigoldwinch-Instance-Id: "+s.ID+"\r\n")
			continue
		}
		if !s.request(conn, request) {
			return
		}
	}
}

func (s *Server) write(conn net.Conn, status int, id, stamp string, body []byte, extra string) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nX-Marigoldwinch-Server-Load: %s\r\nKeep-Alive: timeout=10\r\n", status, len(body), s.load())
	if id != "" {
		head += "X-Marigoldwinch-Request-Id: " + id + "\r\n"
	}
	if stamp != "" {
		head += "X-Marigoldwinch-Response-Stamp: " + stamp + "\r\n"
	}
	_, _ = conn.Write(append([]byte(head+extra+"\r\n"), body...))
}

// request runs a request, and reports whether the connection can carry another one.
func (s *Server) request(conn net.Conn, request *http.Request) bool {
	id, path := request.Header.Get("X-Marigoldwinch-Request-Id"), request.URL.RequestURI()
	fault := ""
	if s.Faults != nil {
		fault = s.Faults(id, path)
	}
	notRun := "X-Marigoldwinch-Not-Executed: 1\r\n"
	if want := request.Header.Get("X-Marigoldwinch-Expected-Instance"); want != "" && want != s.ID {
		_, _ = io.Copy(io.Discard, request.Body)
		s.write(conn, 421, id, "", nil, notRun+"X-Marigoldwinch-Instance-Id: "+s.ID+"\r\n")
		return true
	}
	var body []byte
	if fault != "early" {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return false
		}
	}
	if s.waiting.Load() >= int64(s.Queue) {
		s.write(conn, 503, id, "", nil, notRun)
		return true
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(request.Header.Get("X-Marigoldwinch-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.Now().Add(deadline)
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-time.After(deadline):
		s.waiting.Add(-1)
		s.write(conn, 503, id, "", nil, notRun)
		return true
	case <-s.ctx.Done():
		s.waiting.Add(-1)
		return false
	}
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-s.slots }()
	run := &Run{ID: id, Method: request.Method, Path: path, Server: s.ID, Service: s.Service, Body: hash(body), BodyRead: fault != "early",
		Caller: request.Header.Get("X-Marigoldwinch-Caller-Service"), Remote: conn.RemoteAddr().String(), Faulty: fault != "", At: s.Rec.Now()}
	s.Rec.mu.Lock()
	s.Rec.Runs = append(s.Rec.Runs, run)
	s.Rec.mu.Unlock()
	s.Rec.Note("server %s (%s) runs %s %s %s%s", s.ID, s.Service, id, request.Method, path, faultNote(fault))
	work := 20 * time.Millisecond
	if s.Work != nil {
		work = s.Work(path)
	}
	if work > time.Until(end) {
		time.Sleep(max(0, time.Until(end)))
		return s.reply(conn, id, 504, fault, path, request)
	}
	time.Sleep(work)
	if s.ctx.Err() != nil {
		return false
	}
	return s.reply(conn, id, 200, fault, path, request)
}

// lockOf returns the lock under which an answer is written to the connection, so that a second answer comes between two others.
func (s *Server) lockOf(conn net.Conn) *sync.Mutex {
	lock, _ := s.locks.LoadOrStore(conn, &sync.Mutex{})
	return lock.(*sync.Mutex)
}

func (s *Server) reply(conn net.Conn, id string, status int, fault, path string, request *http.Request) bool {
	size := 400
	if s.BodySize != nil {
		size = s.BodySize(path)
	}
	body := []byte(strings.Repeat(id+"."+s.ID+";", size/20+1))
	stamp := fmt.Sprintf("%s.%d.%d", s.ID, s.stamps.Add(1), rand.IntN(1<<30))
	given := &Given{ID: id, Server: s.ID, Status: status, Body: hash(body), Whole: true, Len: len(body)}
	s.Rec.mu.Lock()
	s.Rec.Answers[stamp] = given
	s.Rec.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Marigoldwinch-Request-Id: %s\r\nX-Marigoldwinch-Response-Stamp: %s\r\nX-Marigoldwinch-Server-Load: %s\r\n",
		status, id, stamp, s.load())
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	lock := s.lockOf(conn)
	lock.Lock()
	defer lock.Unlock()
	switch fault {
	case "lost":
		return false
	case "lost-reset":
		reset(conn)
		return false
	case "mute":
		lock.Unlock()
		<-s.ctx.Done()
		lock.Lock()
		return false
	case "cut", "cut-reset":
		given.Whole = false
		_, _ = conn.Write(append([]byte(head+length+"\r\n"), body[:len(body)/2]...))
		time.Sleep(5 * time.Millisecond)
		if fault == "cut-reset" {
			reset(conn)
		}
		return false
	case "cut-chunked":
		given.Whole = false
		_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body)/2, body[:len(body)/2])
		time.Sleep(5 * time.Millisecond)
		return false
	case "unframed":
		_, _ = conn.Write([]byte(head + "Connection: close\r\n\r\n"))
		_, _ = conn.Write(body[:len(body)/2])
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		_, _ = conn.Write(body[len(body)/2:])
		return false
	case "unframed-cut":
		given.Whole = false
		_, _ = conn.Write([]byte(head + "Connection: close\r\n\r\n"))
		_, _ = conn.Write(body[:len(body)/2])
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		reset(conn)
		return false
	case "chunked":
		_, _ = conn.Write([]byte(head + "Transfer-Encoding: chunked\r\n\r\n"))
		for len(body) > 0 {
			n := min(len(body), 1+rand.IntN(3000))
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		_, _ = conn.Write([]byte("0\r\n\r\n"))
		return true
	case "extra", "extra-late":
		_, _ = conn.Write(append([]byte(head+length+"\r\n"), body...))
		go func() {
			if fault == "extra-late" {
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
			lock.Lock()
			defer lock.Unlock()
			_, _ = conn.Write(append([]byte(head+length+"\r\n"), body...))
		}()
		return true
	case "garbage":
		given.Whole = false
		_, _ = conn.Write([]byte("\x00\x01garbage\r\n\r\n"))
		return false
	case "early":
		_, _ = conn.Write(append([]byte(head+length+"\r\n"), body...))
		rest, err := io.ReadAll(request.Body)
		if err == nil {
			s.Rec.mu.Lock()
			for i := len(s.Rec.Runs) - 1; i >= 0; i-- {
				if r := s.Rec.Runs[i]; r.ID == id && r.Server == s.ID {
					r.Body, r.BodyRead = hash(rest), true
					break
				}
			}
			s.Rec.mu.Unlock()
		}
		return err == nil
	case "close":
		_, _ = conn.Write(append([]byte(head+length+"Connection: close\r\n\r\n"), body...))
		return false
	}
	_, _ = conn.Write(append([]byte(head+length+"\r\n"), body...))
	return true
}

func faultNote(fault string) string {
	if fault == "" {
		return ""
	}
	return ", and answers wrongly: " + fault
}
