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

	"samphiremux/pkg/fixturereader"
)

// usageStep is a call, or what happens to the platform before the next one.
type usageStep struct {
	After                                         time.Duration
	Sender, Token, Window, Count, Status, Resumed int
	Faults                                        *UsageFaults
}

func usageSender(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// TestUsageRules guards against calls that break a rule of the platform and are not noticed,
// and against calls that break none and are reported.
func TestUsageRules(t *testing.T) {
	const lease, thaw = 3 * time.Second, 300 * time.Millisecond
	type usageCase struct {
		Name, Want string
		Steps      []usageStep
	}
	for _, c := range fixturereader.Read[[]usageCase](t, "_fixtures/usage.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := NewUsageAPI(UsageLimits{CallsPerSecond: 2, LeaseTime: lease, ThawTime: thaw})
				time.Sleep(time.Second)
				for _, s := range c.Steps {
					time.Sleep(s.After)
					if s.Faults != nil {
						a.SetFaults(*s.Faults)
					}
					if s.Resumed > 0 {
						a.Resumed(usageSender(s.Resumed))
					}
					is.New(t).Equal(callUsage(t, a, s), s.Status)
				}
				got := strings.Join(a.Violations(), "; ")
				if (c.Want == "") != (got == "") || !strings.Contains(got, c.Want) || strings.Contains(got, "; ") {
					t.Errorf("violations %q, want %q", got, c.Want)
				}
			})
		})
	}
}

// callUsage sends a call that is given up after a second, and returns the status of the
// response, or zero if there is none.
func callUsage(t *testing.T, a *UsageAPI, s usageStep) (status int) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/usage", strings.NewReader(fmt.Sprintf(`{"window":%d,"counts":{"w":%d}}`, s.Window, s.Count)))
	r.RemoteAddr = netip.AddrPortFrom(usageSender(s.Sender), 1024).String()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Lease-Holder", "the same name for all")
	r.Header.Set("X-Fencing-Token", fmt.Sprint(s.Token))
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
