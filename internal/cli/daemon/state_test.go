package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const (
	inForceBound = 3 * time.Second  // invariant 9, with the platform up
	healBound    = 12 * time.Second // after the end of a partition
)

// Guards against an accepted change that is lost, reverts, or is not in force everywhere in time: with operators racing,
// with lost responses of their writes, and in a region that was cut off from the platform and the other regions.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(5 * time.Second)
		fell := s.watchRevisions()
		accepted := s.race(4, 4)
		time.Sleep(inForceBound)
		s.expectInForce(accepted, s.nodes...)

		far := func(host string) bool { return zoneOf(host) == "zone-c" }
		s.fabric.Block(func(from, to string) bool { return from != "callers" && far(from) != far(to) })
		var near, cut []*node
		for _, n := range s.nodes {
			if far(n.host) {
				cut = append(cut, n)
			} else {
				near = append(near, n)
			}
		}
		before := s.revision(cut[0])
		s.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Probability: 0.3}})
		accepted = append(accepted, s.race(3, 2)...)
		s.platform.Faults.Clear()
		time.Sleep(inForceBound)
		s.expectInForce(accepted, near...)
		time.Sleep(20 * time.Second) // until each side knows that the other is gone
		plan := s.plan(50, 20*time.Second)
		plan.Kinds = plan.Kinds[:1]
		done := s.load(plan) // the region goes on with the last configuration
		result := <-done
		s.expectTruth(result)
		s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.999))
		for _, n := range cut {
			s.Expect(s.revision(n)).To(Equal(before), "%s cannot have heard of a change", n.host)
		}
		s.fabric.Unblock()
		time.Sleep(healBound)
		s.expectInForce(accepted, s.nodes...)
		s.Expect(fell()).To(BeEmpty(), "revisions that fell")
	})
}

// race lets operators add files at once, some with the same name and other contents, and returns what was accepted.
func (s *system) race(operators, changes int) []files.File {
	var mu sync.Mutex
	var accepted []files.File
	var sending sync.WaitGroup
	for operator := range operators {
		sending.Go(func() {
			writer := s.writer(fmt.Sprintf("operator-%d", operator))
			for i := range changes {
				head, err := s.writer("reader").Show(s.t.Context(), 0)
				s.Expect(err).NotTo(HaveOccurred())
				name := fmt.Sprintf("50-extra-%d-%d.ini", head.Revision, operator/2) // two operators meet
				file := files.File{Name: name, Content: fmt.Sprintf("[service extra-%d]\nowner = %d %d\n", head.Revision, operator, i)}
				if operator/2 == 1 {
					file.Content = fmt.Sprintf("[service other-%d]\nowner = %d %d\n", head.Revision, operator, i)
				}
				if _, err := writer.Add(s.t.Context(), []files.File{file}, change.Options{Base: head.Revision}); err == nil {
					mu.Lock()
					accepted = append(accepted, file)
					mu.Unlock()
				}
			}
		})
	}
	sending.Wait()
	s.Expect(accepted).NotTo(BeEmpty())
	return accepted
}

// expectInForce checks that the daemons have the latest revision, and that it has every accepted file as it was written.
func (s *system) expectInForce(accepted []files.File, nodes ...*node) {
	s.t.Helper()
	head, err := s.writer("check").Show(s.t.Context(), 0)
	s.Expect(err).NotTo(HaveOccurred())
	for _, file := range accepted {
		s.Expect(head.Files).To(ContainElement(file), "accepted and lost")
	}
	for _, n := range nodes {
		s.Expect(s.revision(n)).To(Equal(head.Revision), n.host)
		state := struct {
			Config struct {
				Services map[string]struct{ Owner string }
			}
		}{}
		s.Expect(s.dump(n, "configuration", &state)).To(Succeed())
		for _, file := range accepted {
			var service, owner string
			_, err := fmt.Sscanf(strings.ReplaceAll(file.Content, "]", " "), "[service %s \nowner = %s", &service, &owner)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(state.Config.Services[service].Owner).To(HavePrefix(owner+" "), n.host)
		}
	}
}

// Guards against calls that need the platform, and against a daemon that cannot start without it.
func TestPlatformOutageChangesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2, "stock", "orders")
		time.Sleep(5 * time.Second)
		fell, revision := s.watchRevisions(), s.revision(s.nodes[0])
		s.platform.Faults.Inject(fake.Down{})
		done := s.load(s.plan(10, 2*time.Minute))
		time.Sleep(40 * time.Second)
		started := s.addNode("stock", 1)
		time.Sleep(10 * time.Second)
		s.Expect(s.ready(started)).To(BeTrue(), "ready from what its peers know")
		s.Expect(s.revision(started)).To(Equal(revision))
		time.Sleep(20 * time.Second)
		s.Expect(started.server.Counts().Total).To(BeNumerically(">", 0), "the others find the new server")
		for _, status := range drain(s.through(started, "/stock/jars/1", 5), 5) {
			s.Expect(status).To(Equal(http.StatusOK))
		}
		result := <-done
		s.expectUncut(result, 1)
		s.expectSeen(result, load.OK)
		_, err := s.writer("anna").Add(t.Context(), []files.File{{Name: "90-late.ini", Content: "[service late]\n"}}, change.Options{})
		s.Expect(err).To(HaveOccurred(), "the platform is still down")
		s.platform.Faults.Clear()
		_, err = s.writer("anna").Add(t.Context(), []files.File{{Name: "90-late.ini", Content: "[service late]\n"}}, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(healBound)
		s.expectInForce(nil, s.nodes...)
		s.Expect(fell()).To(BeEmpty(), "revisions that fell")
	})
}

func drain(statuses <-chan int, count int) []int {
	var all []int
	for range count {
		all = append(all, <-statuses)
	}
	return all
}
