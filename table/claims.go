// Package table implements two protocols on top of the platform's table
// service: claims of idempotency keys (claims.go), with which a keyed order is
// dispatched at most once over all instances, and the lease of an instance
// (lease.go).
//
// # Usage
//
//	c := table.NewClaims(store, timer.Now)
//	verdict, ticket, claim, err := c.Claim(ctx, key, attempt, hash)
package table

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Times and limits of claims.
const (
	groupCommitDelay       = 3 * time.Millisecond                     // claims that arrive within this time share one transaction
	maxClaimsPerWrite      = chestnutstream.MaxTransactionEntries / 2 // each is checked and written
	claimRetryDelay        = 50 * time.Millisecond
	backgroundWriteTimeout = 2 * time.Minute // total time for which a background write is retried
	backgroundRetryDelay   = 500 * time.Millisecond
	maxStoredBodyBytes     = 64 << 10 // bytes of a response body that are stored for replay
	ClaimRetention         = 24 * time.Hour
	ClaimPrefix            = "claims/"
	claimPartitions        = 256
	maxClaimNameBytes      = 160 // bytes of a row key without its prefix; the platform allows 200 bytes in all, so longer names are hashed
	maxSweepDeletes        = 200
	maxRewriteAttempts     = 20 // per claim and era
)

// ClaimState is the state of a claimed order.
type ClaimState string

// The claim states.
const (
	ClaimPending ClaimState = "claimed" // dispatched or about to be; no outcome recorded yet
	ClaimDone    ClaimState = "done"    // the response is recorded
)

// Claim is the row of a keyed order in the table service.
type Claim struct {
	Attempt     string // ID of the attempt that inserted the row, unique over all instances
	RequestHash string // hash of method, path and body; see HashRequest
	State       ClaimState
	At          time.Time
	Response    chestnutstream.ServiceResponse
	Truncated   bool // the response body exceeded maxStoredBodyBytes and was not stored
}

// ClaimVerdict is the result of an attempt to claim a key.
type ClaimVerdict string

// The claim verdicts.
const (
	ClaimGranted   ClaimVerdict = "granted"   // the attempt may dispatch the order, once
	ClaimReplay    ClaimVerdict = "replay"    // the order ran: return the recorded response
	ClaimUnknown   ClaimVerdict = "unknown"   // another attempt claimed the key and recorded no outcome
	ClaimMismatch  ClaimVerdict = "mismatch"  // the key was used for a different request
	ClaimUnsettled ClaimVerdict = "unsettled" // the store may have lost a claim of the key; the attempt may not dispatch the order
)

// EvaluateClaim returns the verdict for an attempt, given the existing claim of
// its key. It is not called if the row is absent: the attempt then tries to
// insert its own.
//
// Invariant: ClaimGranted is returned to at most one attempt per key, the one
// whose ID is in the row.
func EvaluateClaim(existing Claim, attempt, requestHash string) ClaimVerdict {
	switch {
	case existing.RequestHash != requestHash:
		return ClaimMismatch
	case existing.State == ClaimDone:
		return ClaimReplay
	case existing.Attempt == attempt:
		return ClaimGranted
	default:
		return ClaimUnknown
	}
}

// HashRequest returns a hash that identifies the request a key is used for.
func HashRequest(method, path string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + "\x00" + path + "\x00")
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16) + "-" + strconv.Itoa(len(body))
}

// ClaimKey returns the row key for a caller's idempotency key at a service.
func ClaimKey(caller, service, key string) string {
	name := url.QueryEscape(caller) + "/" + url.QueryEscape(service) + "/" + url.QueryEscape(key)
	partition := xxhash.Sum64String(name) % claimPartitions
	if len(name) > maxClaimNameBytes {
		name = fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
	}
	return fmt.Sprintf("%s%02x/%s", ClaimPrefix, partition, name)
}

// ClaimTicket identifies a claim row at the version that was written or read.
type ClaimTicket struct {
	Key     string
	Version uint64
	claim   Claim
}

