package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Work of an order: usual, and while the server is five times as slow.
const (
	usualOrder = 300 * time.Millisecond
	slowOrder  = 5 * usualOrder
)

// slowFor is how long the server is slow at most; the site file's limit is 6.5 s.
const slowFor = 6 * time.Second

// slowServer is the one server that turns slow, a quarter of the order servers and an eighth of all.
const slowServer = 1

// pipelineFleet has four order servers, so that one of them is the share that the site file allows, rounded up.
var pipelineFleet = []place{
	{lookupService, "zd-noord"}, {orderService, "zd-noord"}, {orderService, "zd-noord"}, {lookupService, "zd-haven"},
	{orderService, "zd-haven"}, {lookupService, "zd-markt"}, {orderService, "zd-markt"}, {lookupService, "zd-markt"},
}

// pipeline: on one connection an order to a server that has turned slow, and a lookup sent before the order is answered.
func pipeline(rec *recorder, trouble bool) (bool, error) {
	var slow atomic.Bool
	work := func(r *http.Request) time.Duration {
		switch {
		case r.Method != http.MethodPost:
			return 20 * time.Millisecond
		case slow.Load() && r.Header.Get(headerExpect) == serverID(slowServer):
			return slowOrder
		}
		return usualOrder
	}
	f, err := newFleet(rec, pipelineFleet, work)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	f.store.put("config", config(1, orders("800ms"), lookups(lookupService)))
	if err := f.awaitReady(readyWithin); err != nil {
		return false, err
	}
	time.Sleep(contact)
	slow.Store(trouble)
	rec.add("server %s is slow: %v", serverID(slowServer), trouble)
	var after atomic.Int64
	var done sync.WaitGroup
	end := time.Now().Add(slowFor - 2*slowOrder)
	for _, m := range f.machines {
		done.Go(func() {
			for time.Now().Before(end) {
				after.Add(int64(sendBehind(rec, m.outbound)))
			}
		})
	}
	done.Wait()
	slow.Store(false)
	rec.add("%d successes came on a connection behind an answer that had closed it", after.Load())
	return after.Load() > 0, nil
}

// sendBehind sends an order and, before it is answered, a lookup on the same connection. It reads answers to the end of the connection and
// returns how many successes came behind one with Connection: close, when the lookup counts as not read and is sent anew elsewhere.
func sendBehind(rec *recorder, to string) (after int) {
	conn, err := net.Dial("tcp", to)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	order, lookup := fmt.Sprintf("%016x", lastID.Add(1)), fmt.Sprintf("%016x", lastID.Add(1))
	rec.add("request %s sent to %s: POST; request %s: GET, 50 ms later on the same connection", order, to, lookup)
	fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: 8\r\n\r\nlicorice", orderPrefix, host, headerID, order, headerDeadline)
	time.Sleep(50 * time.Millisecond)
	fmt.Fprintf(conn, "GET %s7 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1200\r\n\r\n", lookupPrefix, host, headerID, lookup, headerDeadline)
	reader := bufio.NewReader(conn)
	closed := false
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		rec.add("answer on that connection: %d, id %s, Connection: close=%v", response.StatusCode, response.Header.Get(headerID), response.Close)
		if closed && response.StatusCode/100 == 2 {
			after++
		}
		closed = closed || response.Close
	}
	return after
}
