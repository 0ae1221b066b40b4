package chestnutstream

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// KeyDigest is the SHA-256 digest of a workspace's key. Keys are kept and compared as digests.
type KeyDigest [sha256.Size]byte

// keyIDBytes is the part of a digest that identifies a key to operators.
const keyIDBytes = 4

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the beginning of the digest, which identifies a key in logs without
// disclosing it.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:keyIDBytes]) }

// Workspace is a customer's tenancy: callers present one of its keys, and its limits
// apply to all of them together.
type Workspace struct {
	Name        string
	Keys        []KeyDigest
	HasPriority bool // Priority replaces that of the route
	Priority    int  // 0 is the most urgent
	Quota       Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	QuotaRequests QuotaUnit = "request"
	QuotaTokens   QuotaUnit = "token" // prompt tokens and the maximum of output tokens
)

// Quota limits the requests of a workspace over all instances together: within any time t, to
// PerSecond*t + Burst.
type Quota struct {
	Unit          QuotaUnit
	PerSecond     float64 // 0: no limit
	Burst         float64
	DefaultTokens int // cost, in tokens, of a request that states no token counts
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request counts. stated is false for a request without token counts.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case !stated:
		return float64(max(q.DefaultTokens, 0))
	}
	return float64(max(tokens, 0))
}

// SetWorkspaces sets the workspaces of the table, before it is used. Of two workspaces with
// the same name or key the first one counts.
func (t *RouteTable) SetWorkspaces(list []*Workspace) {
	t.Workspaces, t.byKey = make(map[string]*Workspace, len(list)), map[KeyDigest]*Workspace{}
	for _, w := range list {
		if t.Workspaces[w.Name] != nil {
			continue
		}
		t.Workspaces[w.Name] = w
		for _, d := range w.Keys {
			if t.byKey[d] == nil {
				t.byKey[d] = w
			}
		}
	}
}

// HasWorkspaces reports whether callers have to present the key of a workspace.
func (t *RouteTable) HasWorkspaces() bool { return t.Workspaces != nil }

// MaxKeyBytes limits the keys that are looked up: a digest of a longer one would cost
// processor time without use.
const MaxKeyBytes = 1024

// WorkspaceOf returns the workspace that a key belongs to, or nil.
func (t *RouteTable) WorkspaceOf(key string) *Workspace {
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsAny(key, " \t") {
		return nil
	}
	return t.byKey[DigestKey(key)]
}
