package table

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// orderPlay plays instances that claim and run orders over restores of the store.
type orderPlay struct {
	t        *testing.T
	store    *fakeTable
	attempts int
	ran      map[string]int
}

type orderInstance struct {
	play   *orderPlay
	client *tableClient
	claims *Claims
}

func newOrderPlay(t *testing.T, era uint64) *orderPlay {
	p := &orderPlay{t: t, store: newFakeTable(), ran: map[string]int{}}
	p.store.era = era
	return p
}

func (p *orderPlay) start() *orderInstance {
	client := &tableClient{fakeTable: p.store}
	i := &orderInstance{p, client, NewClaims(client, time.Now)}
	client.respond()
	client.onRestore = i.claims.StoreRestored
	return i
}

// learn makes all instances call the store, as renewals of leases do.
func learn(instances ...*orderInstance) {
	for _, i := range instances {
		i.client.respond()
	}
	time.Sleep(time.Second)
}

func (i *orderInstance) claim(key string) (ClaimVerdict, ClaimTicket, Claim) {
	i.play.attempts++
	ctx, cancel := contextWithTimeout(2 * time.Second)
	defer cancel()
	verdict, ticket, claim, err := i.claims.Claim(ctx, ClaimKey("caller", "desk", key), fmt.Sprint("attempt-", i.play.attempts), "hash")
	if err != nil {
		return "", ticket, claim
	}
	if verdict == ClaimGranted {
		i.play.ran[key]++
	}
	return verdict, ticket, claim
}

func (i *orderInstance) run(key string) ClaimVerdict {
	verdict, ticket, _ := i.claim(key)
	if verdict == ClaimGranted {
		i.claims.RecordResponse(ticket, chestnutstream.ServiceResponse{Status: http.StatusCreated, Body: []byte(key)})
		time.Sleep(100 * time.Millisecond)
	}
	return verdict
}

func (p *orderPlay) want(i *orderInstance, key string, verdicts ...ClaimVerdict) {
	p.t.Helper()
	for n, want := range verdicts {
		if n > 0 {
			time.Sleep(ClaimSettleTime)
		}
		got, ticket, claim := i.claim(key)
		assert.Equal(p.t, got, want, "claim %d of %s", n, key)
		switch got {
		case ClaimReplay:
			assert.Equal(p.t, string(claim.Response.Body), key)
		case ClaimGranted:
			i.claims.RecordResponse(ticket, chestnutstream.ServiceResponse{Body: []byte(key)})
			time.Sleep(time.Second)
		}
	}
}

