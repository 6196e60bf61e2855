package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

func (r *rig) resolve(id ident.AttemptID) *proto.Resolution {
	resolution, err := r.Resolve(r.t.Context(), &proto.Peer{}, &proto.Resolve{ID: id, Incarnation: incarnation})
	r.Expect(err).NotTo(HaveOccurred())
	return resolution
}

// writeHead returns the head of a non-idempotent request.
func (r *rig) writeHead(path string) *proto.Head {
	head := r.head(ident.Write, 5*time.Second)
	head.Method, head.Idempotent, head.Target = http.MethodPost, false, path
	return head
}

// Guards against an attempt that runs twice, runs after it was resolved as revoked, or is reported as not run although it ran, for any
// order of heads, resolves and lost connections.
func TestResolveRaces(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.Slots, r.service.CheckReserve = 2, 0
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return 30 * time.Millisecond }
		})
		rapid.Check(t, func(rt *rapid.T) {
			type sent struct {
				head     *proto.Head
				resolved []proto.ResolveState
				calls    []*stream
			}
			var mu sync.Mutex
			var attempts []*sent
			delay := rapid.IntRange(0, 60)
			for range rapid.IntRange(1, 6).Draw(rt, "attempts") {
				attempt := &sent{head: r.writeHead("")}
				attempt.head.Target = "/" + strconv.FormatUint(attempt.head.ID.Request.Seq, 10)
				attempts = append(attempts, attempt)
				peer := &proto.Peer{}
				for range rapid.IntRange(0, 2).Draw(rt, "heads") {
					s := newStream(r.t.Context())
					attempt.calls = append(attempt.calls, s)
					r.after(delay.Draw(rt, "head"), func() { _ = r.Call(peer, attempt.head, s) })
				}
				for range rapid.IntRange(0, 2).Draw(rt, "resolves") {
					streamLost := rapid.Bool().Draw(rt, "lost")
					r.after(delay.Draw(rt, "resolve"), func() {
						peer.Revoke()
						state := r.resolve(attempt.head.ID).State
						mu.Lock()
						attempt.resolved = append(attempt.resolved, state)
						mu.Unlock()
						for _, s := range attempt.calls {
							if streamLost {
								s.lose()
							}
						}
					})
				}
			}
			r.calls.Wait()
			for _, attempt := range attempts {
				runs := r.backend.count(attempt.head.Target)
				if runs > 1 {
					rt.Fatalf("%s ran %d times", attempt.head.Target, runs)
				}
				for _, state := range attempt.resolved {
					if runs > 0 && state == proto.StateRevoked {
						rt.Fatalf("%s ran and was resolved as revoked: %v", attempt.head.Target, attempt.resolved)
					}
				}
				final := r.resolve(attempt.head.ID)
				if final.Failure != nil && final.Failure.Outcome == code.NotRun && runs > 0 {
					rt.Fatalf("%s ran, but the ledger holds it as not run", attempt.head.Target)
				}
				if runs == 1 && final.Answer == nil {
					rt.Fatalf("%s ran, but the ledger does not hold its response: %+v", attempt.head.Target, final.Failure)
				}
			}
		})
	})
}

// after runs f after a delay in virtual time, concurrently with other calls.
func (r *rig) after(milliseconds int, f func()) {
	r.calls.Go(func() {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		f()
	})
}

// Guards against a cancelled call that does not free its slot, and against cancelling a non-idempotent request whose connection was
// lost and which is then resolved.
func TestCancelledAndLostCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.backend.serve = func(*http.Request) time.Duration { return 3 * time.Second }
		lookup := r.lookup(5 * time.Second)
		time.Sleep(time.Millisecond)
		lookup.cancel()
		synctest.Wait()
		r.Expect(r.backend.cancelled).To(Equal(1))
		r.Expect(r.Limit.Warming()).To(BeTrue())
		r.Expect(r.running.Load()).To(Equal(int64(1)), "a server that is warming up may still run the request")
		time.Sleep(disconnectDelay)
		synctest.Wait()
		r.Expect(r.running.Load()).To(BeZero())

		cancelled := r.writeHead("/cancelled")
		s := r.call(&proto.Peer{}, cancelled)
		time.Sleep(time.Millisecond)
		s.cancel()
		r.calls.Wait()
		time.Sleep(disconnectDelay)
		r.Expect(r.backend.cancelled).To(Equal(2))
		r.Expect(r.resolve(cancelled.ID).Failure.Outcome).To(Equal(code.Unknown))

		lost := r.writeHead("/lost")
		s = r.call(&proto.Peer{}, lost)
		time.Sleep(time.Millisecond)
		s.lose()
		time.Sleep(resolveGrace / 2)
		r.Expect(r.resolve(lost.ID).State).To(Equal(proto.StateRunning))
		r.calls.Wait()
		r.Expect(string(r.resolve(lost.ID).Answer.Body)).To(Equal("ok"))
		r.Expect(r.backend.cancelled).To(Equal(2))
	})
}

