package order

import (
	"fmt"
	"testing"
	"time"
)

var usualLoads = []load{
	{seed: 1, servers: []int{37, 12, 8, 5}, slots: 18, duration: 40 * time.Second, heavy: 1},
	{seed: 2, servers: []int{20, 12, 8, 6}, slots: 9, duration: 40 * time.Second, heavy: 1},
}

var policies = []struct {
	name string
	new  func() discipline
}{
	{"today", newToday},
	{"strict-priority", newSorted(func(a, b *job) bool {
		return rank{nested: a.Nested, priority: a.Priority}.before(rank{nested: b.Nested, priority: b.Priority})
	})},
	{"weighted-shares", newWeighted},
	{"earliest-deadline", newSorted(func(a, b *job) bool { return a.Objective.Before(b.Objective) })},
	{"shortest-work", newSorted(func(a, b *job) bool { return workOf(a) < workOf(b) })},
	{"value", newByPrecedence},
}

func workOf(j *job) time.Duration {
	if j.Nested {
		return nestedWork
	}
	return kinds[j.kind].work
}

func TestPolicies(t *testing.T) {
	loads := append([]load{{seed: 3, servers: []int{20, 12, 8, 6}, slots: 9, duration: 10 * time.Second, heavy: 1, steady: 0.4}}, usualLoads...)
	for _, l := range loads {
		for _, p := range policies {
			r := simulate(l, p.new)
			line := fmt.Sprintf("%-18s worth %.3f worst %.3f in time/late", p.name, r.worth(), r.worst())
			for k := range kinds {
				line += fmt.Sprintf(" %s %.2f/%.2f", kinds[k].name, share(r.inTime[k], r.total[k]), share(r.late[k], r.total[k]))
			}
			t.Log(line, r.nestedFailed, r.wasted)
		}
	}
}
