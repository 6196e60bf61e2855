package coord

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

const randomSeeds = 40

// Guards against combinations of faults that no other scenario has: more exposure than allowed, requests at old servers after completion,
// and daemons that do not agree with the row in the end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			inFleet(t, 3+random.IntN(4), 3+random.IntN(4), func(f *fleet) { f.playRandom(random) })
		})
	}
}

func (f *fleet) playRandom(random *rand.Rand) {
	bad := random.IntN(2) == 0
	var late time.Duration
	if random.IntN(2) == 0 {
		late = time.Duration(random.Int64N(int64(8 * time.Second)))
	}
	start := time.Now()
	f.respond = func(*node) (bool, time.Duration) {
		return bad && time.Since(start) > late && rand.IntN(5) < 2, serviceTime/2 + rand.N(serviceTime)
	}
	f.begin(order(1))
	start = time.Now()
	for time.Since(start) < duration-time.Second {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		f.disturb(random)
	}
	time.Sleep(duration - time.Since(start))
	exposed, requests := f.toTarget.Load(), f.requests.Load()
	time.Sleep(20 * time.Second) // all faults have ended
	at := f.row()
	f.t.Logf("bad %t after %s: %s, %d of %d requests at target servers, %d bad, %d refused", bad, late, at, exposed, requests, f.bad.Load(),
		f.refused.Load())
	f.Expect(at).To(Or(Equal(phase.Completed.String()), Equal(phase.RolledBack.String())))
	f.Expect(f.phases()).To(Equal(map[string]int{at: len(f.all())}))
	f.Expect(f.oldAtCompletion.Load()).To(BeZero(), "requests at old servers when completed was written, or later")
	f.Expect(f.afterBad.Load()).To(BeZero(), "requests later than 5 s after the 50th bad response")
	if bad {
		f.Expect(float64(exposed)).To(BeNumerically("<=", 0.1*float64(requests)+50), "exposure")
	}
}

// disturb begins a random fault that ends by itself within 5 s.
func (f *fleet) disturb(random *rand.Rand) {
	length := time.Duration(random.Int64N(int64(5 * time.Second)))
	nodes := f.all()
	n := nodes[random.IntN(len(nodes))]
	if active := f.active(); len(active) > 0 && random.IntN(2) == 0 {
		n = active[0]
	}
	if n.killed.Load() || n.paused.Load() != nil {
		return
	}
	later := func(end func()) {
		f.running.Go(func() {
			time.Sleep(length)
			end()
		})
	}
	switch random.IntN(6) {
	case 0:
		n.kill()
		later(func() { f.restart(n) })
	case 1:
		f.pauseFor(n, length)
	case 2:
		n.storeDown.Store(true)
		later(func() { n.storeDown.Store(false) })
	case 3:
		f.platform.Faults.Inject(fake.Down{})
		later(f.platform.Faults.Clear)
	case 4:
		f.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Kind: fake.Write, Probability: 0.5}})
		later(f.platform.Faults.Clear)
	case 5:
		f.partitionFor(length, 0, 1+random.IntN(len(nodes)-1))
	}
}
