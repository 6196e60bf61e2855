package main

import (
	"fmt"
	"time"
)

const (
	// longLateness is how late the last check-in of the server arrives in this case: after the restart of its daemon.
	longLateness = 7 * time.Second
	// longServesOn is how long the server goes on after its departure was acknowledged in this case.
	longServesOn = 25 * time.Second
)

// runForget restores the store from a copy from before a server's departure, and then restarts the daemon that has acknowledged that, as
// planned. The server's last check-in arrives some seconds late, after the restart.
func runForget(r *run) (bool, error) {
	if err := startJarboards(r); err != nil {
		return false, err
	}
	calls := lookupsAndOrders(r.machines[1:]) // no callers on the machine whose daemon is restarted
	time.Sleep(5 * time.Second)

	leaving := r.machines[0]
	older := r.store.copy()
	time.Sleep(500 * time.Millisecond)
	leaving.server.checkInLate(longLateness)
	if !leaving.server.depart() {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	r.rec.line("server %s: its departure is acknowledged", leaving.server.id)
	time.Sleep(time.Second)
	if troubled() {
		r.store.goAway()
		time.Sleep(time.Second)
		r.store.comeBack(older)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	if err := leaving.restart(); err != nil {
		return false, err
	}
	calm := time.Now().Add(boundContact)
	time.Sleep(time.Until(acknowledged.Add(longServesOn)))
	r.rec.line("server %s: ends", leaving.server.id)
	leaving.server.stop()
	time.Sleep(time.Second)
	return judgeLeave(r, leaving, calls.end(), acknowledged, calm), nil
}
