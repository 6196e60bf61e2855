package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restore"] = playRestore }

const (
	contact = 3 * time.Second
	stay    = 15 * time.Second // as scale_in with how = "stay" on the site
)

// playRestore lets a server leave. Then the store is away for a moment and comes back from a copy some seconds old, while all daemons are killed
// and start again. A check-in that the server sent just before it left arrives some seconds late. Without the disruption, only that is done.
func playRestore(f *Fleet, trouble bool) ([]string, error) {
	if err := startBase(f); err != nil {
		return nil, err
	}
	leaver := f.Machines[2].Server
	older := f.Store.Copy()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.Machines {
		clients.Go(func() { restoreClient(f, m, stop) })
	}
	time.Sleep(3 * time.Second)
	late := leaver.NextCheckIn()
	leaver.leaving.Store(true)
	if !leaver.Leave() {
		return nil, errors.New("the departure was not acknowledged")
	}
	acknowledged := f.Rec.Now()
	f.Rec.Note("the departure of %s is acknowledged", leaver.ID)
	calm := acknowledged + drain
	if trouble {
		time.Sleep(300 * time.Millisecond)
		if err := drill(f, older); err != nil {
			return nil, err
		}
		calm = f.Rec.Now() + contact
	}
	time.Sleep(max(0, acknowledged+5*time.Second-f.Rec.Now()))
	f.Rec.Note("the check-in from before the departure arrives, acknowledged: %t", leaver.SendCheckIn(late))
	time.Sleep(max(0, acknowledged+stay-f.Rec.Now()))
	leaver.Crash()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	after, last := 0, time.Duration(0)
	for _, run := range f.Rec.Runs {
		sent := f.Rec.Sent[run.ID]
		if run.Server == leaver.ID && run.At > acknowledged+drain && sent != nil && sent.At > calm {
			after, last = after+1, run.At-acknowledged
		}
	}
	summary := fmt.Sprintf("%d requests, sent when all machines were in touch, ran on the server that had left, the last one %.1f s after the acknowledgement",
		after, last.Seconds())
	f.Rec.Note("%s", summary)
	fmt.Println(summary)
	if after > 0 {
		return []string{"DRAIN: " + summary}, nil
	}
	return nil, nil
}

// drill takes the store away for a second, after which it is back from the copy. Meanwhile all daemons are killed and start again.
func drill(f *Fleet, older Copy) error {
	f.Store.SetMode("silent")
	f.Rec.Note("the store is away")
	time.Sleep(100 * time.Millisecond)
	for _, m := range f.Machines {
		f.Signal(m, syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range f.Machines {
		if !m.AwaitExit(5 * time.Second) {
			return errors.New("a killed daemon still runs")
		}
		if err := f.StartDaemon(m); err != nil {
			return err
		}
	}
	time.Sleep(600 * time.Millisecond)
	f.Store.Restore(older)
	f.Store.SetMode("")
	f.Rec.Note("the store is back from the copy")
	return nil
}

// restoreClient sends requests for beta, one after the other, on new connections.
func restoreClient(f *Fleet, m *Machine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c, err := Dial(m, f.Rec)
		if err != nil {
			continue
		}
		q := &Request{Method: "GET", Path: "/b/x", Kind: "safe", DeadlineMs: 1200}
		if c.Send(q) == nil {
			c.Receive(q, 2*time.Second)
		}
		c.Close()
	}
}
