// Package owner decides how many permits a daemon grants for the requests of organisations with a cap. The time is passed in.
//
// It addresses this load: an organisation that sends many times its cap through all daemons while the daemon that grants changes, and one
// below its cap whose traffic moves between daemons.
package owner

import (
	"math"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/quota/bucket"
)

const (
	// CautionTime is how long an owner without history grants only a part of the rate. Within it, the news of a member that started
	// reach all routers, and the previous owner notices that it is cut off or that it is no longer the preferred one.
	CautionTime = 1500 * time.Millisecond
	// DefaultCaution is the part of the rate that is granted during CautionTime.
	DefaultCaution = 0.3
	// startSlack is the part of the slack with which a bucket starts, so that the first requests of a small cap are not refused.
	startSlack = 0.4
	// partSlack is the part of the slack that is added to the burst of an owner that reaches only a part of the fleet. The part of a
	// small burst would be a single request.
	partSlack = 0.2
	// fullShare is the share of the fleet from which an owner grants the whole rate: a few daemons are always paused or stopped.
	fullShare = 0.9
	// spread is the time over which the asks that were denied within it return. Without it, all routers of an organisation above its cap
	// ask for each permit.
	spread = 100 * time.Millisecond
	// maxSpread limits that time to a part of the time in which the bucket fills, so that no permit is lost.
	maxSpread = 0.3
	// denialTime is the time constant of the average rate of denied asks.
	denialTime = 500 * time.Millisecond
	// shareMargin is for the error of the estimated share, and for what is granted before a cut is noticed.
	shareMargin = 0.9
	// MaxGap is the time between two ticks above which the process was paused. Other daemons replace an owner that does not reply.
	MaxGap = 500 * time.Millisecond
	// maxIdle is the time without an ask after which another daemon may have granted in between.
	maxIdle = 2 * time.Second
	// keptShare is the reached share of the fleet below which the tokens are kept nevertheless.
	keptShare = 0.5
	// retention is how long the bucket of an organisation without requests is kept.
	retention = 30 * time.Second
)

// Cap is the limit of an organisation in a revision of the configuration.
type Cap struct {
	Revision uint64
	Rate     float64
	Burst    int
}

// Standing is this daemon's position among the daemons that can grant permits for an organisation.
type Standing struct {
	First bool      // it is the first in the ranking
	Since time.Time // since when First is certain to have been known to the other daemons
	Alone bool      // all daemons that are ranked higher are known not to run
	Share float64   // of the known members that it reaches, itself included; 0 to 1
}

// Ask is a request for permits.
type Ask struct {
	Organisation string
	Cap          Cap // as the router knows it
	Wanted       int
	Returned     int // permits of this owner that were not used
}

// Grant is the decision on an Ask.
type Grant struct {
	Granted int
	Next    time.Duration // until the next permit is available; 0 when all that were wanted are granted
	Started bool          // the bucket started without history
}

// Owner holds the buckets of the organisations for which this daemon grants permits. Its exported fields must be set before use.
type Owner struct {
	Slack   int     // requests by which a cap may be exceeded within a window
	Caution float64 // part of the rate that is granted during CautionTime; DefaultCaution when 0

	mu       sync.Mutex
	ticked   time.Time // latest tick; zero before the first
	accounts map[string]*account
	granted  uint64
	denied   uint64
	resumed  uint64
}

type account struct {
	cap           Cap
	bucket        bucket.Bucket
	cautiousUntil time.Time
	substitute    bool      // cautious only because a daemon that is ranked higher may still grant
	used          time.Time // latest ask
	yielded       bool      // another daemon grants the permits
	denials       float64   // denied asks per second, moving average
	deniedAt      time.Time
}

// deny returns the time after which the next ask of the same router will probably be granted.
func (a *account) deny(now time.Time) time.Duration {
	if elapsed := now.Sub(a.deniedAt); elapsed > 0 {
		a.denials *= math.Exp(-elapsed.Seconds() / denialTime.Seconds())
		a.deniedAt = now
	}
	a.denials += 1 / denialTime.Seconds()
	seconds := a.denials * spread.Seconds() / a.cap.Rate
	seconds = min(seconds, maxSpread*float64(a.cap.Burst)/a.cap.Rate)
	return max(a.bucket.Next(now), time.Duration(seconds*float64(time.Second)))
}

// Grant decides on an ask.
func (o *Owner) Grant(now time.Time, ask Ask, standing Standing) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkGap(now)
	a, started := o.account(now, ask, standing)
	if ask.Cap.Revision > a.cap.Revision {
		a.cap = ask.Cap
	}
	o.configure(now, a, standing.Share)
	if !started {
		a.bucket.Return(now, ask.Returned) // a new account has not granted them
	}
	decided := Grant{Granted: a.bucket.Take(now, ask.Wanted), Started: started}
	o.granted += uint64(decided.Granted)
	if decided.Granted < ask.Wanted {
		decided.Next = a.deny(now)
		o.denied++
	}
	return decided
}

func (o *Owner) caution() float64 {
	if o.Caution == 0 {
		return DefaultCaution
	}
	return o.Caution
}

