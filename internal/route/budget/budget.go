// Package budget bounds the additional attempts of a router per service to a share of its requests.
package budget

import (
	"sort"
	"sync"
	"sync/atomic"
)

const (
	unit = 1_000_000 // one additional attempt; shares are counted in millionths of it
	// maxTokens bounds the burst after a long time without failures. A larger burst would be felt as load by servers that
	// begin to fail together.
	maxTokens = 50
	// hedgeReserve is the number of additional attempts that hedges leave to retries. A failure comes unannounced, and a retry
	// that is denied is a request that fails.
	hedgeReserve = 5
	// advance is granted with the first request and paid back out of the shares of the next ones: a router that has just
	// started meets failures as every other, and its first requests have earned too few attempts for them.
	advance = hedgeReserve * unit
)

// Budgets holds the budgets of all services. The zero value is ready for use.
type Budgets struct {
	services sync.Map // service name to *Service
}

// Service is the budget of one service. Beyond the advance, additional attempts never exceed their share of the requests counted
// so far.
type Service struct {
	attempts bucket       // additional attempts of any kind: at most RetryShare per request
	hedges   bucket       // the part of them that hedges may use: at most HedgeShare per request
	advanced atomic.Bool  // the advance has been granted
	owed     atomic.Int64 // part of the advance that is not paid back; 0 to advance

	requests atomic.Uint64
	retried  atomic.Uint64
	hedged   atomic.Uint64
	denied   atomic.Uint64
}

// Service returns the budget of a service.
func (b *Budgets) Service(name string) *Service {
	if found, ok := b.services.Load(name); ok {
		return found.(*Service)
	}
	found, _ := b.services.LoadOrStore(name, &Service{})
	return found.(*Service)
}

// RecordRequest counts a request and credits its shares.
func (s *Service) RecordRequest(retryShare, hedgeShare float64) {
	s.requests.Add(1)
	if retryShare > 0 && s.advanced.CompareAndSwap(false, true) {
		s.owed.Store(advance)
		s.attempts.credit(advance)
	}
	s.attempts.credit(s.repay(int64(retryShare * unit)))
	s.hedges.credit(int64(hedgeShare * unit))
}

// repay pays back the advance out of a request's share and returns what is left of the share.
func (s *Service) repay(share int64) int64 {
	for {
		owed := s.owed.Load()
		paid := min(owed, share)
		if paid == 0 || s.owed.CompareAndSwap(owed, owed-paid) {
			return share - paid
		}
	}
}

// TakeRetry takes one additional attempt from the budget. It reports false when the budget is spent.
func (s *Service) TakeRetry() bool {
	if !s.attempts.take() {
		s.denied.Add(1)
		return false
	}
	s.retried.Add(1)
	return true
}

// TakeHedge takes one hedge from the budget. A hedge also counts as an additional attempt, so that retries and hedges
// together stay within the retry share.
func (s *Service) TakeHedge() bool {
	if !s.hedges.take() {
		s.denied.Add(1)
		return false
	}
	if !s.attempts.takeAbove(hedgeReserve) {
		s.hedges.credit(unit)
		s.denied.Add(1)
		return false
	}
	s.hedged.Add(1)
	return true
}

// bucket counts tokens in millionths, without a lock because every call of a service meets here.
type bucket struct {
	tokens atomic.Int64 // 0 to maxTokens*unit
}

func (b *bucket) credit(amount int64) {
	for {
		old := b.tokens.Load()
		next := min(old+amount, maxTokens*unit)
		if old == next || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *bucket) take() bool {
	return b.takeAbove(0)
}

// takeAbove takes a token when so many are left after it.
func (b *bucket) takeAbove(reserve int64) bool {
	for {
		old := b.tokens.Load()
		if old < (reserve+1)*unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Dump is the state of all budgets, sorted by service.
type Dump struct {
	Services []ServiceDump
}

// ServiceDump is the state of one service's budget.
type ServiceDump struct {
	Service  string
	Requests uint64
	Retries  uint64
	Hedges   uint64
	Denied   uint64  // retries and hedges that the budget prevented
	Attempts float64 // additional attempts available now
	Hedging  float64 // hedges available now
}

// Dump returns the state for the state dump.
func (b *Budgets) Dump() any {
	var dump Dump
	b.services.Range(func(name, value any) bool {
		s := value.(*Service)
		dump.Services = append(dump.Services, ServiceDump{
			Service:  name.(string),
			Requests: s.requests.Load(),
			Retries:  s.retried.Load(),
			Hedges:   s.hedged.Load(),
			Denied:   s.denied.Load(),
			Attempts: float64(s.attempts.tokens.Load()) / unit,
			Hedging:  float64(s.hedges.tokens.Load()) / unit,
		})
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}
