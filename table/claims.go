// Package table holds what an instance decides over the platform's table service:
// the claims of keyed orders (claims.go), so that each runs at most once over all
// instances, and the lease of an instance (lease.go).
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

// Claim times and sizes.
const (
	groupCommitDelay   = 3 * time.Millisecond // claims of this long share one transaction
	groupCommitMax     = 64                   // claims in one transaction
	claimRetryPause    = 50 * time.Millisecond
	settleFor          = 2 * time.Minute // how long a settlement is tried in the background
	settleRetryPause   = 500 * time.Millisecond
	maxStoredBody      = 64 << 10 // bytes of an answer kept for repeats
	ClaimRetention     = 24 * time.Hour
	ClaimPrefix        = "claims/"
	claimPartitions    = 256
	claimNameBytes     = 160 // of a key beyond its prefix; the platform takes 200 bytes in all, longer names are hashed
	sweepDeletesAtOnce = 200
)

// ClaimState is the state of a claimed order.
type ClaimState string

// The claim states.
const (
	ClaimOpen ClaimState = "claimed" // dispatched or about to be; no outcome recorded
	ClaimDone ClaimState = "done"    // the answer is recorded
)

// Claim is the record of a keyed order in the table service.
type Claim struct {
	Attempt     string // id of the attempt that made it, unique over all instances
	RequestHash string // of method, path and body
	State       ClaimState
	At          time.Time
	Answer      chestnutstream.ServiceAnswer
	Truncated   bool // the answer's body was too long to keep
}

// ClaimVerdict says what an attempt may do.
type ClaimVerdict string

// The verdicts on an attempt to claim.
const (
	ClaimGranted  ClaimVerdict = "granted"  // dispatch it, once
	ClaimReplay   ClaimVerdict = "replay"   // it ran: give the recorded answer
	ClaimUnknown  ClaimVerdict = "unknown"  // another attempt holds it and recorded no outcome
	ClaimMismatch ClaimVerdict = "mismatch" // the key was used for another request
)

// JudgeClaim decides what an attempt may do, given the row that stands under
// its key. An absent row is not judged: the attempt tries to insert its own.
//
// Invariant: granted is returned to at most one attempt of a key, the one whose
// id stands in the row.
func JudgeClaim(c Claim, attempt, requestHash string) ClaimVerdict {
	switch {
	case c.RequestHash != requestHash:
		return ClaimMismatch
	case c.State == ClaimDone:
		return ClaimReplay
	case c.Attempt == attempt:
		return ClaimGranted
	default:
		return ClaimUnknown
	}
}

// HashRequest identifies the request that a key was used for.
func HashRequest(method, path string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + "\x00" + path + "\x00")
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16) + "-" + strconv.Itoa(len(body))
}

// ClaimKey returns the row for a caller's key at a service.
func ClaimKey(caller, service, key string) string {
	name := url.QueryEscape(caller) + "/" + url.QueryEscape(service) + "/" + url.QueryEscape(key)
	partition := xxhash.Sum64String(name) % claimPartitions
	if len(name) > claimNameBytes {
		name = fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
	}
	return fmt.Sprintf("%s%02x/%s", ClaimPrefix, partition, name)
}

// ClaimTicket is an attempt that was granted.
type ClaimTicket struct {
	Key     string
	Version uint64
	claim   Claim
}

// Claims makes keyed orders run at most once over all instances: an attempt is
// dispatched only after its claim stands in the table service.
type Claims struct {
	table chestnutstream.Table
	now   func() time.Time

	mu      sync.Mutex
	pending []*pendingClaim
	armed   bool
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

// NewClaims returns the claims kept in a table service.
func NewClaims(t chestnutstream.Table, now func() time.Time) *Claims {
	return &Claims{table: t, now: now}
}

// Claim tries to claim a key for an attempt until ctx ends. On an error the
// attempt must not be dispatched: it did not run, and a claim that may stand
// all the same is taken back in the background.
func (c *Claims) Claim(ctx context.Context, key, attempt, requestHash string) (ClaimVerdict, ClaimTicket, Claim, error) {
	claim := Claim{Attempt: attempt, RequestHash: requestHash, State: ClaimOpen, At: c.now()}
	value, err := encodeClaim(claim)
	if err != nil {
		return "", ClaimTicket{}, Claim{}, err
	}
	for {
		version, err := c.insert(ctx, key, value)
		if err == nil {
			return ClaimGranted, ClaimTicket{key, version, claim}, claim, nil
		}
		row, found, readErr := c.read(ctx, key)
		if readErr == nil && found.RequestHash != "" {
			verdict := JudgeClaim(found, attempt, requestHash)
			return verdict, ClaimTicket{key, row.Version, found}, found, nil
		}
		if ctx.Err() != nil {
			go c.takeBack(key, attempt)
			return "", ClaimTicket{}, Claim{}, fmt.Errorf("claim: %w: %w", chestnutstream.ErrUnavailable, err)
		}
		timer.Sleep(ctx, claimRetryPause)
	}
}

func (c *Claims) read(ctx context.Context, key string) (chestnutstream.Row, Claim, error) {
	row, err := c.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return row, Claim{}, err
	}
	claim, err := decodeClaim(row.Value)
	return row, claim, err
}

