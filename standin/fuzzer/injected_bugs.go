package fuzzer

import (
	"context"
	"net"
	"net/http"
	"time"

	"samphiremux/pkg/parser"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

var noFaults platformemulator.Faults

// InjectedBugs returns the names of the bugs that can be injected, each with the
// invariant under which the oracle must find it.
func InjectedBugs() map[string]string {
	return map[string]string{
		"probe-often":    invProbes,
		"fall-early":     invCold,
		"wrong-domain":   invNoNewWork,
		"ignore-verdict": invVersion,
		"no-echo":        invAnswer,
		"shed-after-run": invNotRun,
		"run-twice":      invOnce,
		"stop-cuts":      invGraceful,
		"forget-all":     invConfig,
		"hide-crash":     invPoison,
		"never-heal":     invService,
		"retry-storm":    invRetries,
		"hide-limit":     invRateLimit,
		"hide-drain":     invNoNewWork,
		"hide-pause":     invPause,
		"forget-writes":  invConfig,
		"cut-peers":      invServerCut,
	}
}

// injectBug changes the document and the cluster's options for the script's bug. Bugs
// are injected into the emulated servers, the document and the script's verbs, so that
// the entries' code needs no switch for them.
func (r *run) injectBug(doc parser.Document, o simulator.Options) (parser.Document, simulator.Options) {
	switch r.script.InjectedBug {
	case "probe-often":
		for _, s := range doc.Services {
			s.ProbeBudget = 0.3
			doc = doc.WithService(s)
		}
	case "fall-early":
		o.WarmUp = time.Hour
		o.ColdOverloadTimeout = time.Nanosecond
		o.ColdCapacityDelta = -10
	case "no-echo":
		for _, s := range doc.Services {
			s.EchoesRequestID = false
			doc = doc.WithService(s)
		}
		o.SwapWithMatchingID = true
	case "hide-crash":
		o.KeepListenersOpen = true
	case "hide-limit":
		o.HideRateLimits = true
	case "hide-drain":
		o.HideDraining = true
	case "hide-pause":
		o.HidePauses = true
	case "ignore-verdict":
		o.Fault = func(srv parser.Server) func(*http.Request, float64) responder.Fault {
			return func(*http.Request, float64) responder.Fault {
				return responder.Fault{Fail: srv.Version == "v2"}
			}
		}
	case "shed-after-run", "run-twice", "retry-storm", "never-heal":
		o.Fault = func(parser.Server) func(*http.Request, float64) responder.Fault {
			return func(req *http.Request, _ float64) (m responder.Fault) {
				m.ShedAfterRun = r.script.InjectedBug == "shed-after-run"
				m.RunTwice = r.script.InjectedBug == "run-twice" || r.script.InjectedBug == "retry-storm"
				m.Fail = r.script.InjectedBug == "never-heal" && r.sinceStart() > r.script.Length
				return m
			}
		}
	}
	return doc, o
}

// sendBypassRequests implements the bugs that send requests to a backend server
// directly, bypassing the entries: calls to a server of the new version, or health
// probes. It returns at once for other bugs.
func (r *run) sendBypassRequests(ctx context.Context) {
	target, path := "", ""
	switch r.script.InjectedBug {
	case "ignore-verdict":
		target, path = "catalogue-new-1", "/catalogue/rogue"
	case "probe-often":
		target, path = "catalogue-1", "/healthz"
	default:
		return
	}
	address := r.cluster.Servers[target].Declared.Address
	client := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return r.net.Dial(ctx, r.cluster.Entries[0].Address, address)
	}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(bypassInterval)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
		if err != nil {
			return
		}
		if resp, err := client.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}

// bypassInterval is the time between two requests that bypass the entries.
const bypassInterval = 50 * time.Millisecond
