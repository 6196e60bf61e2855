package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

const (
	// headInterval is the poll interval of each poller when the budget allows it.
	headInterval = 500 * time.Millisecond
	// maxHeadAge is the age of the latest known head read above which daemons that are not pollers may read the head too.
	maxHeadAge = 2 * time.Second
	// pollShare and fallbackShare are the shares of the fleet's read budget for pollers and for all other daemons. The remainder
	// covers daemons whose views of the members differ and the variance of the random reads.
	pollShare     = 0.7
	fallbackShare = 0.05
	// settleTime is the time in which the number of members must grow by at most maxSettleGrowth before the head is polled. A
	// daemon that knows few members would choose itself as a poller.
	settleTime      = time.Second
	maxSettleGrowth = 0.1
	maxSettleTime   = 10 * time.Second
	// maxLag is how long peers may take to deliver a revision that was read from the head.
	maxLag = 2 * time.Second
	// maxChangesBehind is the number of missing revisions above which the whole folder is fetched instead of the changes. Snapshots
	// are written every 64 revisions.
	maxChangesBehind = 64
)

// headLoop polls the configuration head if this daemon is a poller. Otherwise it takes over at random, within the fallback share
// of the budget, when no recent head read is known or peers are late in delivering a revision.
func (w *Watch) headLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-w.ready:
	}
	w.settle(ctx)
	lag := lag{}
	wait := uniform(headInterval)
	for clock.Sleep(ctx, wait) {
		role := w.role()
		budget := w.headReadBudget()
		chance := fallbackChance(budget, role.live)
		_, age := w.Node.HeadSeen()
		switch {
		case role.poller:
			w.readHead(ctx)
		case age > maxHeadAge && rand.Float64() < chance:
			w.readHead(ctx)
		case lag.exceeded(w.Node) && rand.Float64() < chance:
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

// settle waits until the number of members is stable, at most for maxSettleTime.
func (w *Watch) settle(ctx context.Context) {
	end := time.Now().Add(maxSettleTime)
	for before := w.Table.Live(); clock.Sleep(ctx, settleTime) && time.Now().Before(end); {
		now := w.Table.Live()
		if float64(now) <= float64(before)*(1+maxSettleGrowth) {
			return
		}
		before = now
	}
}

// headReadBudget returns the head reads per second that the whole fleet may make.
func (w *Watch) headReadBudget() float64 {
	if c := w.Holder.Get(); c != nil && c.Budgets.HeadReads > 0 {
		return c.Budgets.HeadReads
	}
	return config.DefaultHeadReads
}

// pollInterval returns the interval of each poller that keeps all pollers of the fleet within their share of the budget.
func pollInterval(budget float64, pollers int) time.Duration {
	seconds := float64(pollers) / (pollShare * budget)
	return max(headInterval, time.Duration(seconds*float64(time.Second)))
}

// fallbackChance returns the probability with which each of the live daemons may read in one headInterval.
func fallbackChance(budget float64, live int) float64 {
	return fallbackShare * budget * headInterval.Seconds() / float64(max(live, 1))
}

// lag measures how long the held revision has been below the highest one known from the head.
type lag struct {
	revision uint64
	since    time.Time
}

func (l *lag) exceeded(node *gossip.Node) bool {
	revision, _ := node.HeadSeen()
	if revision <= node.HeldRevision() {
		*l = lag{}
		return false
	}
	if revision != l.revision {
		*l = lag{revision: revision, since: time.Now()}
	}
	return time.Since(l.since) > maxLag
}

func (w *Watch) readHead(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	w.counters.headReads.Add(1)
	revision, err := w.Reader.ReadHead(bounded)
	w.recordOutcome(err)
	if err != nil {
		return
	}
	held := w.Node.HeldRevision()
	w.Node.ObserveHead(revision)
	if revision < held {
		if w.loggedLowerHead.Swap(revision+1) != revision+1 {
			w.Log.Info("head-revision-lower", "head", revision, "held", held)
		}
		return
	}
	if revision > held {
		w.fetch(ctx, revision)
	}
}

// fetch reads the missing changes from the platform, or the whole folder when none is held, too many changes are missing, or they
// do not follow the held revision.
func (w *Watch) fetch(ctx context.Context, head uint64) {
	w.counters.fetches.Add(1)
	held := w.Node.HeldRevision()
	err := gossip.ErrGap
	if held > 0 && head <= held+maxChangesBehind {
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
	w.recordOutcome(err)
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
	w.recordOutcome(err)
	if err != nil {
		return err
	}
	return w.Node.AcceptSet(set)
}
