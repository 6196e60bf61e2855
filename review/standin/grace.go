package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

var errNoAck = errors.New("the daemon did not acknowledge that the server leaves")

// Bounds of the site file zoetendaal-mix-large.
const largeGrace = 10 * time.Second

// longWork is the time of the orders that take long.
const longWork = 3800 * time.Millisecond

func orderWork(r *http.Request) time.Duration {
	if strings.HasSuffix(r.URL.Path, "/long") {
		return longWork
	}
	return 20 * time.Millisecond
}

// grace: a daemon is stopped; orders that it takes 1.7 s after SIGTERM last 3.8 s, well within the 10 s that it may take.
func grace(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, smallFleet, orderWork)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	f.store.put("config", config(1, orders("4s"), lookups(lookupService)))
	if err := f.awaitReady(readyWithin); err != nil {
		return false, err
	}
	m := f.machines[0]
	for range 40 {
		send(rec, m.outbound, http.MethodPost, orderPrefix+"2f", host, "licorice", 4*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(contact)
	term := time.Now()
	var stopped sync.WaitGroup
	if trouble {
		stopped.Go(func() { m.stopDaemon(largeGrace) })
	}
	time.Sleep(1700 * time.Millisecond)
	var answers [3]answer
	var sent sync.WaitGroup
	for i := range answers {
		sent.Go(func() {
			answers[i] = send(rec, m.outbound, http.MethodPost, orderPrefix+"long", host, "licorice", 4*time.Second)
		})
	}
	sent.Wait()
	stopped.Wait()
	return brokenOff(f, term, answers[:]), nil
}

// brokenOff counts the requests at which a server was at work and which ended without its answer before the last sixth of the grace.
func brokenOff(f *fleet, term time.Time, answers []answer) bool {
	broken := 0
	for _, a := range answers {
		for _, m := range f.machines {
			for _, r := range m.server.allRuns() {
				if r.id == a.id && !a.stamped && a.ended.Before(term.Add(largeGrace*5/6)) && a.ended.Sub(a.sent) < 3900*time.Millisecond {
					broken++
				}
			}
		}
	}
	f.rec.add("%d requests were broken off while their servers were at work", broken)
	return broken > 0
}
