package order

import (
	"testing"
	"time"
)

// BenchmarkArrive measures the decision on a request that arrives at a full queue and the choice of the next one.
func BenchmarkArrive(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	var q Queue
	add := func() {
		r := &Request{Class: 1, Priority: 1, Objective: now.Add(time.Minute), Deadline: now.Add(time.Hour)}
		if d := q.Arrive(r, Server{Slots: 18, Capacity: queueCapacity}, now); d.Reason == None {
			q.Add(r)
		}
	}
	for range queueCapacity {
		r := &Request{Class: 1, Priority: 1}
		q.Granted(r, now)
		q.Released(r, 300*time.Millisecond, now)
		add()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		r := q.Next(18, 18, always, now)
		q.Granted(r, now)
		q.Released(r, 300*time.Millisecond, now)
		add()
	}
}