// Claims ensures that a keyed order runs at most once over all instances: an
// attempt is dispatched only after its claim is stored in the table service.
type Claims struct {
	table EraTable
	now   func() time.Time

	starting sync.Mutex // held while the era in which this process starts is read

	mu              sync.Mutex
	era             claimEra
	recent          *recentClaims
	respondedAt     time.Time // last response of the table service
	pending         []*pendingClaim
	commitScheduled bool
}

type pendingClaim struct {
	key    string
	value  []byte
	result chan claimResult
}

type claimResult struct {
	version uint64
	err     error
}

// NewClaims returns Claims that are stored in t.
func NewClaims(t EraTable, now func() time.Time) *Claims {
	return &Claims{table: t, now: now, recent: newRecentClaims()}
}

// Claim tries to claim a key for an attempt until ctx ends. On an error the
// attempt must not be dispatched. The claim may have been written all the same,
// so it is then deleted in the background.
func (c *Claims) Claim(ctx context.Context, key, attempt, requestHash string) (ClaimVerdict, ClaimTicket, Claim, error) {
	claim := Claim{Attempt: attempt, RequestHash: requestHash, State: ClaimPending, At: c.now()}
	value, err := encodeClaim(claim)
	if err != nil {
		return "", ClaimTicket{}, Claim{}, err
	}
	sent := false
	for {
		ticket := ClaimTicket{Key: key, claim: claim}
		err := c.settled(ctx)
		if err == nil {
			sent = true
			ticket.Version, err = c.insert(ctx, key, value)
		}
		if err != nil && !errors.Is(err, errStart) {
			if row, found, readErr := c.read(ctx, key); readErr == nil && found.RequestHash != "" {
				ticket = ClaimTicket{key, row.Version, found}
			}
		}
		if ticket.Version != 0 || errors.Is(err, errUnsettled) {
			verdict, known := c.verdict(ctx, ticket, attempt, requestHash)
			ours := ticket.Version == 0 || ticket.claim.Attempt == attempt
			if sent && verdict != ClaimGranted && (ours || verdict == ClaimUnsettled) {
				go c.deleteUnconfirmed(key, claim)
			}
			return verdict, ticket, known, nil
		}
		if ctx.Err() != nil {
			if known, ok := c.recall(key); ok {
				return EvaluateClaim(known, attempt, requestHash), ticket, known, nil
			}
			if sent {
				go c.deleteUnconfirmed(key, claim)
			}
			return "", ClaimTicket{}, Claim{}, fmt.Errorf("claim: %w: %w", chestnutstream.ErrUnavailable, err)
		}
		timer.Sleep(ctx, claimRetryDelay)
	}
}

// verdict returns the verdict for an attempt on the row of its key, which is absent if the
// ticket has version 0.
func (c *Claims) verdict(ctx context.Context, t ClaimTicket, attempt, requestHash string) (ClaimVerdict, Claim) {
	if t.Version != 0 {
		v := EvaluateClaim(t.claim, attempt, requestHash)
		err := c.learnEra(ctx, t.Version)
		if v == ClaimReplay || v == ClaimGranted && err == nil && c.grant(t) || v != ClaimGranted && c.settled(ctx) == nil {
			return v, t.claim
		}
	}
	if known, ok := c.recall(t.Key); ok {
		return EvaluateClaim(known, attempt, requestHash), known
	}
	return ClaimUnsettled, Claim{}
}

// recall returns the claim of a key that was granted here, unless it was released.
func (c *Claims) recall(key string) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.recent.get(key)
	return e.claim, ok && !e.released
}

func (c *Claims) read(ctx context.Context, key string) (chestnutstream.Row, Claim, error) {
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return row, Claim{}, err
	}
	c.recordResponse()
	if row.Version == 0 {
		return row, Claim{}, nil
	}
	claim, err := decodeClaim(row.Value)
	return row, claim, err
}

// recordResponse records a response of the table service. The time does not advance while
// claims are written again, so that they are not dropped before.
func (c *Claims) recordResponse() {
	era := c.table.Era()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era.ready && era == c.era.number {
		c.respondedAt = c.now()
	}
}

