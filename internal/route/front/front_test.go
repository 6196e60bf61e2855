package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// fakeBackend is a CallClient whose response depends on the request target.
type fakeBackend struct {
	proto.CallClient
	release chan struct{} // blocks responses for the targets /gated and /gated-truncated until it is closed
}

type fakeStream struct {
	proto.ClientStream
	ctx    context.Context
	target string
	out    chan proto.Frame
}

func (s *fakeBackend) Call(ctx context.Context, _ netip.AddrPort, head *proto.Head) (proto.ClientStream, error) {
	x := &fakeStream{ctx: ctx, target: head.Target, out: make(chan proto.Frame, 100)}
	if strings.HasPrefix(head.Target, "/refuse") {
		x.out <- &proto.Ack{Verdict: proto.Refused, Code: code.Overloaded, Detail: "full"}
		return x, nil
	}
	x.out <- &proto.Ack{}
	header := http.Header{"X-Own": {"1"}}
	switch head.Target {
	case "/gated-truncated":
		go func() {
			<-s.release
			x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1, Body: []byte("part")}
			close(x.out)
		}()
	case "/truncated":
		x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1, Body: []byte("part")}
		close(x.out)
	case "/two":
		x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1, Body: []byte("part")}
		x.out <- &proto.Piece{Data: []byte("rest"), End: true}
	case "/slow":
		x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1, Body: []byte("part")}
	case "/early":
		x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1}
		close(x.out)
	case "/echo":
		x.out <- &proto.Answer{Status: 200, Header: header, ContentLength: -1, Body: head.Body}
		if head.End {
			x.out <- &proto.Piece{End: true, Trailer: http.Header{"X-Sum": {"9"}}}
		}
	default:
		go func() {
			if head.Target == "/gated" {
				<-s.release
			}
			x.out <- &proto.Answer{Status: 207, Header: header, ContentLength: int64(len(head.Target)), Body: []byte(head.Target), End: true}
		}()
	}
	return x, nil
}

func (s *fakeBackend) Resolve(context.Context, netip.AddrPort, *proto.Resolve) (*proto.Resolution, error) {
	return &proto.Resolution{State: proto.StateRunning}, nil
}

func (x *fakeStream) Recv() (proto.Frame, error) {
	if x.ctx.Err() != nil {
		return nil, x.ctx.Err() // a cancelled stream gives nothing more
	}
	select {
	case frame, ok := <-x.out:
		if !ok {
			return nil, io.EOF
		}
		return frame, nil
	case <-x.ctx.Done():
		return nil, x.ctx.Err()
	}
}

func (x *fakeStream) Send(frame proto.Frame) error {
	piece := frame.(*proto.Piece)
	next := &proto.Piece{Data: append([]byte(nil), piece.Data...), End: piece.End}
	if piece.End {
		next.Trailer = http.Header{"X-Sum": {"9"}}
	}
	x.out <- next
	return nil
}
func (x *fakeStream) Context() context.Context       { return x.ctx }
func (x *fakeStream) CloseSend() error               { return nil }
func (x *fakeStream) Close() error                   { return nil }
func (x *fakeStream) Conn() uint64                   { return 1 }
func (x *fakeStream) Incarnation() ident.Incarnation { return 1 }

type members []member.Record

func (m members) All() []member.Record           { return m }
func (m members) Service(string) []member.Record { return m }

func record(address, zone string, state member.State) member.Record {
	ip := netip.MustParseAddr(address)
	return member.Record{
		Address: netip.AddrPortFrom(ip, 1), Front: netip.AddrPortFrom(ip, 2), Zone: zone, Service: "stock", State: state,
	}
}

// start runs a front end on a loopback address until the test ends.
func start(t *testing.T, s *fakeBackend) (f *Front, base string, stop context.CancelFunc) {
	g := gomega.NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	list := members{
		record("10.0.0.2", "a", member.Serving),
		record("10.0.0.1", "b", member.Serving),
		record("10.0.0.3", "a", member.Leaving),
	}
	holder := &config.Holder{}
	services := map[string]*config.Service{"stock": config.NewService("stock")}
	g.Expect(holder.Set(&config.Config{Revision: 1, Services: services})).To(gomega.Succeed())
	p := &pool.Pool{}
	caller := &call.Client{
		Transport: s, Config: holder, Pool: p, Budgets: &budget.Budgets{}, Start: time.Now(),
		Choice: &choice.Chooser{Policy: choice.Probing{}, Pool: p, Members: list, Config: holder},
	}
	ctx, cancel := context.WithCancel(context.Background())
	f = &Front{Listener: listener, Forwarder: caller, Members: list, Dialect: hdrs.Default(), Zone: "a", Log: logr.Discard()}
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
	})
	return f, listener.Addr().String(), cancel
}

