package main

import (
	"fmt"
	"time"
)

// runDraft keeps a draft of a configuration in another part of the operator's table.
//
// The draft moves a route to another service. It is a row with the key of the configuration, but with a part, so that it isn't op/config.
func runDraft(r *run) (bool, error) {
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
		calls.add(newClient(m), "GET", "/look/1", "", 100*time.Millisecond, time.Second)
		calls.add(newClient(m), "POST", "/order/1", "licorice", 100*time.Millisecond, time.Second)
	}
	time.Sleep(5 * time.Second)
	if troubled() {
		look.Service, order.Service = "scoopdesk", "jarboard"
		r.store.operateIn("drafts", "config", configuration("r2", services, look, order))
	}
	time.Sleep(15 * time.Second)
	return judgeDraft(r, calls.end()), nil
}

// judgeDraft counts the requests that were run by a service to which no configuration lets them go.
func judgeDraft(r *run, all []sent) bool {
	ran, wrong := 0, 0
	for _, s := range all {
		allowed := "jarboard"
		if s.path == "/order/1" {
			allowed = "scoopdesk"
		}
		for _, m := range r.machines {
			for range m.server.ran(s.id) {
				ran++
				if m.service != allowed {
					wrong++
				}
			}
		}
	}
	r.rec.line("ROUTE: of %d runs, %d by a service to which no configuration lets the request go", ran, wrong)
	fmt.Printf("ROUTE: %d of %d runs by a service to which no configuration lets the request go\n", wrong, ran)
	return wrong > 0
}