// insert adds the claim to the next group commit and waits for its result.
func (c *Claims) insert(ctx context.Context, key string, value []byte) (uint64, error) {
	p := &pendingClaim{key: key, value: value, result: make(chan claimResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, p)
	if !c.commitScheduled {
		c.commitScheduled = true
		time.AfterFunc(groupCommitDelay, c.commit)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		c.removePending(p)
		return 0, fmt.Errorf("insert claim: %w", ctx.Err())
	case r := <-p.result:
		return r.version, r.err
	}
}

// removePending removes a claim that is not part of a transaction yet.
func (c *Claims) removePending(p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.pending {
		if q == p {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			return
		}
	}
}

// commit writes the next group of pending claims and schedules a commit of the
// rest. Two claims of one key are never in the same group.
func (c *Claims) commit() {
	c.mu.Lock()
	var group, rest []*pendingClaim
	seen := map[string]bool{}
	for _, p := range c.pending {
		if seen[p.key] || len(group) >= maxClaimsPerWrite {
			rest = append(rest, p)
			continue
		}
		seen[p.key] = true
		group = append(group, p)
	}
	c.pending = rest
	c.commitScheduled = len(rest) > 0
	if c.commitScheduled {
		time.AfterFunc(groupCommitDelay, c.commit)
	}
	c.mu.Unlock()
	c.commitGroup(group)
}

// commitGroup writes a group in one transaction. On a conflict it reports the
// conflicting keys as failed and retries with the remaining ones.
func (c *Claims) commitGroup(group []*pendingClaim) {
	for len(group) > 0 {
		checks := make([]chestnutstream.Check, 0, len(group))
		writes := make([]chestnutstream.Write, 0, len(group))
		for _, p := range group {
			checks = append(checks, chestnutstream.Check{Key: p.key})
			writes = append(writes, chestnutstream.Write{Key: p.key, Value: p.value})
		}
		versions, err := c.table.Transact(context.Background(), checks, writes)
		var conflict *chestnutstream.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			if err == nil {
				c.recordResponse()
			}
			for _, p := range group {
				p.result <- claimResult{versions[p.key], err}
			}
			return
		}
		conflicting := map[string]bool{}
		for _, key := range conflict.Keys {
			conflicting[key] = true
		}
		var remaining []*pendingClaim
		for _, p := range group {
			if conflicting[p.key] {
				p.result <- claimResult{0, err}
				continue
			}
			remaining = append(remaining, p)
		}
		group = remaining
	}
}

// RecordResponse records the response of a claimed order in the background, so that a
// repeated request gets the same response.
func (c *Claims) RecordResponse(t ClaimTicket, response chestnutstream.ServiceResponse) {
	done := t.claim
	done.State, done.Response = ClaimDone, response
	if len(response.Body) > maxStoredBodyBytes {
		done.Response.Body, done.Truncated = nil, true
	}
	c.change(recentClaim{key: t.Key, claim: done, version: t.Version})
}

// Release deletes a granted claim in the background: the order did not run and
// may be requested again.
func (c *Claims) Release(t ClaimTicket) {
	c.change(recentClaim{key: t.Key, claim: t.claim, released: true, version: t.Version})
}

// change records the new state of a claim of this instance and writes it in the background.
func (c *Claims) change(e recentClaim) {
	c.mu.Lock()
	if old, ok := c.recent.get(e.key); ok && old.claim.Attempt == e.claim.Attempt {
		e.version, e.previous = max(e.version, old.version), old.previous
	}
	c.remember(e)
	c.mu.Unlock()
	go c.writeUntilConfirmed(e)
}

