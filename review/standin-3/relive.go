package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["relive"] = playRelive }

const (
	drain    = 2 * time.Second
	recovery = 15 * time.Second
)

// playRelive restarts the servers of beta, host by host, as their operators plan it: each says that it leaves, goes on for more than drain,
// ends and starts again under its id. With the disruptions, the daemon of the first host was killed and has started again just before, and so
// have all daemons before the second host's turn, which is the final fault, right after a configuration was acknowledged.
func playRelive(f *Fleet, trouble bool) ([]string, error) {
	if err := startBase(f); err != nil {
		return nil, err
	}
	hosts := f.Machines[2:4]
	caller := f.Machines[0]
	if trouble {
		awaitBeat(hosts[0])
		if err := restartDaemons(f, hosts[:1]); err != nil {
			return nil, err
		}
	}
	if err := restartServer(f, hosts[0]); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // until it serves again
	before := askBeta(f, caller)
	f.Rec.Note("before the final fault, %d of 100 requests were served", before)
	if before < 25 {
		return nil, fmt.Errorf("only %d of 100 requests were served before the final fault", before)
	}
	awaitBeat(hosts[1])
	f.WriteConfig(baseConfig())
	if trouble {
		if err := restartDaemons(f, f.Machines); err != nil {
			return nil, err
		}
	}
	if err := restartServer(f, hosts[1]); err != nil {
		return nil, err
	}
	f.Rec.Note("all servers are back")
	time.Sleep(recovery)
	served := askBeta(f, caller)
	summary := fmt.Sprintf("before the final fault, %d of 100 requests were served, later than %s after all were back %d of 100", before, recovery, served)
	f.Rec.Note("%s", summary)
	fmt.Println(summary)
	if served < 25 {
		return []string{"RECOVER: " + summary + "; a quarter is the least"}, nil
	}
	return nil, nil
}

// awaitBeat waits until the server of a machine has just checked in.
func awaitBeat(m *Machine) {
	for last := m.Server.beats.Load(); m.Server.beats.Load() == last; {
		time.Sleep(10 * time.Millisecond)
	}
}

// restartDaemons kills the daemons of machines at once, starts them again and waits until they are ready.
func restartDaemons(f *Fleet, machines []*Machine) error {
	for _, m := range machines {
		f.Signal(m, syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range machines {
		if !m.AwaitExit(5 * time.Second) {
			return errors.New("a killed daemon still runs")
		}
		if err := f.StartDaemon(m); err != nil {
			return err
		}
	}
	return f.AwaitReady(5 * time.Second)
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
