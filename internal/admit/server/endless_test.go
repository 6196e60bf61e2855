package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// endlessClient returns a client of a server that answers each request with start and then with unit, again and again, after each pause.
func endlessClient(start, unit string, pause time.Duration) *Client {
	c := &Client{Address: netip.MustParseAddrPort("127.0.0.1:80"), MaxConns: endlessConns, Dialect: testDialect, Log: logr.Discard()}
	first, next := []byte(start), []byte(unit) // shared, so that the server takes no memory for each connection
	c.Dial = func(context.Context) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer func() { _ = serverEnd.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(serverEnd)); err != nil {
				return
			}
			_, err := serverEnd.Write(first)
			for err == nil {
				time.Sleep(pause)
				_, err = serverEnd.Write(next)
			}
		}()
		return clientEnd, nil
	}
	return c
}

const (
	endlessConns    = 100
	endlessDeadline = 2 * time.Second
	daemonMemory    = 256 << 20 // bytes; the target for a daemon
	heldHeader      = 250 << 10 // bytes of a header without its end
	maxHeldMemory   = 24 << 20  // bytes; a daemon without load has 30 MiB less than the smallest instance gives it
	headStart       = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	chunkedStart    = headStart + "Transfer-Encoding: chunked\r\n\r\n"
	longText        = "0123456789012345678901234567890123456789012345678901234567890123"
)

// endlessHeads are given up long before the request's deadline, because they cannot become an answer.
var endlessHeads = map[string][2]string{
	"bytes":            {"", longText},
	"header lines":     {headStart, "X-More: " + longText + "\r\n"},
	"one header line":  {headStart + "X-More: ", longText},
	"interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"answers to other": {"", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"},
}

// endlessBodies have a valid header, so that the body is passed on until it is found to be wrong or the request ends.
var endlessBodies = map[string][2]string{
	"no length":       {headStart + "\r\n", longText},
	"chunks":          {chunkedStart, "1\r\nx\r\n"},
	"chunk size":      {chunkedStart, "0000000000000000"},
	"chunk extension": {chunkedStart + "1;", longText},
	"trailer":         {chunkedStart + "0\r\n", "X-More: " + longText + "\r\n"},
}

func sendEndless(t *testing.T, c *Client, deadline time.Duration) (*code.Error, time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	began := time.Now()
	r := request(t, http.MethodPost, "/run", "body").WithContext(ctx)
	r.Header.Set("X-Id", "1")
	response, failed := c.Do(&Attempt{Request: r, ID: "1"})
	if failed == nil {
		_, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			failed = code.Of(err)
		}
	}
	return failed, time.Since(began)
}

// Guards against an endless head that takes processor time until the deadline, an endless body that passes for a complete answer, and
// a connection that is kept after either. The outcome must stay unknown.
func TestEndlessBytes(t *testing.T) {
	check := func(t *testing.T, pieces [2]string, pause, deadline, bound time.Duration) {
		g := NewWithT(t)
		c := endlessClient(pieces[0], pieces[1], pause)
		defer c.Close()
		failed, took := sendEndless(t, c, deadline)
		g.Expect(failed).NotTo(BeNil())
		g.Expect(failed.Outcome).To(Equal(code.Unknown))
		g.Expect(took).To(BeNumerically("<", bound))
		g.Eventually(func() int64 { return c.conns.Load() }).Should(BeZero())
	}
	for name, pieces := range endlessHeads {
		t.Run("head of "+name, func(t *testing.T) {
			t.Parallel()
			check(t, pieces, 0, endlessDeadline, endlessDeadline/2)
		})
	}
	for name, pieces := range endlessBodies {
		t.Run("body of "+name, func(t *testing.T) {
			t.Parallel()
			check(t, pieces, 0, endlessDeadline/4, endlessDeadline)
		})
	}
	t.Run("slow head", func(t *testing.T) {
		t.Parallel()
		check(t, [2]string{headStart + "X-More: ", "x"}, 20*time.Millisecond, endlessDeadline/4, endlessDeadline)
	})
	t.Run("slow body", func(t *testing.T) {
		t.Parallel()
		check(t, [2]string{headStart + "\r\n", "x"}, 20*time.Millisecond, endlessDeadline/4, endlessDeadline)
	})
}

