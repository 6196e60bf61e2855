package main

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the site file zoetendaal-mix.
const (
	contact     = 3 * time.Second
	drain       = 2 * time.Second
	configApply = 2 * time.Second
)

const readyWithin = 15 * time.Second

func briefWork(*http.Request) time.Duration { return 20 * time.Millisecond }

// smallFleet has two zones, with both services in each.
var smallFleet = []place{
	{lookupService, "zd-noord"}, {orderService, "zd-noord"}, {lookupService, "zd-haven"}, {orderService, "zd-haven"},
}

// outage: a change of the config, a silent outage of the store of 4.5 s, and another change once the store has long been back.
func outage(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, smallFleet, briefWork)
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
	time.Sleep(3 * time.Second)
	f.store.put("config", config(2, orders("900ms"), lookups(lookupService)))
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.store.setSilent(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		f.store.setSilent(false)
	}
	time.Sleep(contact + 500*time.Millisecond)
	f.store.put("config", config(3, orders("900ms"), lookups(orderService), added()))
	acknowledged := time.Now()
	return requestsUnderAnOldConfig(f, acknowledged), nil
}

// requestsUnderAnOldConfig sends requests for 8 s from configApply after the ack on, and tells whether any was handled as only the older
// version allows: run by the old service, or refused with 404 on the added route.
func requestsUnderAnOldConfig(f *fleet, acknowledged time.Time) bool {
	time.Sleep(time.Until(acknowledged.Add(configApply + 100*time.Millisecond)))
	old := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range f.machines {
			a := send(f.rec, m.outbound, http.MethodGet, addedPrefix+"7", host, "", 1200*time.Millisecond)
			if a.status == http.StatusNotFound {
				old++
			}
			moved := send(f.rec, m.outbound, http.MethodGet, lookupPrefix+"7", host, "", 1200*time.Millisecond)
			for _, other := range f.machines {
				if other.place.service == lookupService && ranAt(other.server, moved.id) {
					old++
				}
			}
		}
	}
	f.rec.add("%d requests sent later than config_apply after the ack were handled as only the older version allows", old)
	return old > 0
}

func ranAt(s *server, id string) bool {
	for _, r := range s.allRuns() {
		if r.id == id {
			return true
		}
	}
	return false
}

// leave: a server says that it leaves while the store is away for a moment; later its daemon is stopped and started again, and a
// check-in of before arrives late.
func leave(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, smallFleet, briefWork)
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
	load := startLoad(f)
	defer load.stop()
	time.Sleep(4 * time.Second)
	m := f.machines[1]
	if trouble {
		f.store.setSilent(true)
	}
	time.Sleep(200 * time.Millisecond)
	late := m.server.sequence.Add(1) // sent now, arrives late
	if !m.server.leave() {
		return false, errNoAck
	}
	acknowledged := time.Now()
	time.Sleep(1800 * time.Millisecond)
	if trouble {
		f.store.setSilent(false)
	}
	time.Sleep(time.Second)
	m.stopDaemon(6 * time.Second)
	time.Sleep(300 * time.Millisecond)
	if err := m.startDaemon(false); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	rec.add("a check-in of %s with sequence %d, state ready, sent before it left, arrives: 2xx=%v", m.server.id, late, m.server.beat(late, "ready"))
	time.Sleep(time.Until(m.started.Add(contact + 3*time.Second)))
	load.stop()
	after := 0
	for _, r := range m.server.allRuns() {
		if r.at.After(acknowledged.Add(drain)) && r.at.After(m.started.Add(contact)) {
			after++
		}
	}
	rec.add("%d requests were run by %s later than drain after the ack, sent on by a machine in touch", after, m.server.id)
	return after > 0, nil
}

// load sends orders and lookups at each machine.
type load struct {
	quit chan struct{}
	once sync.Once
	done sync.WaitGroup
}

func startLoad(f *fleet) *load {
	l := &load{quit: make(chan struct{})}
	for _, m := range f.machines {
		l.done.Go(func() {
			for {
				select {
				case <-l.quit:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if m.isRunning() {
					send(f.rec, m.outbound, http.MethodPost, orderPrefix+"2f", host, "licorice", 1500*time.Millisecond)
				}
			}
		})
	}
	return l
}

func (l *load) stop() {
	l.once.Do(func() { close(l.quit) })
	l.done.Wait()
}
