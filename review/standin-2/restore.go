package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of sites/zoetendaal-mix.toml.
const (
	boundConfigApply = 2 * time.Second
	boundEvacuation  = 5 * time.Second
	boundContact     = 3 * time.Second
	boundMaxSkew     = 5 * time.Second
)

// runRestore restores the store from a copy that is some seconds old, and then changes the configuration and evacuates a zone.
//
// Before the drill two of four daemons are restarted in turn, which is planned work; they delete and write their own rows. The operator
// changes the configuration once. Then the store is away for a second and comes back from a copy from before the restarts. Contact and
// max_skew after its return, the operator moves a route to another service and evacuates a zone.
func runRestore(r *run) (bool, error) {
	var err error
	if r.store, err = startStore(r.rec, "127.0.0.1:0"); err != nil {
		return false, err
	}
	services := []string{"jarboard", "scoopdesk"}
	look, order := newRoute("r-look", "/look/", "jarboard", "safe"), newRoute("r-order", "/order/", "scoopdesk", "unsafe")
	r.store.operate("config", configuration("r1", services, look, order))
	for _, m := range [][3]string{
		{"jar-noord", "jarboard", "zd-noord"}, {"jar-haven", "jarboard", "zd-haven"},
		{"scoop-noord", "scoopdesk", "zd-noord"}, {"scoop-haven", "scoopdesk", "zd-haven"},
	} {
		if _, err := r.addMachine(m[0], m[1], m[2]); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	calls := newTraffic()
	for _, m := range r.machines {
		calls.add(newClient(m), "GET", "/look/1", "", 200*time.Millisecond, time.Second)
		calls.add(newClient(m), "POST", "/order/1", "licorice", 250*time.Millisecond, time.Second)
	}
	time.Sleep(6 * time.Second)

	older := r.store.copy()
	if err := restartInTurn(r.machines[0], r.machines[3]); err != nil {
		return false, err
	}
	order.Timeout = "900ms"
	r.store.operate("config", configuration("r2", services, look, order))
	time.Sleep(500 * time.Millisecond)
	if troubled() {
		r.store.goAway()
		time.Sleep(time.Second)
		r.store.comeBack(older)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(boundContact + boundMaxSkew + time.Second)

	look.Service = "scoopdesk"
	r.store.operate("config", configuration("r3", services, look, order))
	moved := time.Now()
	time.Sleep(time.Second)
	r.store.operate("evacuate/zd-haven", []byte("{}"))
	evacuated := time.Now()
	time.Sleep(boundEvacuation + 15*time.Second)
	all := calls.end()
	return judgeRestore(r, all, moved, evacuated), nil
}

// restartInTurn restarts the daemons, the second a moment after the first.
func restartInTurn(machines ...*machine) error {
	errs := make([]error, len(machines))
	var group sync.WaitGroup
	for i, m := range machines {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			if errs[i] = m.restart(); errs[i] == nil {
				errs[i] = m.awaitReady(10 * time.Second)
			}
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// judgeRestore counts the requests that were handled as only the configuration before the change allows, and those that reached a server
// of the evacuated zone, each sent later than its bound after the acknowledgement.
func judgeRestore(r *run, all []sent, moved, evacuated time.Time) bool {
	judged, old, inZone := 0, 0, 0
	for _, s := range all {
		for _, m := range r.machines {
			for range m.server.ran(s.id) {
				if s.path == "/look/1" && s.at.After(moved.Add(boundConfigApply)) {
					judged++
					if m.service == "jarboard" {
						old++
					}
				}
				if m.zone == "zd-haven" && s.at.After(evacuated.Add(boundEvacuation)) {
					inZone++
				}
			}
		}
	}
	r.rec.line("CONFIG: of %d requests of the moved route that ran, sent over %s after the acknowledgement, the old service ran %d",
		judged, boundConfigApply, old)
	r.rec.line("EVAC: requests that reached servers of the evacuated zone, sent over %s after the acknowledgement: %d", boundEvacuation, inZone)
	fmt.Printf("CONFIG: %d of %d by the old service; EVAC: %d in the evacuated zone\n", old, judged, inZone)
	return old > 0 || inZone > 0
}
