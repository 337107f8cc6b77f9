package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/platform/translator"
)

// plants holds the rule under which each planted fault must be found.
var plants = map[string]string{
	"run-twice":        "TWICE",
	"refuse-after-run": "REFUSED",
	"lose-response":    "LOST",
	"cut-body":         "MIXED",
	"drop-signature":   "MIXED",
	"stays-ready":      "DRAIN",
	"does-not-end":     "END",
	"ends-with-1":      "END",
	"ends-by-itself":   "END",
	"never-ready":      "READY",
	"keep-key":         "KEY",
	"other-workspace":  "KEY",
}

// TestChecksFindPlantedFaults guards against checks that miss what they are for.
func TestChecksFindPlantedFaults(t *testing.T) {
	for plant, rule := range plants {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			length := "1s"
			if plant == "keep-key" {
				length = "5s" // a revoked key is valid for keyTime
			}
			s, err := parseScript("entries 2\nlength " + length + "\ngrace 2s\nplant " + plant + "\nat 500ms configure\nat 1s term 1 50ms")
			if err != nil {
				t.Fatal(err)
			}
			o := runScript(t, s)
			for _, v := range o.violations {
				if v.rule == rule {
					return
				}
			}
			t.Errorf("not found under %s; found: %v", rule, o.violations)
		})
	}
}

// plantVariable names the planted fault to the processes of the fleet that have it: this
// test program itself, in place of an entry.
const plantVariable = "SOAK_PLANT"

// isProcessPlant reports whether the processes of the fleet have the planted fault.
func isProcessPlant(plant string) bool {
	switch plant {
	case "stays-ready", "does-not-end", "ends-with-1", "ends-by-itself", "never-ready":
		return true
	}
	return false
}

// runFaultyEntry runs in place of an entry, with a fault.
func runFaultyEntry(plant string) int {
	s, err := translator.ReadSettings(os.Getenv(translator.SettingsVariable))
	if err != nil {
		return 3
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		return 4
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if plant == "never-ready" || ctx.Err() != nil && plant != "stays-ready" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	if plant == "ends-by-itself" {
		return 0
	}
	<-ctx.Done()
	switch plant {
	case "ends-with-1":
		return 1
	case "does-not-end":
		time.Sleep(time.Minute)
	case "stays-ready":
		time.Sleep(s.Bounds.GracePeriod - 200*time.Millisecond)
	}
	return 0
}

// TestFaultsOfRequests feeds the checks with what a caller saw.
func TestFaultsOfRequests(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	begun := []*run{{server: "s", signature: signatureOf("1", "s"), began: at(1)}}
	answered := record{status: http.StatusOK, signature: signatureOf("1", "s"), bodySum: sumOf(bodyOf("1", "s", 0)), ended: at(10)}
	for i, c := range []struct {
		r              record
		runs           []*run
		termed, killed int
		rule           string
	}{
		{r: answered, runs: begun},
		{r: answered, rule: "MIXED"},
		{r: record{status: 200, err: errors.New("another id"), ended: at(10)}, runs: begun, rule: "MIXED"},
		{r: record{status: 404, ended: at(10)}, rule: "DENIED"},
		{r: record{status: 503, ended: at(10)}},
		{r: record{status: 503, ended: at(10)}, runs: begun, rule: "REFUSED"},
		{r: record{status: 429, ended: at(10), method: http.MethodPost}, runs: begun, rule: "REFUSED"},
		{r: record{status: 502, ended: at(10)}, runs: begun, rule: "LOST"},
		{r: record{err: io.EOF, ended: at(10)}, runs: begun, rule: "LOST"},
		{r: record{err: io.EOF, ended: at(10)}, runs: begun, killed: 5},
		{r: record{err: io.EOF, ended: at(10)}, runs: begun, killed: 20, rule: "LOST"},
		{r: record{err: io.EOF, ended: at(3000), work: 4 * time.Second}, runs: begun, termed: 1},
		{r: record{err: io.EOF, ended: at(3000), work: time.Second}, runs: begun, termed: 1, rule: "LOST"},
		{r: record{err: io.EOF, ended: at(10)}},
		{r: record{err: io.EOF, ended: at(400)}, rule: "LOST"},
		{r: record{err: syscall.ECONNRESET, ended: at(400)}},
		{r: record{err: os.ErrDeadlineExceeded, ended: at(7000)}, rule: "CONFIG"},
		{r: answered, runs: append(begun, begun...)},
		{r: record{method: http.MethodPost, status: 504, ended: at(10)}, runs: append(begun, begun...), rule: "TWICE"},
	} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			is := is.New(t)
			p := &process{started: start, shortGrace: 3 * time.Second, grace: 3 * time.Second, exited: at(10_000)}
			if c.termed > 0 {
				p.termed = at(c.termed)
			}
			if c.killed > 0 {
				p.killed = at(c.killed)
			}
			c.r.id, c.r.process, c.r.began, c.r.sent, c.r.deadline = "1", p, at(0), at(0), at(5000)
			rule, _ := (&checks{lags: &lagMeter{}}).fault(c.r, c.runs)
			is.Equal(rule, c.rule)
		})
	}
}
