package table

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Times and keys of what is done after the store has returned from a copy.
const (
	// ClaimSettleTime is how long after the begin of an era no key is claimed: until then
	// the instances write again what the store has lost, and callers repeat orders whose
	// claims no instance remembers.
	ClaimSettleTime = 30 * time.Second
	eraPrefix       = "era/"
	maxRewriters    = 8 // claims that are written again at the same time
)

// EraTable is a table service that may return from an older copy. Each time its era rises.
type EraTable interface {
	chestnutstream.Table
	// Era returns the newest era that is known, 0 if none is. It is the era of each
	// version.
	Era() uint64
	// Clock returns the steady clock of the service, as of its last response.
	Clock() time.Duration
}

var (
	errUnsettled = errors.New("the store has returned from a copy, claims may be missing")
	errStart     = errors.New("the begin of the store's era is unknown")
)

// claimEra is the era of the store, as far as the claims are concerned.
type claimEra struct {
	known    bool // false until the first claim
	number   uint64
	restored bool      // this process has seen an earlier era
	since    time.Time // the era was noted then, at the latest
	initial  bool      // no claim was written in an earlier era
	ready    bool      // the begin of the era is known, and claims granted here are written again
}

type wireEra struct {
	NotedMS int64 `json:"t"` // on the store's clock
	Initial bool  `json:"initial,omitempty"`
}

// StoreRestored reports that the store has returned from a copy, with a new era. It does not
// call the store.
func (c *Claims) StoreRestored(era uint64) {
	c.mu.Lock()
	if c.era.known && era <= c.era.number {
		c.mu.Unlock()
		return
	}
	c.era = claimEra{known: true, number: era, restored: true}
	c.mu.Unlock()
	go c.recover(era)
}

// recover prepares claims of an era, until a later one begins.
func (c *Claims) recover(era uint64) {
	for {
		err := c.prepare(context.Background(), era)
		if err == nil || c.currentEra() != era {
			return
		}
		time.Sleep(backgroundRetryDelay)
	}
}

func (c *Claims) currentEra() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era.number
}

// settled returns nil if keys may be claimed, errUnsettled if the store may have lost claims
// that are not written again yet, and errStart if that cannot be learned.
func (c *Claims) settled(ctx context.Context) error {
	if err := c.learnEra(ctx, 0); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era.known && c.settleDelayLocked() > 0 {
		return errUnsettled
	}
	return nil
}

// learnEra learns the era that this process starts in, from the version of a row or, if that
// is 0, from earlier responses of the table service.
func (c *Claims) learnEra(ctx context.Context, version uint64) error {
	era := max(c.table.Era(), chestnutstream.VersionEra(version))
	c.mu.Lock()
	known, newest := c.era.known, c.era.number
	if !known && era == 0 && version != 0 {
		c.era = claimEra{known: true, initial: true, ready: true}
	}
	c.mu.Unlock()
	switch {
	case known && era > newest:
		c.StoreRestored(era)
		return nil
	case known, era == 0:
		return nil
	}
	c.starting.Lock()
	defer c.starting.Unlock()
	c.mu.Lock()
	if c.era.known {
		c.mu.Unlock()
		return nil
	}
	start := claimEra{number: era}
	c.mu.Unlock()
	began, initial, err := c.noteEra(ctx, start)
	if err != nil {
		return fmt.Errorf("%w: %w", errStart, err)
	}
	start.known, start.ready, start.since, start.initial = true, true, began, initial
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.era.known {
		c.era = start
	}
	return nil
}

// settleDelay returns how long no key is claimed yet.
func (c *Claims) settleDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settleDelayLocked()
}

func (c *Claims) settleDelayLocked() time.Duration {
	switch {
	case c.era.initial:
		return 0
	case !c.era.ready:
		return ClaimSettleTime
	}
	return max(0, c.era.since.Add(ClaimSettleTime).Sub(c.now()))
}

// SettleDelay returns after what time a caller whose key could not be settled may repeat its
// order.
func (c *Claims) SettleDelay() time.Duration { return max(c.settleDelay(), time.Second) }

// EraAge returns how long ago the present era began, at least. It is 0 if that is unknown, and
// math.MaxInt64 if there was no earlier one.
func (c *Claims) EraAge(ctx context.Context) time.Duration {
	if c.learnEra(ctx, 0) != nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.era.initial, !c.era.known:
		return math.MaxInt64
	case !c.era.ready:
		return 0
	}
	return c.now().Sub(c.era.since)
}

// grant records a granted claim, unless the era has changed or is not settled.
func (c *Claims) grant(t ClaimTicket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if chestnutstream.VersionEra(t.Version) != c.era.number || c.settleDelayLocked() > 0 {
		return false
	}
	e := recentClaim{key: t.Key, claim: t.claim, version: t.Version}
	if old, ok := c.recent.get(t.Key); ok && old.released {
		e.previous = old.claim.Attempt
	}
	c.remember(e)
	return true
}

// remember records the state of a claim. The caller must hold mu.
func (c *Claims) remember(e recentClaim) {
	e.changedAt = c.now()
	c.recent.put(e, c.respondedAt.Add(-recentClaimAge))
}

