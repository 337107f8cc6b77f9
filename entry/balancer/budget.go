package balancer

import (
	"time"

	"samphiremux/entry/throttler"
)

func (s *Balancer) budget(service string) *throttler.RetryBudget {
	b, ok := s.budgets[service]
	if !ok {
		b = throttler.NewRetryBudget(time.Now(), s.o.RetryLimits().Window)
		s.budgets[service] = b
	}
	return b
}

func (s *Balancer) earn(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Deposit(time.Now())
}

func (s *Balancer) spend(service string) bool {
	r := s.o.RetryLimits()
	limit := throttler.RetryLimit{Ratio: r.Ratio, Slack: r.Slack, Entries: s.o.EntryCount()}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).TryWithdraw(time.Now(), limit)
}
