package table

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// Two instances that claim the same key at once must not both be granted it,
// also if the store loses responses or is unavailable for a while. After a grant
// a repeated request must get the recorded response.
func TestClaimGrantsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loseEvery := rapid.IntRange(1, 5).Draw(rt, "lose-every")
		attempts := rapid.IntRange(2, 12).Draw(rt, "attempts")
		keys := rapid.IntRange(1, 3).Draw(rt, "keys")
		outage := rapid.Bool().Draw(rt, "outage")
		synctest.Test(t, func(t *testing.T) {
			table := newFakeTable()
			writes := 0
			table.loseResponse = func() bool { writes++; return loseEvery > 1 && writes%loseEvery == 0 }
			if outage {
				table.setDown(true)
				time.AfterFunc(200*time.Millisecond, func() { table.setDown(false) })
			}
			var mu sync.Mutex
			granted := map[string]int{}
			var wg sync.WaitGroup
			for i := range attempts {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c := NewClaims(table, time.Now) // each attempt runs on its own instance
					key := ClaimKey("caller", "desk", fmt.Sprint(i%keys))
					ctx, cancel := contextWithTimeout(time.Second)
					defer cancel()
					verdict, ticket, _, err := c.Claim(ctx, key, fmt.Sprintf("attempt-%d", i), "hash")
					if err != nil || verdict != ClaimGranted {
						return
					}
					mu.Lock()
					granted[key]++
					mu.Unlock()
					c.RecordResponse(ticket, chestnutstream.ServiceResponse{Status: http.StatusCreated, Body: []byte(key)})
				}()
			}
			wg.Wait()
			time.Sleep(5 * time.Minute) // background writes end
			for i := range keys {
				key := ClaimKey("caller", "desk", fmt.Sprint(i))
				assert.Assert(t, granted[key] <= 1, "claim %s: granted %d times, want at most 1", key, granted[key])
				if granted[key] == 0 {
					continue
				}
				ctx, cancel := contextWithTimeout(time.Second)
				verdict, _, found, err := NewClaims(table, time.Now).Claim(ctx, key, "repeat", "hash")
				cancel()
				assert.NilError(t, err)
				assert.Equal(t, verdict, ClaimReplay)
				assert.Equal(t, string(found.Response.Body), key)
			}
			time.Sleep(5 * time.Minute)
		})
	})
}

// If the store fails after it has written a claim, the attempt is refused. The
// claim must be deleted once the store is back, or else it blocks every later
// attempt of the key.
func TestUnconfirmedClaimIsDeletedAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		first := true
		// The first write takes effect, but its response is lost and the store is
		// down from then on.
		table.loseResponse = func() bool {
			if first {
				first = false
				table.down = true
				return true
			}
			return false
		}
		c := NewClaims(table, time.Now)
		key := ClaimKey("caller", "desk", "k")
		ctx, cancel := contextWithTimeout(time.Second)
		defer cancel()
		_, _, _, err := c.Claim(ctx, key, "attempt-1", "hash")
		assert.Assert(t, errors.Is(err, chestnutstream.ErrUnavailable))
		table.setDown(false)
		time.Sleep(5 * time.Second) // the unconfirmed claim is deleted
		ctx2, cancel2 := contextWithTimeout(time.Second)
		defer cancel2()
		verdict, _, _, err := c.Claim(ctx2, key, "attempt-2", "hash")
		assert.NilError(t, err)
		assert.Equal(t, verdict, ClaimGranted)
	})
}

func TestEvaluateClaim(t *testing.T) {
	pending := Claim{Attempt: "a", RequestHash: "h", State: ClaimPending}
	done := Claim{Attempt: "a", RequestHash: "h", State: ClaimDone}
	tests := []struct {
		name    string
		claim   Claim
		attempt string
		hash    string
		want    ClaimVerdict
	}{
		{"own attempt after a lost response of the store", pending, "a", "h", ClaimGranted},
		{"another attempt without a recorded outcome", pending, "b", "h", ClaimUnknown},
		{"another attempt with a recorded outcome", done, "b", "h", ClaimReplay},
		{"key used for a different request", done, "b", "other", ClaimMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, EvaluateClaim(tt.claim, tt.attempt, tt.hash), tt.want)
		})
	}
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		c := NewClaims(table, time.Now)
		ctx, cancel := contextWithTimeout(72 * time.Hour)
		defer cancel()
		old, fresh := ClaimKey("caller", "desk", "old"), ClaimKey("caller", "desk", "fresh")
		_, _, _, err := c.Claim(ctx, old, "a", "h")
		assert.NilError(t, err)
		time.Sleep(ClaimRetention)
		_, _, _, err = c.Claim(ctx, fresh, "b", "h")
		assert.NilError(t, err)
		for p := range claimPartitions {
			_, err := c.Sweep(ctx, p)
			assert.NilError(t, err)
		}
		assert.Equal(t, table.rows[old].Version, uint64(0))
		assert.Assert(t, table.rows[fresh].Version > 0)
	})
}

// Guards against transactions that the store refuses because they have too many entries.
func TestManyClaimsAreCommittedAndSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		c := NewClaims(table, time.Now)
		ctx, cancel := contextWithTimeout(5 * time.Second)
		defer cancel()
		var keys []string // of one partition
		for i := 0; len(keys) < maxSweepDeletes+20; i++ {
			if k := ClaimKey("caller", "desk", fmt.Sprint(i)); strings.HasPrefix(k, ClaimPrefix+"07/") {
				keys = append(keys, k)
			}
		}
		var wg sync.WaitGroup
		for _, k := range keys {
			wg.Go(func() {
				verdict, _, _, err := c.Claim(ctx, k, "a", "h")
				assert.Check(t, err == nil && verdict == ClaimGranted, "%v: %v", verdict, err)
			})
		}
		wg.Wait()
		time.Sleep(ClaimRetention)
		for _, want := range []int{maxSweepDeletes, 20, 0} {
			deleted, err := c.Sweep(t.Context(), 7)
			assert.Check(t, err == nil && deleted == want, "%d claims deleted, want %d: %v", deleted, want, err)
		}
		assert.Equal(t, len(table.rows), 0)
	})
}

// A lease is valid after a renewal whose response was lost. After another
// instance has deleted its row, it is invalid and can only be acquired again
// under a new incarnation.
func TestLeaseTakeoverAndLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		l := NewLease(table, time.Now, "i", "run")
		ctx, cancel := contextWithTimeout(time.Hour)
		defer cancel()
		table.loseResponse = func() bool { return true }
		sent := time.Now()
		assert.NilError(t, l.Renew(ctx))
		assert.Equal(t, l.State().ValidUntil, sent.Add(LeaseDuration-LeaseSafetyMargin))
		table.loseResponse = nil
		_, err := table.Transact(ctx, nil, []chestnutstream.Write{{Key: LeaseKey("i"), Delete: true}})
		assert.NilError(t, err)
		time.Sleep(LeaseRenewalPeriod)
		assert.Assert(t, isConflict(l.Renew(ctx)))
		assert.Assert(t, l.State().ValidUntil.IsZero())
		assert.Equal(t, l.State().Incarnation, "run.1")
		assert.NilError(t, l.Renew(ctx))
		assert.Assert(t, time.Now().Before(l.State().ValidUntil))
	})
}