// prepare writes the claims of this process again, and learns or notes when the era began.
func (c *Claims) prepare(ctx context.Context, era uint64) error {
	if err := c.rewriteRecent(ctx, era); err != nil {
		return err
	}
	c.mu.Lock()
	e := c.era
	c.mu.Unlock()
	began, _, err := c.noteEra(ctx, e)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era.number == era && e.number == era {
		c.era.since, c.era.ready = began, true
	}
	return nil
}

// noteEra returns when an era was noted, and whether no claim was written before.
// It writes the row that notes this if it is absent, or written by a process that took the
// table for that of a new system.
func (c *Claims) noteEra(ctx context.Context, e claimEra) (began time.Time, initial bool, err error) {
	now := c.now()
	rows, err := c.table.Scan(ctx, eraPrefix)
	if err != nil {
		return now, false, fmt.Errorf("read eras: %w", err)
	}
	key, clock := fmt.Sprintf("%s%d", eraPrefix, e.number), c.table.Clock()
	check := chestnutstream.Check{Key: key}
	noted := wireEra{NotedMS: clock.Milliseconds(), Initial: !e.restored && len(rows) == 0}
	var writes []chestnutstream.Write
	for _, row := range rows {
		if row.Key != key {
			writes = append(writes, chestnutstream.Write{Key: row.Key, Delete: true})
			continue
		}
		check.Version = row.Version
		var w wireEra
		if json.Unmarshal(row.Value, &w) != nil || w.NotedMS > noted.NotedMS {
			continue // written anew
		}
		if !w.Initial || !e.restored {
			return now.Add(-clock + time.Duration(w.NotedMS)*time.Millisecond), w.Initial, nil
		}
	}
	value, err := json.Marshal(noted)
	if err != nil {
		return now, false, fmt.Errorf("encode era: %w", err)
	}
	writes = append(writes, chestnutstream.Write{Key: key, Value: value})
	if _, err := c.table.Transact(ctx, []chestnutstream.Check{check}, writes); err != nil {
		return now, false, fmt.Errorf("note era %d: %w", e.number, err)
	}
	return now, noted.Initial, nil
}

// rewriteRecent writes the claims that were granted here again, so that their rows have the
// state that they had before the store returned from a copy.
func (c *Claims) rewriteRecent(ctx context.Context, era uint64) error {
	c.mu.Lock()
	claims := c.recent.ofEarlierEras(era)
	c.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	next := make(chan recentClaim)
	for range min(maxRewriters, len(claims)) {
		wg.Go(func() {
			for e := range next {
				if err := c.rewrite(ctx, e.key, era); err != nil {
					mu.Lock()
					firstErr = err
					mu.Unlock()
				}
			}
		})
	}
	for _, e := range claims {
		next <- e
	}
	close(next)
	wg.Wait()
	return firstErr
}

// rewrite gives the row of a claim the state that is remembered.
func (c *Claims) rewrite(ctx context.Context, key string, era uint64) error {
	for range maxRewriteAttempts {
		c.mu.Lock()
		want, ok := c.recent.get(key)
		c.mu.Unlock()
		if !ok || chestnutstream.VersionEra(want.version) >= era {
			return nil
		}
		row, found, err := c.read(ctx, key)
		if err != nil {
			return err
		}
		if row.Version != 0 && chestnutstream.VersionEra(row.Version) != era {
			return errUnsettled
		}
		foreign := row.Version != 0 && found.Attempt != want.claim.Attempt
		if foreign && want.released && found.Attempt != want.previous {
			c.confirm(want, chestnutstream.RowVersion(era, 0))
			return nil
		}
		if foreign && found.Attempt != want.previous {
			// The copy has a claim that its instance released, and deletes again.
			timer.Sleep(ctx, backgroundRetryDelay)
			continue
		}
		version := row.Version
		if want.released && row.Version == 0 || !want.released && row.Version != 0 && !foreign && found.State == want.claim.State {
			version = max(version, chestnutstream.RowVersion(era, 0))
		} else if version, err = c.replace(ctx, row, want); err != nil {
			if isConflict(err) {
				continue
			}
			return err
		}
		if c.confirm(want, version) {
			return nil
		}
	}
	return nil // the row belongs to another attempt
}

// replace writes or deletes the row of a claim, and returns its new version.
func (c *Claims) replace(ctx context.Context, row chestnutstream.Row, want recentClaim) (uint64, error) {
	write := chestnutstream.Write{Key: want.key, Delete: want.released}
	if !want.released {
		var err error
		if write.Value, err = encodeClaim(want.claim); err != nil {
			return 0, err
		}
	}
	versions, err := c.table.Transact(ctx, []chestnutstream.Check{{Key: want.key, Version: row.Version}}, []chestnutstream.Write{write})
	if err != nil {
		return 0, fmt.Errorf("write claim again: %w", err)
	}
	if want.released {
		return chestnutstream.RowVersion(c.table.Era(), 0), nil
	}
	return versions[want.key], nil
}

// confirm records the version at which the row of a claim has the remembered state. It
// returns false if that state has changed meanwhile.
func (c *Claims) confirm(e recentClaim, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, ok := c.recent.get(e.key)
	if !ok || now.claim.Attempt != e.claim.Attempt {
		return true
	}
	if now.claim.State != e.claim.State || now.released != e.released {
		return false
	}
	now.version = version
	c.remember(now)
	return true
}
