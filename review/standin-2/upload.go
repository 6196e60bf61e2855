package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// receipt is what a server has received of an upload.
type receipt struct {
	bytes    int64
	digest   string
	complete bool // the body came to its regular end
}

// uploadServer is the part of a server that takes uploads. It speaks HTTP/1.1 on its connections by itself, because net/http's server does
// not read on after its answer.
//
// With early set it answers once it has read the first piece of the body, with its whole answer, keeps the connection and reads on until the
// body's end. Otherwise it answers after the body's end.
type uploadServer struct {
	backend *backend
	early   bool

	mu       sync.Mutex
	receipts map[string]receipt // by request id
}

// take replaces the HTTP server of the backend by one that takes uploads.
func (u *uploadServer) take() error {
	_ = u.backend.server.Close()
	_ = u.backend.listener.Close()
	listener, err := net.Listen("tcp", u.backend.address)
	if err != nil {
		return err
	}
	u.receipts = make(map[string]receipt)
	u.backend.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return nil
}

func (u *uploadServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				headerSelf, u.backend.id, headerLoad, u.backend.load())
		} else {
			err = u.receive(conn, request)
		}
		if err != nil {
			return
		}
	}
}

// receive serves one upload. It returns an error if the connection cannot carry another request.
func (u *uploadServer) receive(conn net.Conn, request *http.Request) error {
	id := request.Header.Get(headerID)
	if expected := request.Header.Get(headerExpect); expected != "" && expected != u.backend.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			headerID, id, headerSelf, u.backend.id)
		return io.EOF
	}
	u.backend.rec.line("server %s: runs %s %s %s, length %d", u.backend.id, id, request.Method, request.URL.RequestURI(), request.ContentLength)
	digest, total, answered := sha256.New(), int64(0), false
	buffer := make([]byte, 4096)
	for {
		n, err := request.Body.Read(buffer)
		total += int64(n)
		_, _ = digest.Write(buffer[:n])
		if u.early && !answered {
			answered = true
			if err := u.answer(conn, id); err != nil {
				return err
			}
		}
		if err == nil {
			continue
		}
		u.note(id, total, digest, err)
		if err != io.EOF {
			return err
		}
		break
	}
	if answered {
		return nil
	}
	return u.answer(conn, id)
}

func (u *uploadServer) answer(conn net.Conn, id string) error {
	body := "stored " + id
	u.backend.rec.line("server %s: answers %s with 200", u.backend.id, id)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerID, id, headerStamp, u.backend.id, id, headerLoad, u.backend.load(), len(body), body)
	return err
}

func (u *uploadServer) note(id string, total int64, digest hash.Hash, end error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.receipts[id] = receipt{bytes: total, digest: hex.EncodeToString(digest.Sum(nil)[:8]), complete: end == io.EOF}
	u.backend.rec.line("server %s: the body of %s ended after %d bytes: %v", u.backend.id, id, total, end)
}

// upload is one upload of a client with its answer.
type upload struct {
	id     string
	bytes  int64
	digest string
	whole  bool // the client has sent all of the body
	status int
	stamp  string
	answer bool // the answer is complete
	err    error
}

const (
	uploadPieces  = 30
	pieceInterval = 20 * time.Millisecond
)

// sendUpload sends an upload in pieces over a connection of its own, in chunks or with a length, while it reads the answer.
func sendUpload(m *machine, pieceBytes int, chunked bool) upload {
	u := upload{id: newID()}
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		u.err = err
		return u
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		u.readAnswer(conn)
	}()
	framing := fmt.Sprintf("Content-Length: %d", uploadPieces*pieceBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s\r\n\r\n",
		u.id, callersHost, headerID, u.id, headerTimeout, framing)
	digest := sha256.New()
	for n := 0; n < uploadPieces && err == nil; n++ {
		piece := make([]byte, pieceBytes)
		for i := range piece {
			piece[i] = byte('a' + (n+i)%26)
		}
		_, _ = digest.Write(piece)
		u.bytes += int64(len(piece))
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		_, err = conn.Write(piece)
		time.Sleep(pieceInterval)
	}
	if chunked && err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	u.whole, u.digest = err == nil, hex.EncodeToString(digest.Sum(nil)[:8])
	<-answered
	if err != nil && u.err == nil {
		u.err = err
	}
	m.run.rec.line("client: upload %s to %s, chunked %t: sent %d bytes, whole %t; status %d, stamp %q, complete answer %t, error %v",
		u.id, m.name, chunked, u.bytes, u.whole, u.status, u.stamp, u.answer, u.err)
	return u
}

func (u *upload) readAnswer(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		u.err = err
		return
	}
	u.status, u.stamp = response.StatusCode, response.Header.Get(headerStamp)
	_, err = io.Copy(io.Discard, response.Body)
	u.answer, u.err = err == nil, err
}

// runUpload sends uploads to a server that answers them with success before it has read them, and reads on.
func runUpload(r *run) (bool, error) {
	var err error
	if r.store, err = startStore(r.rec, "127.0.0.1:0"); err != nil {
		return false, err
	}
	services := []string{"jarboard", "labelhuis"}
	look, up := newRoute("r-look", "/look/", "jarboard", "safe"), newRoute("r-upload", "/upload/", "labelhuis", "upload")
	up.Timeout = "3s"
	r.store.operate("config", configuration("r1", services, look, up))
	jar, err := r.addMachine("jar-noord", "jarboard", "zd-noord")
	if err != nil {
		return false, err
	}
	label, err := r.addMachine("label-noord", "labelhuis", "zd-noord")
	if err != nil {
		return false, err
	}
	server := &uploadServer{backend: label.server, early: troubled()}
	if err := server.take(); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var sent []upload
	for n := range 20 {
		pieceBytes, chunked := 2000, true // 60 kB in chunks
		if n%2 == 1 {
			pieceBytes, chunked = 30000, false // 900 kB with a length
		}
		sent = append(sent, sendUpload(jar, pieceBytes, chunked))
	}
	time.Sleep(2 * time.Second)
	return server.judge(r, sent), nil
}

// judge counts the uploads that were answered with a server's success, and that the client has sent to the end, but of which the server got
// another body.
func (u *uploadServer) judge(r *run, sent []upload) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	succeeded, changed := 0, 0
	for _, s := range sent {
		if s.status != http.StatusOK || s.stamp == "" || !s.answer || !s.whole {
			continue
		}
		succeeded++
		got := u.receipts[s.id]
		if !got.complete || got.digest != s.digest {
			changed++
			r.rec.line("UNASKED: upload %s had %d bytes, its server got %d, to the end: %t", s.id, s.bytes, got.bytes, got.complete)
		}
	}
	r.rec.line("UNASKED: of %d uploads, %d succeeded for their client; the server got another body of %d of these", len(sent), succeeded, changed)
	fmt.Printf("UNASKED: %d uploads, %d succeeded, %d with another body at the server\n", len(sent), succeeded, changed)
	return changed > 0
}
