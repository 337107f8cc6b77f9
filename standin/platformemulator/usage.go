package platformemulator

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"samphiremux/platform/cloudadapter"
)

// UsageLimits are the bounds that the platform states.
type UsageLimits struct {
	// CallsPerSecond is the number of calls that are accepted in a second. Further ones get
	// 429 Too Many Requests.
	CallsPerSecond int
	// LeaseTime is the time within which a holder must not act again after another one.
	LeaseTime time.Duration
	// ThawTime is the time for which calls do not count for the rules of holders after their
	// sender was resumed or its link restored, and after a fault of the platform.
	ThawTime time.Duration
}

// UsageFaults are the faults that a UsageAPI injects.
type UsageFaults struct {
	// SlowBy delays each call. It takes effect even if its sender has given up by then.
	SlowBy time.Duration
	// Down reads calls and never responds.
	Down bool
	// Unreachable holds the senders whose calls are read and have no effect or response.
	Unreachable []netip.Addr
	// LoseResponses accepts reports and closes the connections without a response.
	LoseResponses bool
	// Status is the status of a response that refuses each call, or zero.
	Status int
}

// affects reports whether the platform has a fault for a sender.
func (f UsageFaults) affects(sender netip.Addr) bool {
	return f.SlowBy > 0 || f.Down || f.LoseResponses || f.Status != 0 || slices.Contains(f.Unreachable, sender)
}

// UsageReport is the accepted report of a window.
type UsageReport struct {
	Counts map[string]int64
	// Accepted is the time of the first call that was accepted.
	Accepted time.Time
}

// usageCall is a call that counts for the rules of holders.
type usageCall struct {
	at     time.Time
	sender netip.Addr
	token  int64
}

// UsageAPI emulates the usage reports of the platform's cloud API, and checks the calls. A
// holder is identified by the address that its connection comes from.
type UsageAPI struct {
	limits UsageLimits

	mu     sync.Mutex
	faults UsageFaults
	// faultEnd is when the last fault of the platform ended, and exempt the time until which
	// the calls of a sender do not count for the rules of holders.
	faultEnd time.Time
	exempt   map[netip.Addr]time.Time
	// recent holds the times of the calls of the last second.
	recent     []time.Time
	calls      []usageCall
	reports    map[int64]UsageReport
	lastSender netip.Addr
	violations []string
}

// NewUsageAPI returns an API without reports.
func NewUsageAPI(l UsageLimits) *UsageAPI {
	return &UsageAPI{limits: l, exempt: map[netip.Addr]time.Time{}, reports: map[int64]UsageReport{}}
}

// SetFaults replaces the injected faults.
func (a *UsageAPI) SetFaults(f UsageFaults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, sender := range a.faults.Unreachable {
		a.exempt[sender] = now.Add(a.limits.ThawTime)
	}
	earlier := a.faults
	earlier.Unreachable = nil
	if earlier.affects(netip.Addr{}) {
		a.faultEnd = now
	}
	a.faults = f
}

// Resumed tells that a sender was resumed after a suspension, or that its link was restored.
func (a *UsageAPI) Resumed(sender netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exempt[sender] = time.Now().Add(a.limits.ThawTime)
}

// Reports returns the accepted reports by window.
func (a *UsageAPI) Reports() map[int64]UsageReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.reports)
}

// LastSender returns the sender of the last report that was accepted.
func (a *UsageAPI) LastSender() netip.Addr {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSender
}

// Violations returns how calls broke the rules.
func (a *UsageAPI) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}

// ServeHTTP implements http.Handler.
func (a *UsageAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	sender := from.Addr().Unmap()
	a.mu.Lock()
	f := a.faults
	a.mu.Unlock()
	if f.Down || slices.Contains(f.Unreachable, sender) {
		// Only after the body has been read does the server cancel the request's
		// context when the connection closes.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	u, err := cloudadapter.DecodeUsage(r)
	if err != nil {
		a.mu.Lock()
		a.report("%s sent an invalid call: %v", sender, err)
		a.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := a.receive(time.Now(), sender, u.Token, f)
	if status == http.StatusOK {
		time.Sleep(f.SlowBy)
		status = a.accept(time.Now(), sender, u)
	}
	if status == http.StatusOK && f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// receive checks the sender and the token of a call. The call is refused if the status is not
// 200.
func (a *UsageAPI) receive(now time.Time, sender netip.Addr, token int64, f UsageFaults) (status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !f.affects(sender) && now.Sub(a.faultEnd) >= a.limits.ThawTime && !now.Before(a.exempt[sender]) {
		a.checkHolder(usageCall{now, sender, token})
	}
	a.recent = slices.DeleteFunc(a.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	switch {
	case f.Status != 0:
		return f.Status
	case len(a.recent) >= max(1, a.limits.CallsPerSecond):
		return http.StatusTooManyRequests
	}
	a.recent = append(a.recent, now)
	return http.StatusOK
}

// checkHolder compares a call with the earlier ones. The caller holds the lock.
func (a *UsageAPI) checkHolder(c usageCall) {
	var highest int64
	own, other := -1, -1
	for i, earlier := range a.calls {
		if earlier.token == c.token && earlier.sender != c.sender {
			a.report("token %d of %s was used by %s", c.token, c.sender, earlier.sender)
		}
		highest = max(highest, earlier.token)
		if earlier.sender == c.sender {
			own = i
		} else {
			other = i
		}
	}
	if c.token < highest {
		a.report("token %d of %s is lower than an earlier one, %d", c.token, c.sender, highest)
	}
	if own >= 0 && own < other && c.at.Sub(a.calls[own].at) < a.limits.LeaseTime {
		a.report("%s acted %s after its last call, and %s in between", c.sender, c.at.Sub(a.calls[own].at), a.calls[other].sender)
	}
	a.calls = append(a.calls, c)
}

// accept records a report unless another one of its window was accepted.
func (a *UsageAPI) accept(now time.Time, sender netip.Addr, u cloudadapter.Usage) (status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	earlier, ok := a.reports[u.Window]
	switch {
	case !ok:
		a.reports[u.Window] = UsageReport{Counts: u.Counts, Accepted: now}
	case !maps.Equal(earlier.Counts, u.Counts):
		a.report("%s reported window %d with %v, %v was accepted before", sender, u.Window, u.Counts, earlier.Counts)
		return http.StatusConflict
	}
	a.lastSender = sender
	return http.StatusOK
}

// report records a violation. The caller holds the lock.
func (a *UsageAPI) report(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}