// insert adds the claim to the group that is committed next.
func (c *Claims) insert(ctx context.Context, key string, value []byte) (uint64, error) {
	p := &pendingClaim{key: key, value: value, result: make(chan claimResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, p)
	if !c.armed {
		c.armed = true
		time.AfterFunc(groupCommitDelay, c.commit)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		c.withdraw(p)
		return 0, fmt.Errorf("insert claim: %w", ctx.Err())
	case r := <-p.result:
		return r.version, r.err
	}
}

// withdraw takes a claim that was not yet committed out of its group.
func (c *Claims) withdraw(p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.pending {
		if q == p {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			return
		}
	}
}

// commit writes the pending claims in groups. Two claims of one key never share
// a group.
func (c *Claims) commit() {
	c.mu.Lock()
	var group, rest []*pendingClaim
	taken := map[string]bool{}
	for _, p := range c.pending {
		if taken[p.key] || len(group) >= groupCommitMax {
			rest = append(rest, p)
			continue
		}
		taken[p.key] = true
		group = append(group, p)
	}
	c.pending = rest
	c.armed = len(rest) > 0
	if c.armed {
		time.AfterFunc(groupCommitDelay, c.commit)
	}
	c.mu.Unlock()
	c.commitGroup(group)
}

// commitGroup writes a group in one transaction. Keys that are taken fall out
// and the rest is tried again.
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
			for _, p := range group {
				p.result <- claimResult{versions[p.key], err}
			}
			return
		}
		taken := map[string]bool{}
		for _, key := range conflict.Keys {
			taken[key] = true
		}
		var rest []*pendingClaim
		for _, p := range group {
			if taken[p.key] {
				p.result <- claimResult{0, err}
				continue
			}
			rest = append(rest, p)
		}
		group = rest
	}
}

// Settle records the answer of a claimed order in the background, so that a
// repeat gets it.
func (c *Claims) Settle(t ClaimTicket, answer chestnutstream.ServiceAnswer) {
	done := t.claim
	done.State, done.Answer = ClaimDone, answer
	if len(answer.Body) > maxStoredBody {
		done.Answer.Body, done.Truncated = nil, true
	}
	value, err := encodeClaim(done)
	if err != nil {
		return
	}
	go c.persist(t, chestnutstream.Write{Key: t.Key, Value: value})
}

// Release takes a granted claim back: the order did not run and may be asked
// again.
func (c *Claims) Release(t ClaimTicket) {
	go c.persist(t, chestnutstream.Write{Key: t.Key, Delete: true})
}

// persist tries a change of a claim that this instance holds until the table
// service says that it stands. A conflict means that it stands already.
func (c *Claims) persist(t ClaimTicket, w chestnutstream.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), settleFor)
	defer cancel()
	for ctx.Err() == nil {
		_, err := c.table.Transact(ctx, []chestnutstream.Check{{Key: t.Key, Version: t.Version}}, []chestnutstream.Write{w})
		var conflict *chestnutstream.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		timer.Sleep(ctx, settleRetryPause)
	}
}

// takeBack deletes a claim that may have been written though no answer came.
// A write can still arrive late, so the row is looked for more than once.
func (c *Claims) takeBack(key, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), settleFor)
	defer cancel()
	absent := 0
	for ctx.Err() == nil && absent < 3 {
		row, claim, err := c.read(ctx, key)
		switch {
		case err != nil:
		case row.Version == 0:
			absent++
		case claim.Attempt != attempt:
			return
		default:
			absent = 0
			c.persist(ClaimTicket{Key: key, Version: row.Version}, chestnutstream.Write{Key: key, Delete: true})
		}
		timer.Sleep(ctx, settleRetryPause)
	}
}

// Sweep deletes the claims of one partition (0 to 255) that are older than the
// retention, and returns how many.
func (c *Claims) Sweep(ctx context.Context, partition int) (int, error) {
	rows, err := c.table.Scan(ctx, fmt.Sprintf("%s%02x/", ClaimPrefix, partition%claimPartitions))
	if err != nil {
		return 0, fmt.Errorf("sweep claims: %w", err)
	}
	var checks []chestnutstream.Check
	var writes []chestnutstream.Write
	for _, row := range rows {
		claim, err := decodeClaim(row.Value)
		if err != nil || c.now().Sub(claim.At) < ClaimRetention || len(writes) >= sweepDeletesAtOnce {
			continue
		}
		checks = append(checks, chestnutstream.Check{Key: row.Key, Version: row.Version})
		writes = append(writes, chestnutstream.Write{Key: row.Key, Delete: true})
	}
	if len(writes) == 0 {
		return 0, nil
	}
	if _, err := c.table.Transact(ctx, checks, writes); err != nil {
		return 0, fmt.Errorf("sweep claims: %w", err)
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
		c.Answer.Status, c.Answer.Header, c.Answer.Body, c.Truncated,
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
		Answer:    chestnutstream.ServiceAnswer{Status: w.Status, Header: w.Header, Body: w.Body},
		Truncated: w.Truncated,
	}, nil
}