func TestOrderWhoseClaimIsLostRunsOnce(t *testing.T) {
	tests := []struct {
		name string
		era  uint64
		play func(p *orderPlay, a, b *orderInstance)
	}{
		{"repeat at once, at the instance that ran it", 1, func(p *orderPlay, a, _ *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			p.want(a, "k", ClaimReplay, ClaimReplay)
		}},
		{"repeat at another instance", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			p.want(b, "k", ClaimUnsettled)
			learn(a, b)
			p.want(b, "k", ClaimReplay, ClaimReplay)
		}},
		{"a store that stated no era until then", 0, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay)
			p.want(b, "new", ClaimUnsettled, ClaimGranted)
		}},
		{"claimed, not answered yet", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			_, ticket, _ := a.claim("k")
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimUnsettled, ClaimUnknown)
			a.claims.RecordResponse(ticket, chestnutstream.ServiceResponse{Body: []byte("k")})
			time.Sleep(time.Second)
			p.want(b, "k", ClaimReplay)
		}},
		{"its response lost", 1, func(p *orderPlay, a, b *orderInstance) {
			_, ticket, _ := a.claim("k")
			c := p.store.copy()
			a.claims.RecordResponse(ticket, chestnutstream.ServiceResponse{Body: []byte("k")})
			time.Sleep(time.Second)
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay, ClaimReplay)
		}},
		{"written, its answer lost around the restore", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			p.store.loseResponse = func() bool {
				p.store.loseResponse = nil
				p.store.restoreLocked(c)
				return true
			}
			p.want(a, "k", ClaimUnsettled)
			p.want(b, "k", ClaimUnsettled, ClaimGranted, ClaimReplay)
		}},
		{"released, and in the copy again", 1, func(p *orderPlay, a, b *orderInstance) {
			_, ticket, _ := a.claim("k")
			p.ran["k"] = 0 // no server took it
			c := p.store.copy()
			a.claims.Release(ticket)
			time.Sleep(time.Second)
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimUnsettled, ClaimGranted, ClaimReplay)
		}},
		{"released, claimed by another, and in the copy again", 1, func(p *orderPlay, a, b *orderInstance) {
			_, ticket, _ := a.claim("k")
			p.ran["k"] = 0
			c := p.store.copy()
			a.claims.Release(ticket)
			time.Sleep(time.Second)
			b.run("k")
			p.store.restore(c)
			learn(b, a)
			p.want(a, "k", ClaimReplay, ClaimReplay)
		}},
		{"the instance that ran it has ended", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			p.want(b, "k", ClaimUnsettled)
			time.Sleep(ClaimSettleTime / 2)
			p.want(p.start(), "k", ClaimUnsettled)
			p.want(b, "k", ClaimUnsettled)
		}},
		{"all instances started again", 1, func(p *orderPlay, a, _ *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			p.want(p.start(), "k", ClaimUnsettled)
			time.Sleep(ClaimSettleTime - time.Second)
			late := p.start()
			p.want(late, "k", ClaimUnsettled)
			time.Sleep(time.Second)
			p.want(late, "new", ClaimGranted)
		}},
		{"no instance had noted an era in the copy", 0, func(p *orderPlay, a, _ *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			learn(a)
			p.want(p.start(), "new", ClaimUnsettled, ClaimGranted)
		}},
		{"a process started before any other noted the era", 0, func(p *orderPlay, a, _ *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			p.want(p.start(), "new", ClaimGranted)
			learn(a)
			p.want(p.start(), "k", ClaimReplay)
			p.want(p.start(), "other", ClaimUnsettled, ClaimGranted)
		}},
		{"not granted, and in the copy", 1, func(p *orderPlay, a, b *orderInstance) {
			p.store.loseResponse = func() bool { p.store.down = true; return true }
			p.want(a, "k", "")
			p.store.loseResponse = nil
			c := p.store.copy()
			p.store.setDown(false)
			time.Sleep(10 * time.Second)
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimUnsettled, ClaimGranted)
		}},
		{"released and claimed again where it was claimed first", 1, func(p *orderPlay, a, b *orderInstance) {
			_, ticket, _ := a.claim("k")
			p.ran["k"] = 0
			c := p.store.copy()
			a.claims.Release(ticket)
			time.Sleep(time.Second)
			a.run("k")
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay)
		}},
		{"store away again once an instance has noted the era", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			a.client.setCutOff(true)
			learn(b)
			p.store.setDown(true)
			time.Sleep(ClaimSettleTime / 2)
			a.client.setCutOff(false)
			p.store.setDown(false)
			learn(a, b)
			p.want(b, "k", ClaimReplay, ClaimReplay)
		}},
		{"two restores, the second from the same copy", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("k")
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay)
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay, ClaimReplay)
		}},
		{"long outage before the restore", 1, func(p *orderPlay, a, b *orderInstance) {
			c := p.store.copy()
			a.run("earlier")
			a.run("k")
			p.store.setDown(true)
			time.Sleep(3 * recentClaimAge)
			p.store.setDown(false)
			p.store.restore(c)
			learn(a, b)
			p.want(b, "k", ClaimReplay)
			p.want(b, "earlier", ClaimReplay)
		}},
		{"store away, at the instance that ran it", 1, func(p *orderPlay, a, _ *orderInstance) {
			a.run("k")
			p.store.setDown(true)
			p.want(a, "k", ClaimReplay)
			p.store.setDown(false)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOrderPlay(t, tt.era)
				a, b := p.start(), p.start()
				p.want(a, "first", ClaimGranted)
				p.want(b, "first", ClaimReplay)
				tt.play(p, a, b)
				for key, n := range p.ran {
					assert.Equal(t, n, 1, "runs of %s", key)
				}
				time.Sleep(5 * time.Minute) // background writes end
			})
		})
	}
}

// Model: no order of a key runs twice, over restores, lost responses and instances that are
// cut off from the store.
func TestOrdersOverRestoresRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [4]int {
			return [4]int{
				rapid.IntRange(0, 9).Draw(rt, "step"), rapid.IntRange(0, 2).Draw(rt, "instance"),
				rapid.IntRange(0, 2).Draw(rt, "key"), rapid.IntRange(0, 4000).Draw(rt, "ms"),
			}
		}), 5, 40).Draw(rt, "steps")
		loseEvery := rapid.IntRange(1, 6).Draw(rt, "lose-every")
		synctest.Test(t, func(t *testing.T) {
			p := newOrderPlay(t, 1)
			writes := 0
			p.store.loseResponse = func() bool { writes++; return loseEvery > 1 && writes%loseEvery == 0 }
			instances := []*orderInstance{p.start(), p.start(), p.start()}
			copies := p.store.copy()
			copiedAt := time.Now()
			for _, s := range steps {
				i, key, d := instances[s[1]], fmt.Sprint(s[2]), time.Duration(s[3])*time.Millisecond
				switch s[0] {
				case 0:
					copies, copiedAt = p.store.copy(), time.Now()
				case 1:
					if time.Since(copiedAt) < recentClaimAge/2 {
						p.store.restore(copies)
					}
				case 2:
					i.client.setCutOff(true)
					time.AfterFunc(d, func() { i.client.setCutOff(false) })
				case 3:
					time.Sleep(d * 10)
				default:
					verdict, ticket, _ := i.claim(key)
					if verdict != ClaimGranted {
						break
					}
					time.AfterFunc(d, func() {
						i.claims.RecordResponse(ticket, chestnutstream.ServiceResponse{Body: []byte(key)})
					})
				}
				time.Sleep(d / 4)
				for _, i := range instances {
					i.client.respond()
				}
			}
			time.Sleep(10 * time.Minute)
			for key, n := range p.ran {
				assert.Assert(t, n <= 1, "key %s ran %d times", key, n)
			}
		})
	})
}
