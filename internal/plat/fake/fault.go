// Package fake provides an in-memory table and object store with fault injection, and an HTTP server for them.
package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Target,Kind -linecomment -output=names.go

// Target selects the store that a fault affects.
type Target int

// The targets.
const (
	Both    Target = iota // both
	Rows                  // table
	Objects               // objects
)

// Kind selects the operations that a fault affects.
type Kind int

// The kinds of operations.
const (
	Any   Kind = iota // any
	Read              // read
	Write             // write
)

// Fault is a failure of the platform: Down, Slow or LoseResponse.
type Fault interface {
	scope() Scope
}

// Scope selects the operations that a fault affects.
type Scope struct {
	Target      Target
	Kind        Kind
	Count       int     // number of affected operations after which the fault ends; 0: until cleared
	Probability float64 // probability that an operation is affected; 0: always
}

// Down fails operations without applying them.
type Down struct{ Scope }

// Slow delays operations before they are applied.
type Slow struct {
	Scope
	Delay time.Duration
}

// LoseResponse applies writes and then fails them with an unknown outcome. It does not affect reads.
type LoseResponse struct{ Scope }

func (f Down) scope() Scope { return f.Scope }

func (f Slow) scope() Scope { return f.Scope }

func (f LoseResponse) scope() Scope {
	limited := f.Scope
	limited.Kind = Write
	return limited
}

// Faults decides which operations fail. The decisions depend only on the seed and the order of operations.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active []*activeFault
	counts Counts
}

// Counts holds the number of operations that reached the stores, including failed ones.
type Counts struct {
	TableReads, TableWrites, ObjectReads, ObjectWrites int
}

type activeFault struct {
	fault     Fault
	remaining int // affected operations until the fault ends; meaningful only if its Scope has a Count
}

// NewFaults returns an empty set of faults whose random numbers depend on seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 0))}
}

// Inject activates a fault.
func (f *Faults) Inject(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, &activeFault{fault: fault, remaining: fault.scope().Count})
}

// Clear ends all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
}

// Active returns the active faults in the order of their injection.
func (f *Faults) Active() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var faults []Fault
	for _, a := range f.active {
		faults = append(faults, a.fault)
	}
	return faults
}

// Counts returns the number of operations so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// effect is what the active faults do to one operation.
type effect struct {
	down  bool // it fails and is not applied
	lose  bool // it is applied, but its response is lost
	delay time.Duration
}

// decide counts an operation and returns the effect of the active faults on it.
func (f *Faults) decide(target Target, kind Kind) effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(target, kind)
	var e effect
	kept := f.active[:0]
	for _, a := range f.active {
		if f.matches(a, target, kind) {
			switch fault := a.fault.(type) {
			case Down:
				e.down = true
			case Slow:
				e.delay += fault.Delay
			case LoseResponse:
				e.lose = true
			}
			a.remaining--
		}
		if a.fault.scope().Count == 0 || a.remaining > 0 {
			kept = append(kept, a)
		}
	}
	f.active = kept
	return e
}

func (f *Faults) matches(a *activeFault, target Target, kind Kind) bool {
	scope := a.fault.scope()
	if scope.Target != Both && scope.Target != target || scope.Kind != Any && scope.Kind != kind {
		return false
	}
	return scope.Probability == 0 || f.random.Float64() < scope.Probability
}

func (f *Faults) count(target Target, kind Kind) {
	switch {
	case target == Rows && kind == Read:
		f.counts.TableReads++
	case target == Rows:
		f.counts.TableWrites++
	case kind == Read:
		f.counts.ObjectReads++
	default:
		f.counts.ObjectWrites++
	}
}
