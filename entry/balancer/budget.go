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

// tryWithdraw takes a retry or a hedge of a request from the retry budget of its service.
func (b *Balancer) tryWithdraw(c *call) bool {
	limits := b.opts.RetryLimits()
	limit := throttler.RetryLimit{Ratio: limits.Ratio, Slack: limits.Slack, Entries: b.opts.EntryCount(), Class: c.retryClass()}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(c.service).TryWithdraw(time.Now(), limit)
}

// retryClass returns the class of the request in the retry budget: of its standing, or the
// first if the requests of the service do not differ in urgency.
func (c *call) retryClass() int {
	if c.turn == nil {
		return 0
	}
	return c.turn.ticket.RetryClass(throttler.RetryClasses)
}