// Guards against a log line for each of endless answers to other requests.
func TestEndlessAnswersAreLoggedOnlyBriefly(t *testing.T) {
	g := NewWithT(t)
	pieces := endlessHeads["answers to other"]
	c := endlessClient(pieces[0], pieces[1], 0)
	defer c.Close()
	lines := 0
	c.Log = funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	_, _ = sendEndless(t, c, endlessDeadline/4)
	g.Expect(lines).To(BeNumerically("<=", maxSkipped))
}

// Guards against memory that grows with what a server sends: 100 endless heads at once, each up to its bound of 256 KiB.
func TestMemoryOfEndlessHeads(t *testing.T) {
	g := NewWithT(t)
	pieces := endlessHeads["header lines"]
	c := endlessClient(pieces[0], pieces[1], 0)
	defer c.Close()
	grown := heapGrowth(func() {
		var all sync.WaitGroup
		for range endlessConns {
			all.Go(func() { _, _ = sendEndless(t, c, endlessDeadline) })
		}
		all.Wait()
	})
	t.Logf("100 endless heads: %d KiB of heap at the peak", grown>>10)
	g.Expect(grown).To(BeNumerically("<", daemonMemory), "bytes")
}

// Guards against memory that grows with what servers send and hold back: heads of which each stops before its end, far above the bound or
// right below it.
func TestMemoryOfHeldHeads(t *testing.T) {
	for name, line := range map[string]string{
		"short lines": "a:\r\n", "repeated names": "X-More: 1\r\n", "long lines": "X-More: " + longText + "\r\n",
		"one line": strings.Repeat("x", maxHeader/2) + ": 1\r\n",
	} {
		for _, count := range []int{heldHeader / len(line), maxHeader * 7 / 8 / (len(line) + headerLineCost)} {
			g := NewWithT(t)
			c := endlessClient(headStart+strings.Repeat(line, max(count, 1)), "x", 20*time.Millisecond)
			grown := heapGrowth(func() {
				var all sync.WaitGroup
				for range endlessConns {
					all.Go(func() { _, _ = sendEndless(t, c, endlessDeadline/4) })
				}
				all.Wait()
			})
			t.Logf("100 held heads of %d %s: %d KiB of heap at the peak", count, name, grown>>10)
			g.Expect(grown).To(BeNumerically("<", maxHeldMemory), "bytes, %s", name)
			c.Close()
		}
	}
}

// heapGrowth returns by how many bytes the heap grows at the most while f runs.
func heapGrowth(f func()) int64 {
	peak, stop, sampled := uint64(0), make(chan struct{}), make(chan struct{})
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	go func() {
		defer close(sampled)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc)
			}
		}
	}()
	f()
	close(stop)
	<-sampled
	return int64(peak) - int64(before.HeapAlloc)
}

// endingConn reports its own close as a regular end, as a pipe can when both of its ends are closed at once.
type endingConn struct {
	net.Conn
}

// Read implements io.Reader.
func (c endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.ErrClosedPipe) {
		err = io.EOF
	}
	return n, err
}

// Guards against a part of a response without length that passes for the whole one when the end of the request's context closes the
// connection.
func TestDeadlineIsNoEndOfABody(t *testing.T) {
	g := NewWithT(t)
	pieces := endlessBodies["no length"]
	c := endlessClient(pieces[0], pieces[1], time.Millisecond)
	defer c.Close()
	dial := c.Dial
	c.Dial = func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		return endingConn{conn}, err
	}
	failed, _ := sendEndless(t, c, endlessDeadline/4)
	g.Expect(failed).NotTo(BeNil())
	g.Expect(failed.Outcome).To(Equal(code.Unknown))
}