// Guards against an order that goes on after its caller has left, and against one that is sent to the server although its stream has
// ended before.
func TestCancelledOrderEndsAtOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.backend.serve = func(*http.Request) time.Duration { return 3 * time.Second }
		for path, isResolved := range map[string]bool{"/running": false, "/resolved": true} {
			head := r.writeHead(path)
			s := r.call(&proto.Peer{}, head)
			time.Sleep(time.Millisecond)
			if isResolved { // as the router of a slow order does
				r.Expect(r.resolve(head.ID).State).To(Equal(proto.StateRunning))
			}
			left := time.Now()
			s.cancel()
			r.calls.Wait()
			r.Expect(time.Since(left)).To(BeZero(), path)
			time.Sleep(disconnectDelay) // until the slot is free
		}
		r.Expect(r.backend.cancelled).To(Equal(2))

		for path, end := range map[string]func(*stream){"/cancelled": func(s *stream) { s.cancel() }, "/lost": (*stream).lose} {
			time.Sleep(time.Second)
			paused := newStream(r.t.Context())
			paused.pause = 200 * time.Millisecond // between the grant of a slot and the run
			head := r.writeHead(path)
			r.after(100, func() { end(paused) })
			_ = r.Call(&proto.Peer{}, head, paused)
			r.Expect(r.backend.count(path)).To(BeZero())
			r.Expect(r.resolve(head.ID).Failure.Outcome).To(Equal(code.NotRun))
		}
	})
}

// Guards against answered orders that are counted as cancelled or lost.
func TestAnsweredOrderIsNoEnding(t *testing.T) {
	inBubble(t, func(r *rig) {
		answered := newStream(r.t.Context())
		answered.ends = true
		r.Expect(r.Call(&proto.Peer{}, r.writeHead("/answered"), answered)).To(Succeed())
		synctest.Wait()
		r.Expect(r.Endings()).To(Equal(EndingCounts{}))
		for _, end := range []func(*stream){func(s *stream) { s.cancel() }, (*stream).lose} {
			s := r.call(&proto.Peer{}, r.writeHead("/ended"))
			time.Sleep(time.Millisecond)
			end(s)
			r.calls.Wait()
			time.Sleep(disconnectDelay)
		}
		r.Expect(r.Endings()).To(Equal(EndingCounts{Cancelled: 1, Lost: 1}))
	})
}

// Guards against an order that goes on without its connection after its caller has left, and against one that runs although its router
// gave it up before it arrived.
func TestOrderThatNobodyWaitsForEnds(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.backend.serve = func(*http.Request) time.Duration { return 3 * time.Second }
		done := func(id ident.AttemptID) {
			_, err := r.Resolve(r.t.Context(), &proto.Peer{}, &proto.Resolve{ID: id, Incarnation: incarnation, Done: true})
			r.Expect(err).NotTo(HaveOccurred())
		}
		order := r.writeHead("/running")
		s := r.call(&proto.Peer{}, order)
		time.Sleep(time.Millisecond)
		s.lose()
		r.Expect(r.resolve(order.ID).State).To(Equal(proto.StateRunning))
		time.Sleep(resolveGrace * 2)
		r.Expect(r.resolve(order.ID).State).To(Equal(proto.StateRunning), "the caller waits")
		left := time.Now()
		done(order.ID)
		r.calls.Wait()
		r.Expect(time.Since(left)).To(BeZero())
		r.Expect(r.backend.cancelled).To(Equal(1))

		late := r.writeHead("/late")
		done(late.ID)
		s = r.call(&proto.Peer{}, late)
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.Revoked)))
		r.Expect(r.backend.count("/late")).To(BeZero())
	})
}

// Guards against a daemon that ends late because it waits for a resolve of a request that it has cut.
func TestStopDoesNotWaitForResolves(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.backend.serve = func(*http.Request) time.Duration { return 3 * time.Second }
		s := r.call(&proto.Peer{}, r.writeHead("/cut"))
		time.Sleep(time.Millisecond)
		r.SetStopTime(time.Now())
		cut := time.Now()
		s.cancel()
		r.calls.Wait()
		r.Expect(time.Since(cut)).To(BeZero())
	})
}

