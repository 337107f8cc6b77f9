package platformemulator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// usageStep is a call, or what happens to the platform before the next one.
type usageStep struct {
	after  time.Duration
	sender int
	token  int
	window int
	count  int
	status int
	// faults are set before the call, if not nil.
	faults *UsageFaults
	// resumed is the sender that was resumed before the call, or zero.
	resumed int
}

func usageSender(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// TestUsageRules guards against calls that break a rule of the platform and are not noticed,
// and against calls that break none and are reported.
func TestUsageRules(t *testing.T) {
	const lease, thaw = 3 * time.Second, 300 * time.Millisecond
	ok, none := http.StatusOK, &UsageFaults{}
	for _, c := range []struct {
		name  string
		steps []usageStep
		want  string
	}{
		{"holders in turn", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 2, 6, 8, 3, ok, nil, 0}, {lease, 1, 7, 9, 3, ok, nil, 0}}, ""},
		{"repeated", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 2, 6, 7, 3, ok, nil, 0}}, ""},
		{"another count", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 1, 5, 7, 4, http.StatusConflict, nil, 0}}, "accepted before"},
		{"another count while slow", []usageStep{{0, 1, 5, 7, 3, ok, &UsageFaults{SlowBy: time.Second}, 0}, {0, 1, 5, 7, 4, http.StatusConflict, nil, 0}}, "accepted before"},
		{"the same token", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 2, 5, 8, 3, ok, nil, 0}}, "was used by"},
		{"a lower token", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 1, 4, 8, 3, ok, nil, 0}}, "lower"},
		{"back within the lease time", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease / 3, 2, 6, 8, 3, ok, nil, 0}, {lease / 3, 1, 7, 9, 3, ok, nil, 0}}, "in between"},
		{"a lower token, resumed", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 2, 4, 8, 3, ok, nil, 2}}, ""},
		{"a lower token, another one resumed", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 2, 4, 8, 3, ok, nil, 1}}, "lower"},
		{"a lower token after a fault", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 1, 5, 8, 3, 503, &UsageFaults{Status: 503}, 0}, {thaw / 2, 1, 4, 8, 3, ok, none, 0}}, ""},
		{"a lower token long after a fault", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {lease, 1, 5, 8, 3, 429, &UsageFaults{Status: 429}, 0}, {0, 1, 5, 8, 3, ok, none, 0}, {2 * thaw, 1, 4, 8, 3, ok, nil, 0}}, "lower"},
		{"another count after a lost response", []usageStep{{0, 1, 5, 7, 3, 0, &UsageFaults{LoseResponses: true}, 0}, {0, 1, 5, 7, 4, http.StatusConflict, none, 0}}, "accepted before"},
		{"too many calls", []usageStep{{0, 1, 5, 7, 3, ok, nil, 0}, {0, 1, 5, 8, 3, ok, nil, 0}, {0, 1, 5, 9, 3, 429, nil, 0}, {time.Second, 1, 5, 9, 4, ok, nil, 0}}, ""},
		{"no response while it is down", []usageStep{{0, 1, 5, 7, 3, 0, &UsageFaults{Down: true}, 0}, {0, 1, 5, 7, 4, ok, none, 0}}, ""},
		{"unreachable for one sender", []usageStep{{0, 1, 5, 7, 3, 0, &UsageFaults{Unreachable: []netip.Addr{usageSender(1)}}, 0}, {lease, 2, 6, 7, 4, ok, nil, 0}, {lease, 2, 5, 8, 4, ok, nil, 0}}, "lower"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := NewUsageAPI(UsageLimits{CallsPerSecond: 2, LeaseTime: lease, ThawTime: thaw})
				time.Sleep(time.Second)
				for _, s := range c.steps {
					time.Sleep(s.after)
					if s.faults != nil {
						a.SetFaults(*s.faults)
					}
					if s.resumed > 0 {
						a.Resumed(usageSender(s.resumed))
					}
					is.New(t).Equal(callUsage(t, a, s), s.status)
				}
				got := strings.Join(a.Violations(), "; ")
				if (c.want == "") != (got == "") || !strings.Contains(got, c.want) || strings.Contains(got, "; ") {
					t.Errorf("violations %q, want %q", got, c.want)
				}
			})
		})
	}
}

// callUsage sends a call that is given up after a second, and returns the status of the
// response, or zero if there is none.
func callUsage(t *testing.T, a *UsageAPI, s usageStep) (status int) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/usage", strings.NewReader(fmt.Sprintf(`{"window":%d,"counts":{"w":%d}}`, s.window, s.count)))
	r.RemoteAddr = netip.AddrPortFrom(usageSender(s.sender), 1024).String()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Lease-Holder", "the same name for all")
	r.Header.Set("X-Fencing-Token", fmt.Sprint(s.token))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r.WithContext(ctx))
	return w.Code
}
