package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

const (
	// headInterval is the interval of each poller while the budget allows it.
	headInterval = 500 * time.Millisecond
	// headAge is the age of the latest known read above which any daemon may read the head.
	headAge = 2 * time.Second
	// pollShare and fallbackShare divide the fleet's budget. The rest covers daemons whose views of the members differ
	// and the variance of the random reads.
	pollShare     = 0.7
	fallbackShare = 0.05
	// settleTime is how long the number of members must be stable before the head is polled. A daemon that knows few
	// members would take itself for a poller.
	settleTime  = time.Second
	settleShare = 0.1
	settleMost  = 10 * time.Second
	// lagTime is how long peers may take to deliver a revision that was seen at the head.
	lagTime = 2 * time.Second
	// farBehind is the distance above which the folder is fetched instead of its changes. Snapshots are written every 64
	// revisions.
	farBehind = 64
)

// headLoop polls the configuration head, or looks after the pollers' observations.
func (w *Watch) headLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-w.ready:
	}
	w.settle(ctx)
	lag := lag{}
	wait := uniform(headInterval)
	for sleep(ctx, wait) {
		role := w.role()
		budget := w.headReads()
		chance := fallbackChance(budget, role.live)
		_, age := w.Node.HeadSeen()
		switch {
		case role.poller:
			w.readHead(ctx)
		case age > headAge && rand.Float64() < chance:
			w.readHead(ctx)
		case lag.late(w.Node) && rand.Float64() < chance:
			w.fetch(ctx, 0)
		}
		wait = headInterval
		if role.poller {
			wait = pollInterval(budget, role.pollers)
		}
		wait = gossip.Jitter(wait, jitterShare)
	}
	return nil
}

// settle waits until the number of members is stable.
func (w *Watch) settle(ctx context.Context) {
	end := time.Now().Add(settleMost)
	for before := w.Table.Live(); sleep(ctx, settleTime) && time.Now().Before(end); {
		now := w.Table.Live()
		if float64(now) <= float64(before)*(1+settleShare) {
			return
		}
		before = now
	}
}

// headReads returns the budget of the whole fleet in reads per second.
func (w *Watch) headReads() float64 {
	if c := w.Holder.Get(); c != nil && c.Budgets.HeadReads > 0 {
		return c.Budgets.HeadReads
	}
	return config.DefaultHeadReads
}

// pollInterval keeps the pollers of the whole fleet within their share of the budget.
func pollInterval(budget float64, pollers int) time.Duration {
	seconds := float64(pollers) / (pollShare * budget)
	return max(headInterval, time.Duration(seconds*float64(time.Second)))
}

// fallbackChance is the probability that one of live daemons reads in one headInterval.
func fallbackChance(budget float64, live int) float64 {
	return fallbackShare * budget * headInterval.Seconds() / float64(max(live, 1))
}

// lag is how long the held revision has been below the one seen at the head.
type lag struct {
	revision uint64
	since    time.Time
}

func (l *lag) late(node *gossip.Node) bool {
	revision, _ := node.HeadSeen()
	if revision <= node.HeldRevision() {
		*l = lag{}
		return false
	}
	if revision != l.revision {
		*l = lag{revision: revision, since: time.Now()}
	}
	return time.Since(l.since) > lagTime
}

func (w *Watch) readHead(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	w.counters.heads.Add(1)
	revision, err := w.Reader.ReadHead(bounded)
	w.note(err)
	if err != nil {
		return
	}
	held := w.Node.HeldRevision()
	w.Node.ObserveHead(revision)
	if revision < held {
		if w.lowerLogged.Swap(revision+1) != revision+1 {
			w.Log.Info("head-revision-lower", "head", revision, "held", held)
		}
		return
	}
	if revision > held {
		w.fetch(ctx, revision)
	}
}

// fetch gets what is missing from the platform: changes, or the whole folder when these do not follow the held revision.
func (w *Watch) fetch(ctx context.Context, head uint64) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	w.counters.fetches.Add(1)
	held := w.Node.HeldRevision()
	err := gossip.ErrGap
	if held > 0 && head <= held+farBehind {
		err = w.fetchChanges(ctx, held)
	}
	if errors.Is(err, gossip.ErrGap) {
		err = w.fetchSnapshot(ctx)
	}
	if err != nil && code.Of(err).Code != code.StaleRevision {
		w.Log.Error(err, "revision-not-fetched", "head", head, "held", held)
	}
}

func (w *Watch) fetchChanges(ctx context.Context, held uint64) error {
	changes, err := w.Reader.Changes(ctx, held)
	if err != nil && code.Of(err).Code == code.NotFound {
		return gossip.ErrGap
	}
	w.note(err)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return gossip.ErrGap
	}
	return w.Node.Accept(changes)
}

func (w *Watch) fetchSnapshot(ctx context.Context) error {
	set, err := w.Reader.Snapshot(ctx)
	w.note(err)
	if err != nil {
		return err
	}
	return w.Node.AcceptSet(set)
}
