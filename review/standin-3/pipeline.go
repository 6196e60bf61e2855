package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

const (
	garbleEvery = 20 // one answer in so many is wrong: x = .05
	lostSlack   = 3  // requests
	garbleFor   = 5 * time.Second
)

// playPipeline has the two servers of alpha, half of all, send some answers without a length, and reset their connections on the way, for as
// long as the largest dose on the site lasts. Clients send requests for the sound servers of beta behind those that get such an answer.
func playPipeline(f *Fleet, trouble bool) ([]string, error) {
	if err := startBase(f); err != nil {
		return nil, err
	}
	for _, m := range f.Machines {
		m.Server.Work = func(path string) time.Duration {
			if strings.HasPrefix(path, "/b/") {
				return 60 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		m.Server.BodySize = func(string) int { return 2000 }
	}
	end := f.Rec.Now() + garbleFor
	if trouble {
		var answers atomic.Int64
		faults := func(string, string) string {
			if answers.Add(1)%garbleEvery == 0 && f.Rec.Now() < end {
				return "unframed-cut"
			}
			return ""
		}
		f.Machines[0].Server.Faults, f.Machines[1].Server.Faults = faults, faults
	}
	sound := map[string]bool{}
	for _, m := range f.Machines[2:] {
		sound[m.Server.ID] = true
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []*Request
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for f.Rec.Now() < end {
				c, err := Dial(f.Machines[i%4], f.Rec)
				if err != nil {
					continue
				}
				var sent []*Request
				for k := range 4 {
					q := &Request{Method: "GET", Path: "/b/x", Kind: "safe", DeadlineMs: 1200, Keep: true}
					if k == 0 {
						q.Path = "/a/x"
					}
					if c.Send(q) != nil {
						break
					}
					sent = append(sent, q)
				}
				ok := true
				for k, q := range sent {
					if ok {
						var end *End
						end, ok = c.Receive(q, 3*time.Second)
						if k > 0 && end.Status == 0 && end.Stamp == "" {
							mu.Lock()
							lost = append(lost, q)
							mu.Unlock()
						}
						continue
					}
					f.Rec.Note("client gets no answer for %s: the connection has ended", q.id)
					if k > 0 {
						mu.Lock()
						lost = append(lost, q)
						mu.Unlock()
					}
				}
				c.Close()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	passed := 0
	for _, q := range lost {
		for _, run := range f.Rec.Runs {
			if run.ID == q.id && sound[run.Server] {
				passed++
				break
			}
		}
	}
	fmt.Printf("%d sent; %d without an answer behind another one, of which %d were passed on to sound servers of another service\n", len(f.Rec.Sent), len(lost), passed)
	f.Rec.Note("%d sent; %d without an answer, of which %d were passed on to sound servers", len(f.Rec.Sent), len(lost), passed)
	if passed > lostSlack {
		return []string{fmt.Sprintf("LOST: %d requests from kept connections were passed on to sound servers, and their connections closed without an answer", passed)}, nil
	}
	return nil, nil
}
