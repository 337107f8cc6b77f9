package balancer

import (
	"time"

	"samphiremux/entry/throttler"
)

func (b *Balancer) budgetOf(service string) *throttler.RetryBudget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = throttler.NewRetryBudget(time.Now(), b.opts.RetryLimits().Window)
		b.budgets[service] = budget
	}
	return budget
}

func (b *Balancer) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Deposit(time.Now())
}

func (b *Balancer) tryWithdraw(service string) bool {
	limits := b.opts.RetryLimits()
	limit := throttler.RetryLimit{Ratio: limits.Ratio, Slack: limits.Slack, Entries: b.opts.EntryCount()}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).TryWithdraw(time.Now(), limit)
}
