package proto

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// Guards against rounds that take more than a small part of the 7 KB/s that control may cost a daemon.
func TestRolloutEvidenceIsSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m := &RolloutEvidence{
		State:   RolloutState{Order: 400, Target: "v2", Known: true, Elapsed: 10 * time.Second, Granted: 500},
		Release: "v1", Received: 2000, Running: 5,
	}
	without, err := Codec{}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	recorder := tally.Recorder{}
	m.Old = &recorder.Tally
	for i := range 2000 {
		recorder.Add(time.UnixMilli(int64(10*i)), fmt.Sprintf("route-%d", i%8), i%100 == 0, time.Duration(5e6*random.ExpFloat64()+2e6))
	}
	with, err := Codec{}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes without, %d with the tally of 8 routes", len(without), len(with))
	if len(without) > 60 || len(with) > 500 {
		t.Fatalf("evidence of %d bytes, %d with a tally", len(without), len(with))
	}
}
