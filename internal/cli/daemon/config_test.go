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
	inForceBound  = 3 * time.Second  // invariant 9 of the design, with the platform available
	recoveryBound = 12 * time.Second // after the end of a partition
)

// Guards against an accepted change that is lost, reverts, or is not in force everywhere in time: while operators write
// concurrently, responses to their writes are lost, and one zone is partitioned from the platform and the other zones.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(5 * time.Second)
		decreased := s.watchRevisions()
		accepted := s.addConcurrently(4, 4)
		time.Sleep(inForceBound)
		s.expectInForce(accepted, s.nodes...)

		remote := func(host string) bool { return zoneOf(host) == "zone-c" }
		s.fabric.Block(func(from, to string) bool { return from != "callers" && remote(from) != remote(to) })
		var connected, isolated []*node
		for _, n := range s.nodes {
			if remote(n.host) {
				isolated = append(isolated, n)
			} else {
				connected = append(connected, n)
			}
		}
		before := s.revision(isolated[0])
		s.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Probability: 0.3}})
		accepted = append(accepted, s.addConcurrently(3, 2)...)
		s.platform.Faults.Clear()
		time.Sleep(inForceBound)
		s.expectInForce(accepted, connected...)
		time.Sleep(20 * time.Second) // until each side has marked the other as gone
		plan := s.plan(50, 20*time.Second)
		plan.Kinds = plan.Kinds[:1]
		done := s.load(plan) // the partitioned zone keeps working with its last configuration
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.999))
		for _, n := range isolated {
			s.Expect(s.revision(n)).To(Equal(before), "%s cannot have received a change", n.host)
		}
		s.fabric.Unblock()
		time.Sleep(recoveryBound)
		s.expectInForce(accepted, s.nodes...)
		s.Expect(decreased()).To(BeEmpty(), "revisions that decreased")
	})
}

// addConcurrently lets operators add files concurrently, some under the same name with different contents. It returns the files
// that were accepted.
func (s *system) addConcurrently(operators, changes int) []files.File {
	var mu sync.Mutex
	var accepted []files.File
	var sending sync.WaitGroup
	for operator := range operators {
		sending.Go(func() {
			writer := s.writer(fmt.Sprintf("operator-%d", operator))
			for i := range changes {
				head, err := s.writer("reader").Show(s.t.Context(), 0)
				s.Expect(err).NotTo(HaveOccurred())
				name := fmt.Sprintf("50-extra-%d-%d.ini", head.Revision, operator/2) // pairs of operators use the same name
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

// expectInForce checks that the latest revision holds every accepted file unchanged and is in force at the daemons.
func (s *system) expectInForce(accepted []files.File, nodes ...*node) {
	s.t.Helper()
	head, err := s.writer("check").Show(s.t.Context(), 0)
	s.Expect(err).NotTo(HaveOccurred())
	for _, file := range accepted {
		s.Expect(head.Files).To(ContainElement(file), "accepted change was lost")
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

// Guards against calls that depend on the platform, and against a daemon that cannot start without it.
func TestPlatformOutageChangesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2, "stock", "orders")
		time.Sleep(5 * time.Second)
		decreased, revision := s.watchRevisions(), s.revision(s.nodes[0])
		s.platform.Faults.Inject(fake.Down{})
		done := s.load(s.plan(10, 2*time.Minute))
		time.Sleep(40 * time.Second)
		added := s.addNode("stock", 1)
		time.Sleep(10 * time.Second)
		s.Expect(s.ready(added)).To(BeTrue(), "ready with the configuration of its peers")
		s.Expect(s.revision(added)).To(Equal(revision))
		time.Sleep(20 * time.Second)
		s.Expect(added.server.Counts().Total).To(BeNumerically(">", 0), "other daemons use the new server")
		for _, status := range collect(s.sendThrough(added, "/stock/jars/1", 5), 5) {
			s.Expect(status).To(Equal(http.StatusOK))
		}
		result := <-done
		s.expectNoneCut(result, 1)
		s.expectOutcomes(result, load.OK)
		_, err := s.writer("anna").Add(t.Context(), []files.File{{Name: "90-late.ini", Content: "[service late]\n"}}, change.Options{})
		s.Expect(err).To(HaveOccurred(), "the platform is still down")
		s.platform.Faults.Clear()
		_, err = s.writer("anna").Add(t.Context(), []files.File{{Name: "90-late.ini", Content: "[service late]\n"}}, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(recoveryBound)
		s.expectInForce(nil, s.nodes...)
		s.Expect(decreased()).To(BeEmpty(), "revisions that decreased")
	})
}

func collect(statuses <-chan int, count int) []int {
	var all []int
	for range count {
		all = append(all, <-statuses)
	}
	return all
}
