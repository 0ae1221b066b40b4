package table

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// Over many instances that claim the same keys at once, while answers of the
// store are lost and the store goes away, each key is granted at most once
// between two releases, and a recorded answer is what a repeat gets.
func TestClaimGrantsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lossEvery := rapid.IntRange(1, 5).Draw(rt, "lose-every")
		attempts := rapid.IntRange(2, 12).Draw(rt, "attempts")
		keys := rapid.IntRange(1, 3).Draw(rt, "keys")
		outage := rapid.Bool().Draw(rt, "outage")
		synctest.Test(t, func(t *testing.T) {
			table := newFakeTable()
			writes := 0
			table.lose = func() bool { writes++; return lossEvery > 1 && writes%lossEvery == 0 }
			if outage {
				table.set(true)
				time.AfterFunc(200*time.Millisecond, func() { table.set(false) })
			}
			var mu sync.Mutex
			granted := map[string]int{}
			var wg sync.WaitGroup
			for i := range attempts {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c := NewClaims(table, time.Now) // each attempt at an instance of its own
					key := ClaimKey("caller", "desk", fmt.Sprint(i%keys))
					ctx, cancel := within(time.Second)
					defer cancel()
					verdict, ticket, _, err := c.Claim(ctx, key, fmt.Sprintf("attempt-%d", i), "hash")
					if err != nil || verdict != ClaimGranted {
						return
					}
					mu.Lock()
					granted[key]++
					mu.Unlock()
					c.Settle(ticket, chestnutstream.ServiceAnswer{Status: http.StatusCreated, Body: []byte(key)})
				}()
			}
			wg.Wait()
			time.Sleep(5 * time.Minute) // background settlements end
			for i := range keys {
				key := ClaimKey("caller", "desk", fmt.Sprint(i))
				assert.Assert(t, granted[key] <= 1, "%s was granted %d times", key, granted[key])
				if granted[key] == 0 {
					continue
				}
				ctx, cancel := within(time.Second)
				verdict, _, found, err := NewClaims(table, time.Now).Claim(ctx, key, "repeat", "hash")
				cancel()
				assert.NilError(t, err)
				assert.Equal(t, verdict, ClaimReplay)
				assert.Equal(t, string(found.Answer.Body), key)
			}
			time.Sleep(5 * time.Minute)
		})
	})
}

func TestClaimWhileStoreIsDownIsRefusedAndTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		first := true
		// The first write takes effect, its answer is lost, and the store is down
		// from then on.
		table.lose = func() bool {
			if first {
				first = false
				table.down = true
				return true
			}
			return false
		}
		c := NewClaims(table, time.Now)
		key := ClaimKey("caller", "desk", "k")
		ctx, cancel := within(time.Second)
		defer cancel()
		_, _, _, err := c.Claim(ctx, key, "attempt-1", "hash")
		assert.Assert(t, errors.Is(err, chestnutstream.ErrUnavailable))
		table.set(false)
		time.Sleep(5 * time.Second) // the claim that stood is taken back
		ctx2, cancel2 := within(time.Second)
		defer cancel2()
		verdict, _, _, err := c.Claim(ctx2, key, "attempt-2", "hash")
		assert.NilError(t, err)
		assert.Equal(t, verdict, ClaimGranted)
	})
}

func TestJudgeClaim(t *testing.T) {
	open := Claim{Attempt: "a", RequestHash: "h", State: ClaimOpen}
	done := Claim{Attempt: "a", RequestHash: "h", State: ClaimDone}
	tests := []struct {
		name    string
		claim   Claim
		attempt string
		hash    string
		want    ClaimVerdict
	}{
		{"own attempt, answer of the store lost", open, "a", "h", ClaimGranted},
		{"another attempt without outcome", open, "b", "h", ClaimUnknown},
		{"another attempt with outcome", done, "b", "h", ClaimReplay},
		{"key used for another request", done, "b", "other", ClaimMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, JudgeClaim(tt.claim, tt.attempt, tt.hash), tt.want)
		})
	}
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		c := NewClaims(table, time.Now)
		ctx, cancel := within(72 * time.Hour)
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

// A lease whose row was taken by another instance is not held, and comes back
// as another incarnation; a renewal whose answer was lost is held all the same.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		l := NewLease(table, time.Now, "i", "run")
		ctx, cancel := within(time.Hour)
		defer cancel()
		table.lose = func() bool { return true }
		sent := time.Now()
		assert.NilError(t, l.Renew(ctx))
		assert.Equal(t, l.State().ValidUntil, sent.Add(LeaseDuration-LeaseSafety))
		table.lose = nil
		_, err := table.Transact(ctx, nil, []chestnutstream.Write{{Key: LeaseKey("i"), Delete: true}})
		assert.NilError(t, err)
		time.Sleep(LeaseRenewal)
		assert.Assert(t, isConflict(l.Renew(ctx)))
		assert.Assert(t, l.State().ValidUntil.IsZero())
		assert.Equal(t, l.State().Incarnation, "run.1")
		assert.NilError(t, l.Renew(ctx))
		assert.Assert(t, time.Now().Before(l.State().ValidUntil))
	})
}