// send writes a raw request on a new connection and returns its response.
func send(g *gomega.WithT, base, request string) (*http.Response, string, error) {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.ReplaceAll(request, "\n", "\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards the HTTP responses (section 3): a server's response is forwarded unchanged with its trailers, error responses
// carry code and outcome, a truncated response never looks complete, and invalid input gets a specific error.
func TestResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	_, base, _ := start(t, &fakeBackend{})
	get := func(path, headers string) (*http.Response, string, error) {
		return send(g, base, "GET "+path+" HTTP/1.1\nHost: x\nConnection: close\n"+headers+"\n")
	}
	r, body, err := get("/stock/a%2Fb?q=1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.StatusCode).To(gomega.Equal(207))
	g.Expect(body).To(gomega.Equal("/a%2Fb?q=1"))
	g.Expect(r.Header).To(gomega.Equal(http.Header{"X-Own": {"1"}, "Content-Length": {"10"}}))

	for _, c := range []struct{ path, headers, want string }{
		{"/refuse", "", "404 2 not-run"},
		{"/stock/refuse", "", "503 8 not-run"},
		{"/stock/x", "Request-Timeout: soon\n", "400 1 not-run"},
		{"/stock/x", "Request-Timeout: -1s\n", "400 1 not-run"},
		{"/stock/x", "Marigoldwinch-Context: nonsense\n", "400 1 not-run"},
		{"/stock/early", "", "502 14 unknown"},
	} {
		r, _, err = get(c.path, c.headers)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got := fmt.Sprintf("%d %s %s", r.StatusCode, r.Header.Get(headerCode), r.Header.Get(headerOutcome))
		g.Expect(got).To(gomega.Equal(c.want), c.path)
		g.Expect(r.Header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
	}
	_, body, err = get("/stock/truncated", "")
	g.Expect(body).To(gomega.Equal("part"))
	g.Expect(err).To(gomega.HaveOccurred(), "truncated response was read without an error")

	r, _, err = get("/stock/x", "X-Large: "+strings.Repeat("x", 3*DefaultMaxHeaderBytes)+"\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.StatusCode).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))

	_, body, err = get(DaemonsPath, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.MatchJSON(`{"daemons":[{"address":"10.0.0.2:2","service":"stock","zone":"a"},
		{"address":"10.0.0.1:2","service":"stock","zone":"b"}]}`))
}

// Guards bidirectional streaming on one request: each part is echoed before the next one is sent, also after
// 100 Continue, and the trailer is forwarded.
func TestStreamingInBothDirections(t *testing.T) {
	_, base, _ := start(t, &fakeBackend{})
	for _, expectHeader := range []string{"", "Expect: 100-continue\r\n"} {
		checkEcho(t, base, expectHeader)
	}
}

func checkEcho(t *testing.T, base, expectHeader string) {
	g := gomega.NewWithT(t)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	reader := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, "POST /stock/echo HTTP/1.1\r\nHost: x\r\n"+expectHeader+"Transfer-Encoding: chunked\r\n\r\n")
	if expectHeader != "" {
		line, err := reader.ReadString('\n')
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(line).To(gomega.HavePrefix("HTTP/1.1 100"))
		_, _ = reader.ReadString('\n')
	}
	_, _ = io.WriteString(conn, "3\r\none\r\n")
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	part := make([]byte, 3)
	for _, text := range []string{"one", "two"} {
		if text != "one" {
			_, _ = io.WriteString(conn, "3\r\n"+text+"\r\n")
		}
		_, err = io.ReadFull(response.Body, part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(part)).To(gomega.Equal(text))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	rest, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rest).To(gomega.BeEmpty())
	g.Expect(response.Trailer.Get("X-Sum")).To(gomega.Equal("9"))
}

// Guards graceful shutdown (invariant 8): it waits for requests in flight and for the grace period, during which new
// requests are accepted.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeBackend{release: make(chan struct{})}
	f, base, stop := start(t, s)
	openGate := sync.OnceFunc(func() { close(s.release) })
	t.Cleanup(openGate)
	f.GracePeriod = 200 * time.Millisecond
	body := make(chan string, 1)
	go func() {
		_, text, _ := send(g, base, "GET /stock/gated HTTP/1.1\nHost: x\n\n")
		body <- text
	}()
	g.Eventually(f.inFlight.Load).Should(gomega.Equal(int64(1)))
	stop()
	g.Eventually(f.stopping.Load).Should(gomega.BeTrue())
	_, text, err := send(g, base, "GET /stock/new HTTP/1.1\nHost: x\n\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal("/new"))
	g.Eventually(func() error {
		conn, err := net.DialTimeout("tcp", base, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, 5*time.Second).Should(gomega.HaveOccurred(), "connections are still accepted after the grace period")
	openGate()
	g.Eventually(body, 5*time.Second).Should(gomega.Receive(gomega.Equal("/gated")))
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

// BenchmarkRouting compares a plain handler with the same handler behind gin, the router preferred by section 12.
func BenchmarkRouting(b *testing.B) {
	plain := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		w.Header()["X-Service"] = []string{service}
		w.WriteHeader(http.StatusNoContent)
	})
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Any("/:service/*path", func(c *gin.Context) {
		c.Writer.Header()["X-Service"] = []string{c.Param("service")}
		c.Writer.WriteHeader(http.StatusNoContent)
	})
	for name, handler := range map[string]http.Handler{"plain": plain, "gin": engine} {
		b.Run(name, func(b *testing.B) {
			r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://x/stock/items/7", nil)
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(&discard{header: http.Header{}}, r)
			}
		})
	}
}

// Guards against closing a caller's connection after a response to a request whose body was not read.
func TestConnectionIsReusedAfterUnreadBody(t *testing.T) {
	g := gomega.NewWithT(t)
	_, base, _ := start(t, &fakeBackend{})
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 3 { // an unknown service is rejected without reading the body
		_, err = io.WriteString(conn, "POST /nowhere/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nwhole")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
	}
}

// Guards against a response that breaks off, while an earlier one of its connection is awaited or as the first one, and takes those behind
// it with it, and against one of two frames that is lost at the end of a drain though its server has answered.
func TestPipelinedResponsesFailAlone(t *testing.T) {
	release := func(_ *Front, gate chan struct{}) { close(gate) }
	for _, tc := range []struct {
		first, want string
		end         func(f *Front, gate chan struct{})
	}{
		{"/gated", "[207 /gated 502 200 partrest 207 /last]", release},
		{"/gated-truncated", "[502 502 200 partrest 207 /last]", release},
		{"/gated", "[502 502 200 partrest 207 /last]", func(f *Front, _ chan struct{}) {
			expired, cancel := context.WithCancel(context.Background())
			cancel()
			_ = f.Drain(expired) // the gated request is in flight
		}},
	} {
		g := gomega.NewWithT(t)
		backend := &fakeBackend{release: make(chan struct{})}
		f, base, _ := start(t, backend)
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", base)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, target := range []string{tc.first, "/truncated", "/two", "/last"} {
			_, err := io.WriteString(conn, "GET /stock"+target+" HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		time.AfterFunc(100*time.Millisecond, func() { tc.end(f, backend.release) })
		reader, answers := bufio.NewReader(conn), []string(nil)
		for range 4 {
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			answer := strconv.Itoa(response.StatusCode)
			if response.StatusCode < http.StatusBadRequest {
				answer += " " + string(body)
			}
			answers = append(answers, answer)
		}
		_ = conn.Close()
		g.Expect(fmt.Sprint(answers)).To(gomega.Equal(tc.want))
	}
}

// Guards against a stream whose header waits for its second piece because it had to wait for an earlier response.
func TestPipelinedStreamBeginsWithItsTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	backend := &fakeBackend{release: make(chan struct{})}
	_, base, _ := start(t, backend)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /stock/gated HTTP/1.1\r\nHost: h\r\n\r\nGET /stock/slow HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.AfterFunc(100*time.Millisecond, func() { close(backend.release) })
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	reader := bufio.NewReader(conn)
	first, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, first.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	piece := make([]byte, len("part"))
	_, err = io.ReadFull(second.Body, piece)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(piece)).To(gomega.Equal("part"))
}
