package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	boundDrain = 2 * time.Second
	// outage is how long the store is away, at most 8 s by the sheets' days.
	outage = 6 * time.Second
	// lateness is how late the last check-in of the server arrives.
	lateness = 2500 * time.Millisecond
	// servesOn is how long the server goes on after its departure was acknowledged: drain, and 15 s as on the days of its site.
	servesOn = 17 * time.Second
)

// runLeave lets a server leave while the store is away, and kills the daemon that has acknowledged that.
//
// The server's last check-in arrives some seconds late, after the acknowledgement and after the daemon's restart. The server goes on
// serving for a while, as the pages say, and tells at its health path that it leaves.
func runLeave(r *run) (bool, error) {
	if err := startJarboards(r); err != nil {
		return false, err
	}
	calls := lookupsAndOrders(r.machines[1:]) // no callers on the machine whose daemon is killed
	time.Sleep(5 * time.Second)

	leaving := r.machines[0]
	if troubled() {
		r.store.goAway()
	}
	away := time.Now()
	time.Sleep(300 * time.Millisecond)
	leaving.server.checkInLate(lateness)
	if !leaving.server.depart() {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	r.rec.line("server %s: its departure is acknowledged", leaving.server.id)
	time.Sleep(300 * time.Millisecond)
	if troubled() {
		r.rec.line("daemon %s: %s", leaving.name, syscall.SIGKILL)
		leaving.kill()
		time.Sleep(500 * time.Millisecond)
		if err := leaving.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(away.Add(outage)))
	if troubled() {
		r.store.mu.Lock()
		r.store.down = false
		r.store.mu.Unlock()
		r.rec.line("store: back")
	}
	calm := time.Now().Add(boundContact)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	r.rec.line("server %s: ends", leaving.server.id)
	leaving.server.stop()
	time.Sleep(time.Second)
	all := calls.end()
	return judgeLeave(r, leaving, all, acknowledged, calm), nil
}

// startJarboards starts four machines in two zones, and routes for lookups and orders to the service of two of them.
func startJarboards(r *run) (err error) {
	if r.store, err = startStore(r.rec, "127.0.0.1:0"); err != nil {
		return err
	}
	services := []string{"jarboard", "scoopdesk"}
	look, order := newRoute("r-look", "/look/", "jarboard", "safe"), newRoute("r-order", "/order/", "jarboard", "unsafe")
	r.store.operate("config", configuration("r1", services, look, order))
	for _, m := range [][3]string{
		{"jar-noord", "jarboard", "zd-noord"}, {"jar-haven", "jarboard", "zd-haven"},
		{"scoop-noord", "scoopdesk", "zd-noord"}, {"scoop-haven", "scoopdesk", "zd-haven"},
	} {
		added, err := r.addMachine(m[0], m[1], m[2])
		if err != nil {
			return err
		}
		added.server.work = 150 * time.Millisecond
	}
	return r.startAll()
}

// lookupsAndOrders starts callers on the machines.
func lookupsAndOrders(machines []*machine) *traffic {
	calls := newTraffic()
	for _, m := range machines {
		for range 2 {
			calls.add(newClient(m), "GET", "/look/1", "", 200*time.Millisecond, time.Second)
			calls.add(newClient(m), "POST", "/order/1", "licorice", 200*time.Millisecond, time.Second)
		}
	}
	return calls
}

// judgeLeave counts the requests that reached the server later than drain after the acknowledgement, and that were sent when the store had
// been back for contact.
func judgeLeave(r *run, leaving *machine, all []sent, acknowledged, calm time.Time) bool {
	late, failed := 0, 0
	for _, s := range all {
		for _, at := range leaving.server.ran(s.id) {
			if at.Before(acknowledged.Add(boundDrain)) || s.at.Before(calm) {
				continue
			}
			late++
			if s.status != http.StatusOK {
				failed++
			}
		}
	}
	r.rec.line("DRAIN: requests that reached the server over %s after the acknowledgement, sent in calm: %d, of them without a 200: %d",
		boundDrain, late, failed)
	fmt.Printf("DRAIN: %d requests reached the server that had left; %d of them failed\n", late, failed)
	return late > 0
}
