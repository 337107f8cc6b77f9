package describer

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
)

// Workspace is an organizational unit on whose behalf callers send requests. They identify
// it by an API key. The zero value stands for requests without one.
type Workspace struct {
	Name string
	// Importance ranks workspaces when capacity is short. Zero is the highest rank.
	Importance int
}

// KeyedWorkspace is a workspace with its API keys, from which a RouteTable is built.
type KeyedWorkspace struct {
	Workspace
	Keys []string
}

// keyHash is the hash of an API key. Tables hold no keys, so that none can be printed.
type keyHash [sha256.Size]byte

// access is the part of a RouteTable that decides on API keys.
type access struct {
	enabled    bool
	workspaces []Workspace
	keys       []hashedKey
	// lowest is the importance of the lowest-ranking workspace.
	lowest int
}

type hashedKey struct {
	hash keyHash
	// workspace is an index into the workspaces.
	workspace int32
}

// WithWorkspaces returns a copy of the table with these workspaces, in which requests need
// an API key unless their route is public. With an empty list no key is valid.
func (t *RouteTable) WithWorkspaces(workspaces []KeyedWorkspace) *RouteTable {
	a := access{enabled: true}
	for i, w := range workspaces {
		a.workspaces = append(a.workspaces, w.Workspace)
		a.lowest = max(a.lowest, w.Importance)
		for _, k := range w.Keys {
			a.keys = append(a.keys, hashedKey{hash: sha256.Sum256([]byte(k)), workspace: int32(i)})
		}
	}
	result := *t
	result.access = a
	return &result
}

// HasWorkspaces reports whether requests need an API key unless their route is public.
func (t *RouteTable) HasWorkspaces() bool { return t.access.enabled }

// Authorize returns the workspace of an API key. The time that it takes does not depend on
// the key, nor on whether it is known.
func (t *RouteTable) Authorize(key string) (w Workspace, ok bool) {
	hash := keyHash(sha256.Sum256([]byte(key)))
	found := -1
	for i := range t.access.keys {
		k := &t.access.keys[i]
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(k.hash[:], hash[:]), int(k.workspace), found)
	}
	if found < 0 {
		return Workspace{}, false
	}
	return t.access.workspaces[found], true
}

// Rank orders requests when capacity is short. Zero is the highest rank in each part, and
// the workspace's part takes precedence.
type Rank struct {
	Workspace int
	Route     int
}

// Compare returns a negative number if r is more urgent than other, zero if both are equally
// urgent, and a positive number otherwise.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Workspace, other.Workspace), cmp.Compare(r.Route, other.Route))
}

// Rank returns the rank of a workspace's request on a route. A request without a workspace
// ranks with the lowest-ranking one, so that leaving out the key gains nothing.
func (t *RouteTable) Rank(r Route, w Workspace) Rank {
	rank := Rank{Workspace: w.Importance, Route: r.Importance}
	if w == (Workspace{}) {
		rank.Workspace = t.access.lowest
	}
	return rank
}
