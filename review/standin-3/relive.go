package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["relive"] = playRelive }

const (
	drain    = 2 * time.Second
	recovery = 15 * time.Second
)

// playRelive restarts the servers of beta, host by host, as their operators plan it: each says that it leaves, goes on for more than drain,
// ends and starts again under its id. With the disruption, the daemon of the host was killed and has started again just before.
func playRelive(f *Fleet, trouble bool) ([]string, error) {
	if err := startBase(f); err != nil {
		return nil, err
	}
	hosts := f.Machines[2:4]
	caller := f.Machines[0]
	if served := askBeta(f, caller); served < 25 {
		return nil, fmt.Errorf("only %d of 100 requests were served at the start", served)
	}
	for _, m := range hosts {
		if trouble {
			for last := m.Server.beats.Load(); m.Server.beats.Load() == last; {
				time.Sleep(10 * time.Millisecond)
			}
			f.Kill(m)
			time.Sleep(300 * time.Millisecond)
			if err := f.StartDaemon(m); err != nil {
				return nil, err
			}
			if err := f.AwaitReady(5 * time.Second); err != nil {
				return nil, err
			}
		}
		if err := restartServer(f, m); err != nil {
			return nil, err
		}
		time.Sleep(4 * time.Second) // until it serves again
	}
	f.Rec.Note("all servers are back")
	time.Sleep(recovery)
	served := askBeta(f, caller)
	summary := fmt.Sprintf("later than %s after all were back, %d of 100 requests were served", recovery, served)
	f.Rec.Note("%s", summary)
	fmt.Println(summary)
	if served < 25 {
		return []string{"RECOVER: " + summary + "; a quarter is the least"}, nil
	}
	return nil, nil
}

// restartServer ends the server of a machine after it has told that it leaves, and starts it again under its id.
func restartServer(f *Fleet, m *Machine) error {
	old := m.Server
	old.leaving.Store(true)
	acknowledged := old.Leave()
	f.Rec.Note("server %s says that it leaves, acknowledged: %t", old.ID, acknowledged)
	if !acknowledged {
		return errors.New("the departure was not acknowledged")
	}
	time.Sleep(drain + 500*time.Millisecond)
	old.Crash()
	time.Sleep(time.Second)
	m.Server = &Server{
		ID: old.ID, Service: old.Service, Zone: old.Zone, Addr: old.Addr, Control: old.Control, Slots: old.Slots, Queue: old.Queue, Rec: f.Rec,
	}
	return m.Server.Start()
}

// askBeta sends 100 requests for beta, and returns how many were answered with success.
func askBeta(f *Fleet, from *Machine) (served int) {
	for range 100 {
		c, err := Dial(from, f.Rec)
		if err != nil {
			continue
		}
		q := &Request{Method: "GET", Path: "/b/x", Kind: "safe", DeadlineMs: 1200}
		if c.Send(q) == nil {
			if end, _ := c.Receive(q, 2*time.Second); end.Status == 200 {
				served++
			}
		}
		c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	return served
}
