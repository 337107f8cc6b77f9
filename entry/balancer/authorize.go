package balancer

import (
	"net/http"
	"slices"

	"samphiremux/entry/refuser"
	"samphiremux/pkg/describer"
)

// identity is what a request says of its caller, and what the configuration says of that.
type identity struct {
	// key is the caller's API key. It is valid if hasKey is set.
	key    string
	hasKey bool
	// keyLines and workspaceLines are the header lines that the caller sent, for entries and
	// for servers of a configuration without workspaces.
	keyLines       []string
	workspaceLines []string
	// guarded is set once a configuration with workspaces applied to the request. From then
	// on no server gets the caller's lines.
	guarded bool
	// workspace is the zero value for a request without a valid API key.
	workspace describer.Workspace
}

// identify reads the identity of a request, and refuses one that a table does not allow.
func (b *Balancer) identify(r *http.Request, table *describer.RouteTable, route describer.Route) (id identity, refusal *refuser.Refusal) {
	id.keyLines = slices.Clone(r.Header.Values(b.opts.Headers.Key))
	id.key, id.hasKey = b.opts.Headers.ReadKey(r.Header)
	return id, b.authorize(&id, table, route)
}

// authorize looks the API key up and sets the workspace. It returns a refusal if the table
// does not allow the request.
func (b *Balancer) authorize(id *identity, table *describer.RouteTable, route describer.Route) *refuser.Refusal {
	id.workspace = describer.Workspace{}
	if !table.HasWorkspaces() {
		return nil
	}
	id.guarded = true
	known := false
	if id.hasKey {
		id.workspace, known = table.Authorize(id.key)
	}
	if !known && !route.Public {
		return b.notAllowed(refuser.UnknownKey)
	}
	return nil
}

// reauthorize looks the API key of a call up again in the current configuration, before an
// attempt. The key may have been revoked while the request waited or was tried.
func (b *Balancer) reauthorize(c *call, state *attempts) *refuser.Refusal {
	refusal := b.authorize(&c.identity, b.opts.Snapshot().Table, c.route)
	if refusal == nil {
		return nil
	}
	return state.refusal(refusal.Reason)
}

// mayHedge reports whether a second attempt may have the identity of the first one, which
// still runs.
func (b *Balancer) mayHedge(c *call) bool {
	id := c.identity
	refusal := b.authorize(&id, b.opts.Snapshot().Table, c.route)
	return refusal == nil && id.guarded == c.guarded && id.workspace == c.workspace
}

// takeIdentity returns the end-to-end headers of a request without those that identify the
// caller.
func (b *Balancer) takeIdentity(id *identity, h http.Header) http.Header {
	result := endToEndHeader(h)
	if !id.guarded {
		id.keyLines = result.Values(b.opts.Headers.Key)
	}
	id.workspaceLines = result.Values(b.opts.Headers.Workspace)
	result.Del(b.opts.Headers.Key)
	result.Del(b.opts.Headers.Workspace)
	return result
}

// setWorkspace adds to the headers for a backend server the name of the workspace, or what
// the caller sent if the configuration has no workspaces.
func (b *Balancer) setWorkspace(h http.Header, id identity) {
	switch {
	case !id.guarded:
		setLines(h, b.opts.Headers.Key, id.keyLines)
		setLines(h, b.opts.Headers.Workspace, id.workspaceLines)
	case id.workspace.Name != "":
		h.Set(b.opts.Headers.Workspace, id.workspace.Name)
	}
}

// setCredentials adds to the headers for another entry what it needs to decide by its own
// configuration. An entry that knows no workspaces passes the right name on.
func (b *Balancer) setCredentials(h http.Header, id identity) {
	b.setWorkspace(h, id)
	setLines(h, b.opts.Headers.Key, id.keyLines)
}

func setLines(h http.Header, name string, lines []string) {
	if len(lines) > 0 {
		h[http.CanonicalHeaderKey(name)] = slices.Clone(lines)
	}
}

// maxWorkspaceLabels bounds the values of the workspace label. Workspaces beyond are counted
// together under otherWorkspaces.
const (
	maxWorkspaceLabels = 200
	otherWorkspaces    = "(others)"
)

// countWorkspace counts a caller's request by its workspace. Requests without one are not
// counted.
func (b *Balancer) countWorkspace(c *call) {
	if c.hop != nil || c.workspace.Name == "" {
		return
	}
	label := c.workspace.Name
	b.mu.Lock()
	if !b.workspaceLabels[label] {
		if len(b.workspaceLabels) < maxWorkspaceLabels-1 {
			b.workspaceLabels[label] = true
		} else {
			label = otherWorkspaces
		}
	}
	b.mu.Unlock()
	b.metrics.workspaces.With(label).Inc()
}
