// Package budget limits retries and hedges, per service, to a share of the router's requests.
package budget

import (
	"sort"
	"sync"
	"sync/atomic"
)

const (
	tokenUnits = 1_000_000 // one token, which pays for one additional attempt, in the units of a bucket
	// maxTokens limits the burst of additional attempts after a long time without failures. A larger burst would noticeably
	// load servers that start to fail at the same time.
	maxTokens = 50
	// hedgeReserve is the number of tokens that hedges must leave for retries. Failures are not predictable, and a denied
	// retry is a failed request.
	hedgeReserve = 5
	// initialCredit is granted with the first request and repaid from the shares of the following ones. A router that has just
	// started sees as many failures as any other, but its first requests have not yet earned enough tokens for retries.
	initialCredit = hedgeReserve * tokenUnits
)

// Budgets holds the budgets of all services. The zero value is ready for use.
type Budgets struct {
	services sync.Map // service name to *Service
}

// Service is the budget of one service. Apart from the initial credit, additional attempts never exceed their share of the
// requests counted so far.
type Service struct {
	attempts      bucket       // tokens for retries and hedges together: RetryShare per request
	hedges        bucket       // tokens that hedges need as well: HedgeShare per request
	creditGranted atomic.Bool  // initialCredit has been granted
	debt          atomic.Int64 // part of initialCredit that is not repaid yet; 0 to initialCredit

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

// RecordRequest counts a request and credits its shares to the budget.
func (s *Service) RecordRequest(retryShare, hedgeShare float64) {
	s.requests.Add(1)
	if retryShare > 0 && s.creditGranted.CompareAndSwap(false, true) {
		s.debt.Store(initialCredit)
		s.attempts.credit(initialCredit)
	}
	s.attempts.credit(s.repay(int64(retryShare * tokenUnits)))
	s.hedges.credit(int64(hedgeShare * tokenUnits))
}

// repay repays the initial credit from a request's share and returns the rest of the share.
func (s *Service) repay(share int64) int64 {
	for {
		debt := s.debt.Load()
		paid := min(debt, share)
		if paid == 0 || s.debt.CompareAndSwap(debt, debt-paid) {
			return share - paid
		}
	}
}

// TakeRetry takes the token for a retry. It reports false when the budget is exhausted.
func (s *Service) TakeRetry() bool {
	if !s.attempts.take() {
		s.denied.Add(1)
		return false
	}
	s.retried.Add(1)
	return true
}

// HasRetry reports whether there is a token for a retry now.
func (s *Service) HasRetry() bool {
	return s.attempts.tokens.Load() >= tokenUnits
}

// TakeHedge takes the tokens for a hedge. It reports false when the budget is exhausted. A hedge also takes a token from the
// shared bucket, so that retries and hedges together stay within the retry share.
func (s *Service) TakeHedge() bool {
	if !s.hedges.take() {
		s.denied.Add(1)
		return false
	}
	if !s.attempts.takeAbove(hedgeReserve) {
		s.hedges.credit(tokenUnits)
		s.denied.Add(1)
		return false
	}
	s.hedged.Add(1)
	return true
}

// bucket is a token bucket that counts in millionths of a token. It is lock-free, because all requests of a service share it.
type bucket struct {
	tokens atomic.Int64 // 0 to maxTokens*tokenUnits
}

func (b *bucket) credit(amount int64) {
	for {
		old := b.tokens.Load()
		next := min(old+amount, maxTokens*tokenUnits)
		if old == next || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *bucket) take() bool {
	return b.takeAbove(0)
}

// takeAbove takes a token if at least reserve tokens remain afterwards.
func (b *bucket) takeAbove(reserve int64) bool {
	for {
		old := b.tokens.Load()
		if old < (reserve+1)*tokenUnits {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenUnits) {
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
	Denied   uint64  // retries and hedges denied for lack of tokens
	Attempts float64 // retries or hedges that the shared bucket allows now
	Hedging  float64 // hedges that their own bucket allows now
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
			Attempts: float64(s.attempts.tokens.Load()) / tokenUnits,
			Hedging:  float64(s.hedges.tokens.Load()) / tokenUnits,
		})
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}
