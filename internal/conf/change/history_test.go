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
	seedCount          = 12
	operators          = 5
	changesPerOperator = 8
	sharedKeys         = 4
)

// input is an operation: a put of a file, or a read if the name is empty. Contents are unique.
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

// model is the sequential specification of the folder: an accepted change creates exactly the next revision, a refused one
// changes nothing, and one with an unknown outcome does either; a read returns the folder of its revision.
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
			before, in, out := s.(state), i.(input), o.(output)
			switch out.outcome {
			case "":
				if before.revision == out.revision && before.files == out.files {
					return []any{before}
				}
				return nil
			case "refused":
				return []any{before}
			case "unknown":
				return []any{before, after(before, in)}
			}
			if before.revision+1 != out.revision {
				return nil
			}
			return []any{after(before, in)}
		},
	}
	return nondeterministic.ToModel()
}

// history records the operations of all clients. It uses a logical clock, because many operations happen at the same instant
// of the virtual time.
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
		returned = 1 << 40 // may still take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: returned})
}

// delayedStore answers some transactions with an unknown outcome and applies them later.
type delayedStore struct {
	table.Store
	mu      sync.Mutex
	random  *rand.Rand
	pending sync.WaitGroup
}

func (s *delayedStore) Commit(ctx context.Context, txn table.Txn) error {
	s.mu.Lock()
	delayed, delay := s.random.Float64() < 0.1, time.Duration(s.random.Int64N(int64(3*time.Second)))
	s.mu.Unlock()
	if !delayed {
		return s.Store.Commit(ctx, txn)
	}
	s.pending.Go(func() {
		time.Sleep(delay)
		_ = s.Store.Commit(context.Background(), txn)
	})
	return code.Unknownf(code.PlatformUnavailable, "response lost, transaction delayed")
}

func faults(p *fake.Platform) {
	p.Faults.Inject(fake.Slow{Scope: fake.Scope{Probability: 0.7}, Delay: 7 * time.Millisecond})
	p.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Probability: 0.25}})
	p.Faults.Inject(fake.Down{Scope: fake.Scope{Probability: 0.03}})
}

func runHistory(seed uint64, h *history) (log []files.Change) {
	p := fake.NewPlatform(seed)
	store := &delayedStore{Store: p.Table, random: rand.New(rand.NewPCG(seed, 1))}
	faults(p)
	var clients sync.WaitGroup
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)+2))
		clients.Go(func() {
			w := &change.Writer{Store: store, Objects: p.Objects, Operator: fmt.Sprint("op-", operator), Log: logr.Discard()}
			w.ResolveTimeout = 1500 * time.Millisecond // shorter than an outage, so that some outcomes stay unknown
			for i := range changesPerOperator {
				key := random.IntN(sharedKeys)
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
	store.pending.Wait()
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

// runRead repeats the read until it succeeds.
func runRead(p *fake.Platform) output {
	for {
		set, err := reader(p).Snapshot(ctx)
		if err == nil {
			return output{revision: set.Revision, files: encode(set.Files)}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHistories guards against an accepted change that is lost or applied twice, a wrong result reported to an operator, and
// a read that returns a stale revision or a folder that never existed. It runs concurrent operators with lost responses,
// delayed writes and outages.
func TestHistories(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(seedCount) {
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
		g.Expect(outcomes[outcome]).To(BeNumerically(">", 0), "the generated histories must contain every outcome: "+outcome)
	}
}

// checkLog compares each reported outcome with the log: an accepted change occurs once and at its revision, a refused one
// never, and one with an unknown outcome at most once.
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
