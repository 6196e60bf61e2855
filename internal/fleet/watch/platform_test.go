package watch

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// fakePlatform is an in-memory table and configuration store.
type fakePlatform struct {
	fleet      *fleet
	mu         sync.Mutex
	rows       map[string]table.Row
	copied     map[string]table.Row
	writes     int
	changes    []files.Change
	headOffset uint64 // subtracted from the head revision, as after restoring an old state
	down       bool
	heads      []time.Time          // times of head reads
	seen       map[uint64]time.Time // time of the first head read of each revision
	ranges     int
	commits    int
	fetches    int // of changes and snapshots
}

// callerKey is the context key of the calling daemon's address.
type callerKey struct{}

// check returns an error during an outage and for callers that are paused or not on side 0 of a partition.
func (p *fakePlatform) check(ctx context.Context) error {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	caller, _ := ctx.Value(callerKey{}).(netip.AddrPort)
	d := p.fleet.daemons[caller]
	if p.down || p.fleet.side[caller] != 0 || d != nil && d.paused != nil {
		return code.NotRunf(code.PlatformUnavailable, "platform is down or unreachable")
	}
	return nil
}

func (p *fakePlatform) set(change func(p *fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// row returns the row of daemon i.
func (p *fakePlatform) row(i int) (table.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, found := p.rows[rowKey(address(i))]
	return row, found
}

func (p *fakePlatform) setDown(down bool) {
	p.set(func(p *fakePlatform) { p.down = down })
}

// change adds a revision with one file of about the size of a service's file.
func (p *fakePlatform) change() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(len(p.changes) + 1)
	p.changes = append(p.changes, files.Change{
		Revision: revision, ID: fmt.Sprint(revision),
		Put: []files.File{{Name: fmt.Sprintf("file-%d.ini", revision%40), Content: strings.Repeat("x", 500)}},
	})
	return revision
}

func (p *fakePlatform) Get(ctx context.Context, key string) (table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, found := p.rows[key]
	if !found {
		return row, code.NotRunf(code.NotFound, "no row %s", key)
	}
	return row, p.check(ctx)
}

func (p *fakePlatform) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranges++
	if err := p.check(ctx); err != nil {
		return nil, err
	}
	var rows []table.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (p *fakePlatform) Commit(ctx context.Context, txn table.Txn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	if err := p.check(ctx); err != nil {
		return err
	}
	for _, condition := range txn.Conditions {
		if p.rows[condition.Key].Version != condition.Version {
			return code.NotRunf(code.ChangeConflict, "row %s was written", condition.Key)
		}
	}
	for _, put := range txn.Puts {
		p.writes++
		p.rows[put.Key] = table.Row{Key: put.Key, Value: put.Value, Version: fmt.Sprint(p.writes)}
	}
	for _, key := range txn.Deletes {
		delete(p.rows, key)
	}
	return nil
}

func (p *fakePlatform) ReadHead(ctx context.Context) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads = append(p.heads, time.Now())
	if err := p.check(ctx); err != nil {
		return 0, err
	}
	revision := uint64(len(p.changes))
	if p.seen == nil {
		p.seen = make(map[uint64]time.Time)
	}
	if _, found := p.seen[revision]; !found {
		p.seen[revision] = time.Now()
	}
	return revision - p.headOffset, nil
}

func (p *fakePlatform) Changes(ctx context.Context, since uint64) ([]files.Change, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	return p.changes[min(since, uint64(len(p.changes))):], p.check(ctx)
}

func (p *fakePlatform) Snapshot(ctx context.Context) (files.Set, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	set := files.Set{Revision: uint64(len(p.changes))}
	for i := max(0, len(p.changes)-40); i < len(p.changes); i++ {
		set.Files = append(set.Files, p.changes[i].Put...)
	}
	slices.SortFunc(set.Files, func(a, b files.File) int { return strings.Compare(a.Name, b.Name) })
	return set, p.check(ctx)
}

// counts holds the numbers of requests so far.
type counts struct {
	heads, ranges, commits, fetches int
}

func (p *fakePlatform) counts() counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return counts{heads: len(p.heads), ranges: p.ranges, commits: p.commits, fetches: p.fetches}
}

// firstSeen returns the time of the first head read that returned the revision.
func (p *fakePlatform) firstSeen(revision uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[revision]
}

// mostHeads returns the highest number of head reads in any window of the given length that lies after since.
func (p *fakePlatform) mostHeads(since time.Time, window time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, first := 0, 0
	for i, at := range p.heads {
		for at.Sub(p.heads[first]) >= window {
			first++
		}
		if at.Sub(since) >= window {
			most = max(most, i-first+1)
		}
	}
	return most
}
