package soaker

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/fixturereader"
	"samphiremux/platform/translator"
)

const (
	// steadyKey is in every configuration.
	steadyKey = "soak-steady"
	// workspaceHeader carries the workspace of the caller's key to a server.
	workspaceHeader = "Expected-Workspace"
	// keyTime is the time from the acceptance of a configuration by the store until its keys
	// have taken effect at every entry.
	keyTime = 2500 * time.Millisecond
	// regainTime is the time from the end of an outage of the store until entries know what
	// was written during it.
	regainTime = 3 * time.Second
)

// keyLife is when a key was valid. The times are zero if it has not come to that.
type keyLife struct {
	workspace string
	// added and revoked are when the store had accepted the change, and retired is when the
	// writing of the revocation began.
	added, retired, revoked time.Time
}

// keyring holds the API keys of a fleet. Each version of the configuration replaces one.
type keyring struct {
	mu      sync.Mutex
	lives   map[string]keyLife
	former  []string
	newest  string
	outages []outage
}

// outage is a time without the store. Its end is zero until it is over.
type outage struct{ begin, end time.Time }

func newKeyring() *keyring {
	return &keyring{lives: map[string]keyLife{steadyKey: {workspace: "steady"}}}
}

// tenant is a workspace in the configuration.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
}

// rotate returns the workspaces of the next configuration, in which a key replaces the
// newest one. Accepted is to be called when the store has accepted it.
func (k *keyring) rotate(next string, plant string) (tenants []tenant, accepted func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.newest
	if life, ok := k.lives[old]; ok {
		life.retired = time.Now()
		k.lives[old] = life
		k.former = append(k.former, old)
	}
	k.newest = next
	keys := []string{next}
	if plant == "keep-key" {
		keys = append(keys, k.former...)
	}
	return []tenant{{"steady", []string{steadyKey}}, {"rotating", keys}}, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		now := time.Now()
		k.lives[next] = keyLife{workspace: "rotating", added: now}
		if life, ok := k.lives[old]; ok {
			life.revoked = now
			k.lives[old] = life
		}
	}
}

// draw returns a key with its workspace: mostly a valid one, else a revoked or an unknown
// one, or none.
func (k *keyring) draw(r *rand.Rand) (key, workspace string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch n := r.IntN(20); {
	case n < 12:
		key = steadyKey
	case n < 16:
		key = k.newest
	case n < 18 && len(k.former) > 0:
		key = k.former[r.IntN(len(k.former))]
	case n < 19:
		key = "soak-unknown"
	}
	if key == "" {
		return "", ""
	}
	if life, ok := k.lives[key]; ok {
		return key, life.workspace
	}
	return key, "rotating"
}

func (k *keyring) beginOutage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outages = append(k.outages, outage{begin: time.Now()})
}

func (k *keyring) endOutage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Outages may overlap; the store is back with the end of the first.
	for i := range k.outages {
		if k.outages[i].end.IsZero() {
			k.outages[i].end = time.Now()
		}
	}
}

// inForce returns when a change that the store accepted has taken effect at every entry.
func (k *keyring) inForce(accepted time.Time) time.Time {
	deadline := accepted.Add(keyTime)
	for _, o := range k.outages {
		if o.begin.Before(deadline) && (o.end.IsZero() || o.end.After(accepted)) {
			if o.end.IsZero() {
				return accepted.Add(time.Hour)
			}
			deadline = later(deadline, o.end.Add(regainTime))
		}
	}
	return deadline
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayRefuse reports whether an entry may have held the key of a request for unknown.
func (k *keyring) mayRefuse(r record) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	life, ok := k.lives[r.key]
	return !ok || (!life.retired.IsZero() && r.ended.After(life.retired)) ||
		(!life.added.IsZero() && r.began.Before(k.inForce(life.added)))
}

// keyFault returns the rule that a request broke which ran without a valid key, or nothing.
func (c *checks) keyFault(r record, runs []*run) (rule, text string) {
	if c.keys == nil || len(runs) == 0 {
		return "", ""
	}
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	life, ok := c.keys.lives[r.key]
	if !ok {
		return "KEY", "it ran without a key that any configuration contains"
	}
	if life.revoked.IsZero() {
		return "", ""
	}
	bound := c.keys.inForce(life.revoked)
	for _, e := range runs {
		if late := e.began.Sub(bound); late > c.lags.during(life.revoked, e.began) {
			return "KEY", "its key was revoked " + e.began.Sub(life.revoked).String() + " before it ran"
		}
	}
	return "", ""
}

// endsByKey reports whether a request may have been refused before a retry, since its key was
// revoked, after an attempt that may have run.
func (c *checks) endsByKey(r record) bool {
	return r.status == http.StatusBadGateway && c.keys.mayRefuse(r)
}

// checkIdentity checks what a server learns of the caller.
func (l *runLog) checkIdentity(r *http.Request, server string) {
	id := r.Header.Get(translator.HeaderRequestID)
	if len(r.Header.Values(translator.HeaderKey)) > 0 {
		l.report("KEY", "request %s reached %s with its key", id, server)
	}
	if got, want := r.Header.Values(translator.HeaderWorkspace), r.Header.Get(workspaceHeader); !slices.Equal(got, []string{want}) {
		l.report("KEY", "request %s of workspace %q reached %s as of %q", id, want, server, got)
	}
}

// TestFaultsOfKeys feeds the checks of keys with what callers and servers saw.
func TestFaultsOfKeys(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ring := newKeyring()
	ring.lives["old"] = keyLife{workspace: "rotating", added: at(0), retired: at(10_000), revoked: at(10_001)}
	ring.lives["outage"] = keyLife{workspace: "rotating", added: at(0), retired: at(20_000), revoked: at(20_001)}
	ring.outages = []outage{{at(21_000), at(23_000)}}
	type request struct {
		Name, Key, Rule    string
		Status, Began, Ran int
	}
	for _, c := range fixturereader.Read[[]request](t, "_fixtures/keys.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var runs []*run
			r := record{
				id: "1", method: http.MethodGet, key: c.Key, status: c.Status, began: at(c.Began), sent: at(c.Began), ended: at(c.Began + 700),
				deadline: at(c.Began + 5000), process: &process{started: start, exited: at(100_000)},
			}
			if c.Ran > 0 {
				runs = []*run{{server: "s", signature: signatureOf("1", "s"), began: at(c.Ran)}}
				r.signature, r.bodySum = signatureOf("1", "s"), sumOf(bodyOf("1", "s", 0))
			}
			rule, _ := (&checks{lags: &lagMeter{}, keys: ring}).fault(r, runs)
			is.Equal(rule, c.Rule)
		})
	}
}
