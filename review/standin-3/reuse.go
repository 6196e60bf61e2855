package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["reuse"] = playReuse }

// baseConfig returns the routes and services of the operator's configuration.
func baseConfig() (routes, services []map[string]any) {
	return []map[string]any{
		Route("a", "/a/", "alpha", "safe", 1500, 1), Route("b", "/b/", "beta", "safe", 1500, 1), Route("o", "/o/", "alpha", "unsafe", 1500, 1),
		Route("u", "/u/", "beta", "upload", 2500, 1),
	}, []map[string]any{Service("alpha"), Service("beta")}
}

// startBase starts two machines of alpha and two of beta with sound servers.
func startBase(f *Fleet) error {
	f.WriteConfig(baseConfig())
	for i, place := range [][2]string{{"alpha", "z1"}, {"alpha", "z2"}, {"beta", "z1"}, {"beta", "z2"}} {
		m := f.Add(place[0], place[1])
		m.Server = &Server{ID: fmt.Sprintf("i-%s-%d", place[0], i), Service: place[0], Zone: place[1], Addr: m.App, Control: m.Control, Slots: 12, Queue: 24, Rec: f.Rec}
		if err := m.Server.Start(); err != nil {
			return err
		}
		if err := f.StartDaemon(m); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// playReuse gives the address of a server of alpha that has crashed to a server of beta. The settings of the machine name the new service,
// and its daemon gets SIGHUP. Without the disruption, the address goes to another server of alpha.
func playReuse(f *Fleet, trouble bool) ([]string, error) {
	if err := startBase(f); err != nil {
		return nil, err
	}
	first := f.Machines[0]
	first.Server.Crash()
	time.Sleep(reuseAfter + time.Second)
	next := &Server{
		ID: "i-next", Service: "alpha", Zone: first.Zone, Addr: first.App, Control: first.Control, Slots: 12, Queue: 24, Rec: f.Rec,
	}
	if trouble {
		next.Service, first.Service = "beta", "beta"
		if err := f.Render(first); err != nil {
			return nil, err
		}
		f.Signal(first, syscall.SIGHUP)
	}
	if err := next.Start(); err != nil {
		return nil, err
	}
	caller := f.Machines[2] // of beta, in the zone of the first machine
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c, err := Dial(caller, f.Rec)
		if err != nil {
			return nil, err
		}
		q := &Request{Method: "GET", Path: "/a/x", Kind: "safe", DeadlineMs: 1200}
		if c.Send(q) == nil {
			c.Receive(q, 2*time.Second)
		}
		c.Close()
	}
	foreign, served := 0, 0
	for _, run := range f.Rec.Runs {
		if run.Service != "alpha" && run.Path == "/a/x" {
			foreign++
		}
	}
	for _, end := range f.Rec.Ends {
		if end.Status == 200 {
			served++
		}
	}
	summary := fmt.Sprintf("%d requests on the route to alpha, %d answered 200, %d run by a server of beta", len(f.Rec.Sent), served, foreign)
	f.Rec.Note("%s", summary)
	fmt.Println(summary)
	if foreign > 0 {
		return []string{fmt.Sprintf("ROUTE: %d requests of a route that no configuration leads to beta were run by a server of beta", foreign)}, nil
	}
	return nil, nil
}