// Guards against a request that reaches the server with a changed head, without its call context, or with hop-by-hop headers. Also guards
// against a refusal for the wrong reason, and against a duplicate id that is reported as not run.
func TestHeadersAndRefusals(t *testing.T) {
	inBubble(t, func(r *rig) {
		head := r.head(ident.Check, time.Second)
		head.Depth = 3
		head.Header = http.Header{"Connection": {"x-one, close"}, "X-One": {"1"}, "Expect": {"100-continue"}, "X-Two": {"2"}}
		s := r.call(&proto.Peer{}, head)
		time.Sleep(time.Millisecond)
		info, found := r.Ledger.Lookup(head.ID.Request)
		r.Expect(found).To(BeTrue())
		r.Expect(info.Depth).To(Equal(3))
		r.calls.Wait()
		r.Expect(r.backend.last).To(Equal(http.Header{
			"X-Two": {"2"}, "User-Agent": {""}, hdrs.Default().Timeout: {"1s"},
			ident.ContextHeader: {ident.CallContext{Request: head.ID.Request, Depth: 3, Class: ident.Check}.String()},
		}))
		r.Expect(r.backend.last[ident.ContextHeader]).To(Equal([]string{fmt.Sprintf("1-%x;3;check", head.ID.Request.Seq)}))
		ack, last := s.frames()
		r.Expect(ack.Verdict).To(Equal(proto.Admitted))
		answer, _ := last.(*proto.Answer)
		r.Expect(answer.Header).To(Equal(http.Header{"X-End": {"2"}}))
		again := r.call(&proto.Peer{}, head)
		r.calls.Wait()
		r.Expect(again.refusal()).To(Equal([]any{code.DuplicateID, code.Unknown}))

		for want, change := range map[code.Code]func(head *proto.Head){
			code.WrongServer: func(head *proto.Head) { head.Service = "labels" },
			code.BadRequest:  func(head *proto.Head) { head.Header = http.Header{"X": {"a\nb"}} },
			code.StaleTransit: func(head *proto.Head) {
				head.SentAt -= time.Hour
			},
			code.DeadlineExceeded: func(head *proto.Head) { head.Remaining = 0 },
		} {
			peer := &proto.Peer{}
			peer.ExcessTransit(time.Since(epoch), time.Since(epoch))
			head := r.head(ident.Lookup, time.Second)
			change(head)
			s := r.call(peer, head)
			r.calls.Wait()
			r.Expect(s.refusal()).To(Equal(notRun(want)))
		}
		r.configure(func(c *config.Config) { c.Services = nil })
		s = r.lookup(time.Second)
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.UnknownService)))
	})
}

// usePipeServer makes the gate use a real HTTP client with in-memory connections to a server that runs serve.
func (r *rig) usePipeServer(serve func(conn net.Conn, request *http.Request)) *server.Client {
	client := &server.Client{Address: r.Target, Dial: func(context.Context) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			defer func() { _ = serverConn.Close() }()
			if request, err := http.ReadRequest(bufio.NewReaderSize(serverConn, 4<<10)); err == nil {
				serve(serverConn, request)
			}
		}()
		return clientConn, nil
	}}
	r.backend.set(func() { r.backend.client = client })
	return client
}

// Guards against a truncated response that is forwarded as complete, with a content length and with chunked encoding, in one frame and
// in several.
func TestTruncatedResponseIsAFailure(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.usePipeServer(func(conn net.Conn, request *http.Request) {
			header, body := "Content-Length: 100000", strings.Repeat("x", 99_999)
			switch request.URL.Path {
			case "/short":
				header, body = "Content-Length: 10", "123456789"
			case "/chunked":
				header, body = "Transfer-Encoding: chunked", "5\r\nhello\r\n"
			case "/whole":
				header, body = "Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"\r\n\r\n"+body)
		})
		for _, path := range []string{"/short", "/chunked", "/long", "/whole"} {
			head := r.writeHead(path)
			s := r.call(&proto.Peer{}, head)
			r.calls.Wait()
			if path == "/whole" {
				r.Expect(string(r.resolve(head.ID).Answer.Body)).To(Equal("hello"))
				continue
			}
			r.Expect(s.refusal()).To(Equal([]any{code.ResponseTruncated, code.Unknown}), path)
			for _, frame := range s.sent {
				switch f := frame.(type) {
				case *proto.Answer:
					r.Expect(f.End).To(BeFalse())
				case *proto.Piece:
					r.Expect(f.End).To(BeFalse())
				}
			}
		}
	})
}

