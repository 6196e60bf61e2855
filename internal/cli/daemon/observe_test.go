package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
)

func (s *system) allReady() bool {
	for _, n := range s.nodes {
		if !s.ready(n) {
			return false
		}
	}
	return true
}

func (s *system) ready(n *node) bool {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// dump reads a part of a daemon's state dump.
func (s *system) dump(n *node, part string, into any) error {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/dump/" + part)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// revision returns the revision in force at a daemon, or 0 when the daemon does not answer.
func (s *system) revision(n *node) uint64 {
	state := struct {
		Revision uint64 `json:"revision"`
	}{}
	if s.dump(n, "configuration", &state) != nil {
		return 0
	}
	return state.Revision
}

// watchRevisions polls the revision of every daemon. The returned function ends this and lists the decreases that were seen.
func (s *system) watchRevisions() func() []string {
	var mu sync.Mutex
	var decreased []string
	ctx, stop := context.WithCancel(s.t.Context())
	nodes := slices.Clone(s.nodes)
	s.running.Go(func() {
		highest := map[*memnet.Process]uint64{} // by process, because a restarted daemon begins without a configuration
		for ctx.Err() == nil {
			for _, n := range nodes {
				process := n.daemonProcess.Load()
				now := s.revision(n)
				if process.Killed() || process != n.daemonProcess.Load() {
					continue
				}
				if now < highest[process] {
					mu.Lock()
					decreased = append(decreased, fmt.Sprintf("%s from %d to %d", n.host, highest[process], now))
					mu.Unlock()
				}
				highest[process] = max(highest[process], now)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	return func() []string {
		stop()
		mu.Lock()
		defer mu.Unlock()
		return decreased
	}
}
