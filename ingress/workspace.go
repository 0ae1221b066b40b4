package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Quotas charges requests to the quotas of their workspaces.
type Quotas interface {
	// Charge charges a request of a cost to a workspace's quota. It may wait for up to
	// maxWait, and fails with a *QuotaError if the quota has no room for the request. refund
	// takes the charge back and is called at most once, if the request reached no server.
	Charge(ctx context.Context, w *chestnutstream.Workspace, cost float64, maxWait time.Duration) (refund func(), err error)
}

// QuotaError is returned for a request over the quota of its workspace.
type QuotaError struct {
	Workspace  string
	RetryAfter time.Duration // until the quota has room for the request
}

// Error implements error.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("workspace %s is over its quota", e.Workspace)
}

// KeySettings configures how long the keys of a configuration are relied on.
type KeySettings struct {
	// ConfigAge returns the age of this instance's view of the configuration.
	ConfigAge func() time.Duration
	// FreshAge is the age up to which an unknown key is known to be invalid. Beyond it the key
	// may have been added since, and its request is rejected as not run instead.
	FreshAge time.Duration
	// MaxAge is the age beyond which no key is accepted, since it may have been removed; 0:
	// keys are accepted at any age.
	MaxAge time.Duration
}

// olderThan reports whether the view of the configuration is older than a limit; 0: none. The
// age is looked up only if there is a limit, as that takes a lock that all requests use.
func (s *KeySettings) olderThan(limit time.Duration) bool {
	return limit > 0 && s.ConfigAge != nil && s.ConfigAge() > limit
}

// Parameters of workspaces.
const (
	staleKeysRetryAfter = 500 * time.Millisecond // a configuration that is out of date is usually read soon after
	// quotaWaitShare is the share of its latency target that a request may wait for room in
	// its workspace's quota.
	quotaWaitShare = 0.25
	// maxQuotaWait is that wait where the route names no latency target.
	maxQuotaWait = 100 * time.Millisecond
)

// authenticate finds the workspace of a request by its key. It returns false if it has
// rejected the request.
func (x *exchange) authenticate() bool {
	if !x.table.HasWorkspaces() || x.forwardedBy != "" {
		return true
	}
	if x.route.Public {
		x.keyChecked = true
		return true
	}
	keys := &x.server.cfg.Keys
	if keys.olderThan(keys.MaxAge) {
		x.countKey("expired")
		x.reject(staleKeysRetryAfter, "keys can't be checked: the configuration may be out of date")
		return false
	}
	values := x.r.Header[platform.HeaderKey]
	if len(values) == 1 {
		x.workspace = x.table.WorkspaceOf(values[0])
	}
	switch {
	case x.workspace != nil:
		x.keyChecked = true
		x.countKey("accepted")
		return true
	case len(values) == 1 && keys.olderThan(keys.FreshAge):
		x.countKey("unknown-stale")
		x.reject(staleKeysRetryAfter, "unknown key, and the configuration may be out of date")
	default:
		x.countKey("rejected")
		x.logRejectedKey(values)
		x.respond(http.StatusUnauthorized, "unknown key")
	}
	return false
}

func (x *exchange) countKey(result string) {
	x.server.cfg.Metrics.GetOrCreateCounter(`chestnutstream_keys_total{result="` + result + `"}`).Inc()
}

// logRejectedKey logs the digest of a key that was rejected, at most once a second.
func (x *exchange) logRejectedKey(values []string) {
	now := x.server.cfg.Timer.Now().UnixNano()
	last := x.server.rejectedKeyAt.Load()
	if now-last < int64(time.Second) || !x.server.rejectedKeyAt.CompareAndSwap(last, now) {
		return
	}
	digest := ""
	if len(values) == 1 && len(values[0]) <= chestnutstream.MaxKeyBytes {
		digest = chestnutstream.DigestKey(values[0]).String()
	}
	x.server.cfg.Log.WithFields(log.Fields{"request-id": x.header.ID, "key-digest": digest, "keys": len(values)}).Warn("unknown key")
}

// chargeQuota charges the request to the quota of its workspace. It returns false if it has
// rejected the request.
func (x *exchange) chargeQuota(ctx context.Context) (refund func(), ok bool) {
	q := x.server.cfg.Quotas
	if x.workspace == nil || !x.workspace.Quota.Limited() || x.forwardedBy != "" || q == nil {
		return func() {}, true
	}
	p := x.header.Prompt
	cost := x.workspace.Quota.Cost(p.Tokens+p.MaxOutputTokens, p.Tokens+p.MaxOutputTokens > 0)
	wait := maxQuotaWait
	if t := x.route.TargetLatency; t > 0 {
		wait = time.Duration(quotaWaitShare * float64(t))
	}
	refund, err := q.Charge(ctx, x.workspace, cost, wait)
	var over *QuotaError
	switch {
	case err == nil:
		return refund, true
	case errors.As(err, &over):
		x.rejectWith(http.StatusTooManyRequests, over.RetryAfter, over.Error())
	case x.aborted() != nil:
		x.respondUnplaced(x.aborted())
	default:
		x.respondUnplaced(err)
	}
	return nil, false
}

// setWorkspace sets the header by which a server knows the workspace of a request, and
// removes the key.
func (x *exchange) setWorkspace(h http.Header) {
	switch {
	case x.workspace != nil:
		platform.SetWorkspace(h, x.workspace.Name)
	case x.keyChecked:
		platform.SetWorkspace(h, "")
	}
}

// takeForwardedWorkspace reads the workspace that another instance has found for a request.
// That instance may have a newer configuration, so a workspace that is not known here is
// taken as well.
func (x *exchange) takeForwardedWorkspace(table *chestnutstream.RouteTable) {
	if x.forwardedBy == "" || x.forwardedWorkspace == nil {
		return
	}
	x.keyChecked = true
	name := *x.forwardedWorkspace
	if name == "" {
		return
	}
	if x.workspace = table.Workspaces[name]; x.workspace == nil {
		x.workspace = &chestnutstream.Workspace{Name: name}
	}
}

// rank returns the priority of the request: that of its workspace, or of its route.
func (x *exchange) rank() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// workspaceName returns the name of the request's workspace, "" for none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}