// Guards against a wrong outcome for requests that the server refused or never received: NotRun without proof, or Unknown despite it.
// Also guards against the old limit for a server that could not be reached and may have restarted.
func TestServerRefusalOutcomes(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ShedsBeforeRun = true
		r.warm()
		client := r.usePipeServer(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
		dial := client.Dial
		head := r.writeHead("/shed")
		s := r.call(&proto.Peer{}, head)
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.ServerShed)))
		r.Expect(r.resolve(head.ID).Failure.Outcome).To(Equal(code.NotRun))
		r.Expect(r.Limit.Warming()).To(BeFalse())
		client.Dial = func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }
		s = r.call(&proto.Peer{}, r.writeHead("/down"))
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.ServerUnreachable)))
		r.Expect(r.Limit.Warming()).To(BeTrue())
		client.Dial = dial
		r.Expect(r.Dump().(Dump).Failures).To(Equal(map[code.Code]uint64{code.ServerShed: 1, code.ServerUnreachable: 1}))
	})
}

// Guards against probes that the gate answers although the probe budget is exhausted.
func TestProbe(t *testing.T) {
	inBubble(t, func(r *rig) {
		ask := func(service string) *proto.ProbeReply {
			reply, err := r.Probe(r.t.Context(), &proto.Peer{}, &proto.Probe{Service: service})
			r.Expect(err).NotTo(HaveOccurred())
			r.Expect(reply.RetryAfter).To(BeNumerically(">", 0))
			return reply
		}
		r.Expect(ask("stock").Report).To(Equal(proto.Report{Server: address, Limit: 1, Warming: true}))
		r.Expect(ask("labels").Code).To(Equal(code.WrongServer))
		r.Expect(ask("stock").Code).To(Equal(code.ProbeBudget))
	})
}

// Guards against unbounded buffering of uploads while the server does not read them, and against an upload whose stream ends early and
// reaches the server as complete.
func TestUploadsUseBoundedMemory(t *testing.T) {
	const uploads, pieces = 250, 32
	const perUpload = 128 << 10
	inBubble(t, func(r *rig) {
		r.service.Slots, r.service.UploadShare = 2*uploads, 1
		r.warm()
		var mu sync.Mutex
		sentBytes, readBytes, complete, incomplete := 0, 0, 0, 0
		resume := make(chan struct{})
		client := r.usePipeServer(func(conn net.Conn, request *http.Request) {
			<-resume
			n, err := io.Copy(io.Discard, request.Body)
			mu.Lock()
			readBytes += int(n)
			if err == nil {
				complete++
			} else {
				incomplete++
			}
			mu.Unlock()
			_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
		client.MaxConns = uploads
		var streams []*stream
		for i := range uploads {
			head := r.writeHead("/upload")
			head.Class, head.End, head.ContentLength, head.Remaining = ident.Upload, false, -1, time.Minute
			s := r.call(&proto.Peer{}, head)
			streams = append(streams, s)
			r.calls.Go(func() {
				for n := range pieces {
					select {
					case s.pieces <- &proto.Piece{Data: make([]byte, proto.MaxPiece), End: n == pieces-1 && i > 0}:
						mu.Lock()
						sentBytes += proto.MaxPiece
						mu.Unlock()
					case <-s.ctx.Done():
						return
					}
				}
				if i == 0 {
					close(s.pieces)
				}
			})
		}
		time.Sleep(5 * time.Second)
		r.Expect(r.running.Load()).To(BeEquivalentTo(uploads))
		mu.Lock()
		r.t.Logf("%d bytes buffered for %d open uploads", sentBytes-readBytes, uploads)
		r.Expect(sentBytes - readBytes).To(BeNumerically("<=", uploads*perUpload))
		mu.Unlock()
		close(resume)
		r.calls.Wait()
		synctest.Wait() // until the server has seen the end of the incomplete upload
		mu.Lock()
		defer mu.Unlock()
		r.Expect(complete).To(Equal(uploads - 1))
		r.Expect(incomplete).To(Equal(1))
		for i, s := range streams {
			_, last := s.frames()
			if i == 0 {
				r.Expect(last).To(BeAssignableToTypeOf(&proto.Failure{}))
				continue
			}
			r.Expect(last.(*proto.Answer).Status).To(Equal(http.StatusCreated))
		}
	})
}