// writeUntilConfirmed retries to bring the row of a claim of this instance into its state,
// until the table service confirms it, for at most backgroundWriteTimeout. A conflict means
// that an earlier try took effect, or that the store has returned from a copy.
func (c *Claims) writeUntilConfirmed(e recentClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundWriteTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if era := c.table.Era(); chestnutstream.VersionEra(e.version) < era {
			if c.rewrite(ctx, e.key, era) == nil {
				return
			}
		} else {
			version, err := c.replace(ctx, chestnutstream.Row{Key: e.key, Version: e.version}, e)
			if err == nil {
				c.confirm(e, version)
				return
			}
			if isConflict(err) && c.table.Era() == era {
				return
			}
		}
		timer.Sleep(ctx, backgroundRetryDelay)
	}
}

// deleteUnconfirmed deletes a claim that was not granted but may have been inserted. The
// insertion can still arrive late, so the row has to be absent in 3 consecutive successful
// reads. It may be in a copy that the store returns from later.
func (c *Claims) deleteUnconfirmed(key string, claim Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundWriteTimeout)
	defer cancel()
	c.mu.Lock()
	if _, ok := c.recent.get(key); !ok {
		c.remember(recentClaim{key: key, claim: claim, released: true, version: chestnutstream.RowVersion(c.era.number, 0)})
	}
	c.mu.Unlock()
	absent := 0
	for ctx.Err() == nil && absent < 3 {
		row, found, err := c.read(ctx, key)
		switch {
		case err != nil:
		case row.Version == 0:
			absent++
		case found.Attempt != claim.Attempt:
			return
		default:
			absent = 0
			// The next read shows whether the row was deleted.
			_, _ = c.replace(ctx, row, recentClaim{key: key, released: true})
		}
		timer.Sleep(ctx, backgroundRetryDelay)
	}
}

func isConflict(err error) bool {
	var conflict *chestnutstream.ConflictError
	return errors.As(err, &conflict)
}

// Sweep deletes claims of one partition (0 to 255) that are older than
// ClaimRetention, at most maxSweepDeletes, and returns their number.
func (c *Claims) Sweep(ctx context.Context, partition int) (int, error) {
	rows, err := c.table.Scan(ctx, fmt.Sprintf("%s%02x/", ClaimPrefix, partition%claimPartitions))
	if err != nil {
		return 0, fmt.Errorf("sweep claims: %w", err)
	}
	var checks []chestnutstream.Check
	var writes []chestnutstream.Write
	for _, row := range rows {
		claim, err := decodeClaim(row.Value)
		if err != nil || c.now().Sub(claim.At) < ClaimRetention || len(writes) >= maxSweepDeletes {
			continue
		}
		checks = append(checks, chestnutstream.Check{Key: row.Key, Version: row.Version})
		writes = append(writes, chestnutstream.Write{Key: row.Key, Delete: true})
	}
	for i := 0; i < len(writes); i += maxClaimsPerWrite {
		end := min(i+maxClaimsPerWrite, len(writes))
		if _, err := c.table.Transact(ctx, checks[i:end], writes[i:end]); err != nil {
			return i, fmt.Errorf("sweep claims: %w", err)
		}
	}
	return len(writes), nil
}

type wireClaim struct {
	Attempt   string      `json:"attempt"`
	Hash      string      `json:"request-hash"`
	State     string      `json:"state"`
	At        time.Time   `json:"at"`
	Status    int         `json:"status,omitempty"`
	Header    http.Header `json:"header,omitempty"`
	Body      []byte      `json:"body,omitempty"`
	Truncated bool        `json:"truncated,omitempty"`
}

func encodeClaim(c Claim) ([]byte, error) {
	b, err := json.Marshal(wireClaim{
		c.Attempt, c.RequestHash, string(c.State), c.At,
		c.Response.Status, c.Response.Header, c.Response.Body, c.Truncated,
	})
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return b, nil
}

func decodeClaim(b []byte) (Claim, error) {
	var w wireClaim
	if err := json.Unmarshal(b, &w); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return Claim{
		Attempt: w.Attempt, RequestHash: w.Hash, State: ClaimState(w.State), At: w.At,
		Response:  chestnutstream.ServiceResponse{Status: w.Status, Header: w.Header, Body: w.Body},
		Truncated: w.Truncated,
	}, nil
}
