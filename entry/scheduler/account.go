package scheduler

import (
	"maps"
	"math"
	"time"
)

const (
	// servedDecay is the time constant with which the served requests of a workspace are
	// forgotten.
	servedDecay = 10 * time.Second
	// minOverShare is the number of recently served requests below which a workspace is
	// never over its share, and overShareRatio the multiple of the mean of the workspaces
	// from which it is.
	minOverShare   = 3.0
	overShareRatio = 2.0
	// minActive is the number of recently served requests from which a workspace counts in
	// the mean.
	minActive = 0.2
	// maxAccounts bounds the accounts of workspaces. Those not used for accountTime are
	// dropped beyond.
	maxAccounts = 256
	accountTime = time.Minute
)

// account is what a rank or a workspace got.
type account struct {
	// credit is the number of guaranteed requests.
	credit float64
	// served is the number of served requests, decayed with their age.
	served   float64
	servedAt time.Time
	usedAt   time.Time
}

// offer adds a request of which a share is guaranteed.
func (a *account) offer(guaranteed float64) { a.credit = min(maxCredit, a.credit+guaranteed) }

// promote takes a guaranteed request, and returns nil if there is none.
func (a *account) promote() *account {
	if a.credit < 1 {
		return nil
	}
	a.credit--
	return a
}

func (a *account) recentlyServed(now time.Time) float64 {
	return a.served * math.Exp(-float64(now.Sub(a.servedAt))/float64(servedDecay))
}

// accountOf returns the account of a rank or workspace. The first credit of one is drawn, so
// that a guaranteed share holds over all entries if each sees few of its requests.
func accountOf[K comparable](now time.Time, accounts map[K]*account, key K, draw func() float64) *account {
	a, ok := accounts[key]
	if !ok {
		if len(accounts) >= maxAccounts {
			maps.DeleteFunc(accounts, func(_ K, a *account) bool { return now.Sub(a.usedAt) > accountTime })
		}
		a = &account{credit: draw()}
		accounts[key] = a
	}
	a.usedAt = now
	return a
}

// isOverShare reports whether a workspace was served more often than others lately.
func (s *Scheduler) isOverShare(now time.Time, a *account) bool {
	own := a.recentlyServed(now)
	if own < minOverShare {
		return false
	}
	sum, active := 0.0, 0
	for _, o := range s.workspaces {
		if served := o.recentlyServed(now); served >= minActive {
			sum += served
			active++
		}
	}
	return own > overShareRatio*sum/float64(max(1, active))
}