// account returns the account of an organisation, and whether it has no history: other daemons may have granted its permits recently.
func (o *Owner) account(now time.Time, ask Ask, standing Standing) (*account, bool) {
	a := o.accounts[ask.Organisation]
	if a == nil {
		a = &account{cap: ask.Cap, used: now}
		o.configure(now, a, standing.Share)
		tokens, cautiousUntil := o.begin(now, a.cap, standing)
		a.bucket.Fill(now, tokens)
		a.cautiousUntil, a.substitute = cautiousUntil, !standing.First
		if o.accounts == nil {
			o.accounts = make(map[string]*account)
		}
		o.accounts[ask.Organisation] = a
		return a, now.Before(cautiousUntil) || standing.Alone
	}
	if standing.Alone && a.substitute {
		a.cautiousUntil = now
	}
	idle, lost := now.Sub(a.used) > maxIdle, !standing.First || standing.Since.After(a.used)
	a.used = now
	// A daemon that is cut off with few others keeps its tokens, because they are only its part of the cap.
	forgotten := idle && lost && standing.Share >= keptShare
	if !a.yielded && !forgotten {
		return a, false
	}
	tokens, cautiousUntil := o.begin(now, a.cap, standing)
	if a.yielded {
		tokens = 0 // the requests that start a bucket have been granted before
	}
	a.yielded = false
	a.bucket.Fill(now, min(tokens, a.bucket.Tokens(now)))
	a.cautiousUntil, a.substitute = cautiousUntil, !standing.First
	return a, true
}

// begin returns the tokens of a bucket without history, and the end of its cautious time.
func (o *Owner) begin(now time.Time, limit Cap, standing Standing) (tokens float64, cautiousUntil time.Time) {
	tokens = float64(o.Slack) * startSlack * standing.Share
	age := now.Sub(standing.Since)
	switch {
	case standing.First && age >= CautionTime:
		// Nobody has granted permits for the organisation in this time, because this daemon would have been asked first.
		return tokens + limit.Rate*(age-CautionTime).Seconds(), now
	case standing.Alone:
		return tokens, now // the predecessor grants nothing any more, so an empty bucket suffices
	default:
		return tokens, now.Add(CautionTime)
	}
}

func (o *Owner) configure(now time.Time, a *account, share float64) {
	part := Part(share)
	capacity := float64(a.cap.Burst) * part
	if part < 1 {
		capacity += float64(o.Slack) * partSlack * share
	}
	if now.Before(a.cautiousUntil) {
		part = min(part, o.caution())
	}
	a.bucket.Set(now, a.cap.Rate*part, capacity)
}

// Part returns the part of a cap that an owner grants that reaches this share of the members.
func Part(share float64) float64 {
	if share >= fullShare {
		return 1
	}
	return share * shareMargin
}

// Granting reports whether this daemon has granted permits for the organisation until now, so that it needs no new start.
func (o *Owner) Granting(now time.Time, organisation string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.accounts[organisation]
	return a != nil && !a.yielded && now.Sub(a.used) <= maxIdle
}

// Yield records that another daemon grants the permits of an organisation.
func (o *Owner) Yield(organisation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.accounts[organisation]; a != nil {
		a.yielded = true
	}
}

// SetCap applies the cap of a revision that is newer than that of the account.
func (o *Owner) SetCap(organisation string, next Cap) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.accounts[organisation]; a != nil && next.Revision > a.cap.Revision {
		a.cap = next
	}
}

// Tick must be called several times per MaxGap. It detects that the process was paused, which it reports, and evicts unused accounts.
func (o *Owner) Tick(now time.Time) (resumed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	resumed = o.checkGap(now)
	o.ticked = now
	for name, a := range o.accounts {
		if now.Sub(a.used) > retention {
			delete(o.accounts, name)
		}
	}
	return resumed
}

// checkGap empties all buckets if the process was paused: another daemon has granted permits in the meantime.
func (o *Owner) checkGap(now time.Time) bool {
	if o.ticked.IsZero() || now.Sub(o.ticked) <= MaxGap {
		return false
	}
	o.ticked = now
	o.resumed++
	for _, a := range o.accounts {
		a.bucket.Fill(now, 0)
		a.cautiousUntil, a.substitute = now.Add(CautionTime), false
	}
	return true
}

// Dump is the state of an Owner.
type Dump struct {
	Organisations int // with an account
	Granted       uint64
	Denied        uint64 // asks that were not granted in full
	Resumed       uint64 // pauses of the process that emptied the buckets
	Accounts      []AccountDump
}

// AccountDump is the state of the account of an organisation.
type AccountDump struct {
	Organisation string
	Cap          Cap
	Tokens       float64
	Cautious     bool
}

// Counts returns the dump without the accounts.
func (o *Owner) Counts() Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Dump{Organisations: len(o.accounts), Granted: o.granted, Denied: o.denied, Resumed: o.resumed}
}

// maxDumped limits the accounts in a dump.
const maxDumped = 100

// Dump returns the state for the state dump.
func (o *Owner) Dump(now time.Time) Dump {
	dump := o.Counts()
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, a := range o.accounts {
		if len(dump.Accounts) == maxDumped {
			break
		}
		dump.Accounts = append(dump.Accounts, AccountDump{
			Organisation: name, Cap: a.cap, Tokens: a.bucket.Tokens(now), Cautious: now.Before(a.cautiousUntil),
		})
	}
	return dump
}
