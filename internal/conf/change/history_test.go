package change_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	historySeeds = 12
	operators    = 5
	changesEach  = 8
	keysShared   = 4
)

// input is an operation: a put of a file, or a read without a name. Contents are unique.
type input struct {
	name, content string
}

type output struct {
	outcome  string // accepted, refused, unknown; empty for a read
	revision uint64
	files    string
}

type state struct {
	revision uint64
	files    string
}

func encode(list []files.File) string {
	var text strings.Builder
	for _, file := range list {
		fmt.Fprintf(&text, "%s\n%s\n", file.Name, file.Content)
	}
	return text.String()
}

// model holds the folder. An accepted change makes exactly its revision, a refused one nothing, one of unknown outcome
// either; a read sees the folder of its revision.
func model(contents map[string][]files.File, mu *sync.Mutex) porcupine.Model {
	after := func(s state, in input) state {
		mu.Lock()
		defer mu.Unlock()
		list := files.Replace(contents[s.files], file(in.name, in.content), nil)
		next := state{revision: s.revision + 1, files: encode(list)}
		contents[next.files] = list
		return next
	}
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, i, o any) []any {
			was, in, out := s.(state), i.(input), o.(output)
			switch out.outcome {
			case "":
				if was.revision == out.revision && was.files == out.files {
					return []any{was}
				}
				return nil
			case "refused":
				return []any{was}
			case "unknown":
				return []any{was, after(was, in)}
			}
			if was.revision+1 != out.revision {
				return nil
			}
			return []any{after(was, in)}
		},
	}
	return nondeterministic.ToModel()
}

// history records the operations of all clients with a logical clock, because many happen at one virtual instant.
type history struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (h *history) record(client int, in input, run func() output) {
	call := h.clock.Add(1)
	out := run()
	returned := h.clock.Add(1)
	if out.outcome == "unknown" {
		returned = 1 << 40 // it may still take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: returned})
}

// straying answers some transactions with an unknown outcome and applies them later.
type straying struct {
	table.Store
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

func (s *straying) Commit(ctx context.Context, txn table.Txn) error {
	s.mu.Lock()
	strays, delay := s.random.Float64() < 0.1, time.Duration(s.random.Int64N(int64(3*time.Second)))
	s.mu.Unlock()
	if !strays {
		return s.Store.Commit(ctx, txn)
	}
	s.late.Go(func() {
		time.Sleep(delay)
		_ = s.Store.Commit(context.Background(), txn)
	})
	return code.Unknownf(code.PlatformUnavailable, "strayed")
}

func faults(p *fake.Platform) {
	p.Faults.Inject(fake.Slow{Scope: fake.Scope{Probability: 0.7}, Delay: 7 * time.Millisecond})
	p.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Probability: 0.25}})
	p.Faults.Inject(fake.Down{Scope: fake.Scope{Probability: 0.03}})
}

func runHistory(seed uint64, h *history) (log []files.Change) {
	p := fake.NewPlatform(seed)
	store := &straying{Store: p.Table, random: rand.New(rand.NewPCG(seed, 1))}
	faults(p)
	var clients sync.WaitGroup
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)+2))
		clients.Go(func() {
			w := &change.Writer{Store: store, Objects: p.Objects, Operator: fmt.Sprint("op-", operator), Log: logr.Discard()}
			w.ResolveTimeout = 1500 * time.Millisecond // shorter than an outage, so that some outcomes stay unknown
			for i := range changesEach {
				key := random.IntN(keysShared)
				in := input{name: fmt.Sprintf("f-%d.ini", key), content: owner(fmt.Sprint("s", key), fmt.Sprintf("op%d-%d", operator, i))}
				h.record(operator, in, func() output { return runChange(w, in) })
				time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for range 20 {
			h.record(operators, input{}, func() output { return runRead(p) })
			time.Sleep(40 * time.Millisecond)
		}
	})
	clients.Go(func() {
		for range 2 { // outages
			time.Sleep(150 * time.Millisecond)
			p.Faults.Inject(fake.Down{})
			time.Sleep(2 * time.Second)
			p.Faults.Clear()
			faults(p)
		}
	})
	clients.Wait()
	store.late.Wait()
	p.Faults.Clear()
	h.record(operators, input{}, func() output { return runRead(p) })
	log, err := reader(p).Changes(ctx, 0)
	Expect(err).NotTo(HaveOccurred())
	return log
}

func runChange(w *change.Writer, in input) output {
	result, err := w.Add(ctx, file(in.name, in.content), change.Options{})
	switch {
	case err == nil:
		return output{outcome: "accepted", revision: result.Revision}
	case code.Of(err).Outcome == code.NotRun:
		return output{outcome: "refused"}
	}
	return output{outcome: "unknown"}
}

// runRead reads until the platform answers.
func runRead(p *fake.Platform) output {
	for {
		set, err := reader(p).Snapshot(ctx)
		if err == nil {
			return output{revision: set.Revision, files: encode(set.Files)}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHistories guards against an accepted change that is lost or applied twice, a false statement to an operator, and a
// read of a lower revision or of a folder that never was, with racing operators, lost responses, writes that are applied
// late, and outages.
func TestHistories(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			RegisterTestingT(t)
			g := NewWithT(t)
			h := &history{}
			var log []files.Change
			synctest.Test(t, func(*testing.T) { log = runHistory(seed, h) })
			checkLog(g, h, log, outcomes)
			contents, mu := map[string][]files.File{}, sync.Mutex{}
			result := porcupine.CheckOperations(model(contents, &mu), h.operations)
			g.Expect(result).To(BeTrue(), "the history is not linearizable")
		})
	}
	t.Log("outcomes:", maps.Clone(outcomes))
	g := NewWithT(t)
	for _, outcome := range []string{"accepted", "refused", "unknown"} {
		g.Expect(outcomes[outcome]).To(BeNumerically(">", 0), "the schedules must reach every outcome: "+outcome)
	}
}

// checkLog checks each statement against the log: accepted is there once, under its revision; refused is not there.
func checkLog(g *WithT, h *history, log []files.Change, outcomes map[string]int) {
	revisions := map[string][]uint64{}
	for i, logged := range log {
		g.Expect(logged.Revision).To(Equal(uint64(i + 1)))
		for _, put := range logged.Put {
			revisions[put.Content] = append(revisions[put.Content], logged.Revision)
		}
	}
	for _, operation := range h.operations {
		in, out := operation.Input.(input), operation.Output.(output)
		outcomes[out.outcome]++
		switch out.outcome {
		case "accepted":
			g.Expect(revisions[in.content]).To(Equal([]uint64{out.revision}), in.content)
		case "refused":
			g.Expect(revisions[in.content]).To(BeEmpty(), in.content)
		case "unknown":
			g.Expect(len(revisions[in.content])).To(BeNumerically("<=", 1), in.content)
		}
	}
}
