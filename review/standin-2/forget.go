package main

import (
	"fmt"
	"time"
)

// longLateness is how late the last check-in of the server arrives in this case: after the restart of its daemon.
const longLateness = 5 * time.Second

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
	time.Sleep(2 * time.Second)
	leaving.server.checkInLate(longLateness)
	if !leaving.server.depart() {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	r.rec.line("server %s: its departure is acknowledged", leaving.server.id)
	time.Sleep(300 * time.Millisecond)
	if troubled() {
		r.store.goAway()
		time.Sleep(time.Second)
		r.store.comeBack(older)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	if err := leaving.restart(); err != nil {
		return false, err
	}
	calm := time.Now().Add(boundContact)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	r.rec.line("server %s: ends", leaving.server.id)
	leaving.server.stop()
	time.Sleep(time.Second)
	return judgeLeave(r, leaving, calls.end(), acknowledged, calm), nil
}
