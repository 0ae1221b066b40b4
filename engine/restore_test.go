package engine_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/table"
)

// zone is an availability zone with an engine that ignores fencing tokens, over a table
// service that returns from copies.
type zone struct {
	t         *testing.T
	mu        sync.Mutex // guards era, version and rows
	era       uint64
	version   uint64
	rows      map[string]chestnutstream.Row
	owners    map[string]engine.OwnerRow // the engine's row; its version is that of rows[engineRow]
	instances []*zoneInstance
	fence     uint64
	lost      int // responses of acquisitions to lose
}

const engineRow = "e"

type zoneCopy struct {
	version uint64
	rows    map[string]chestnutstream.Row
	owners  map[string]engine.OwnerRow
}

// zoneInstance is an instance and its client of the table service.
type zoneInstance struct {
	zone      *zone
	name      string
	newest    atomic.Uint64
	cutOff    atomic.Bool
	stopped   bool
	claims    *table.Claims
	lease     *table.Lease
	ownership *engine.Ownership
	renewAt   time.Time
}

func newZone(t *testing.T, era uint64, instances int) *zone {
	z := &zone{t: t, era: era, rows: map[string]chestnutstream.Row{}, owners: map[string]engine.OwnerRow{}}
	for i := range instances {
		z.start(fmt.Sprint("i", i))
	}
	return z
}

func (z *zone) start(name string) *zoneInstance {
	i := &zoneInstance{zone: z, name: name}
	incarnation := fmt.Sprint(name, ".", len(z.instances))
	i.claims = table.NewClaims(i, time.Now)
	i.lease = table.NewLease(i, time.Now, name, incarnation)
	i.ownership = engine.NewOwnership(engine.DefaultOwnershipSettings(table.LeaseDuration), name, incarnation, time.Now())
	i.ownership.Step(time.Now(), engine.ZoneServers{Servers: []chestnutstream.ServerSettings{{Name: engineRow, Kind: chestnutstream.KindEngine}}})
	z.instances = append(z.instances, i)
	return i
}

func (z *zone) copy() zoneCopy {
	z.mu.Lock()
	defer z.mu.Unlock()
	return zoneCopy{z.version, maps.Clone(z.rows), maps.Clone(z.owners)}
}

// copyBeforeAcquisition returns the copy of before the engine was first acquired.
func (z *zone) copyBeforeAcquisition() zoneCopy {
	c := z.copy()
	delete(c.rows, engineRow)
	delete(c.owners, engineRow)
	return c
}

func (z *zone) restore(c zoneCopy) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.era++
	z.version, z.rows, z.owners = c.version, maps.Clone(c.rows), maps.Clone(c.owners)
	for key, row := range z.rows {
		row.Version = chestnutstream.RowVersion(z.era, chestnutstream.VersionCounter(row.Version))
		z.rows[key] = row
	}
}

func (i *zoneInstance) respond() error {
	if i.cutOff.Load() {
		return chestnutstream.ErrUnavailable
	}
	i.zone.mu.Lock()
	era := i.zone.era
	i.zone.mu.Unlock()
	if old := i.newest.Swap(era); old > 0 && old < era {
		i.claims.StoreRestored(era)
	}
	return nil
}

func (i *zoneInstance) Era() uint64          { return i.newest.Load() }
func (i *zoneInstance) Clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (i *zoneInstance) Get(_ context.Context, key string) (chestnutstream.Row, error) {
	if err := i.respond(); err != nil {
		return chestnutstream.Row{}, err
	}
	i.zone.mu.Lock()
	defer i.zone.mu.Unlock()
	return i.zone.rows[key], nil
}

func (i *zoneInstance) Scan(_ context.Context, prefix string) (rows []chestnutstream.Row, err error) {
	if err := i.respond(); err != nil {
		return nil, err
	}
	i.zone.mu.Lock()
	defer i.zone.mu.Unlock()
	for key, row := range i.zone.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (i *zoneInstance) Transact(_ context.Context, checks []chestnutstream.Check, writes []chestnutstream.Write) (map[string]uint64, error) {
	if err := i.respond(); err != nil {
		return nil, err
	}
	z := i.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, c := range checks {
		if c.Version != 0 && chestnutstream.VersionEra(c.Version) != z.era {
			return nil, errors.Wrap(chestnutstream.ErrUnavailable, chestnutstream.ErrStoreRestored.Error())
		}
		if z.rows[c.Key].Version != c.Version {
			return nil, &chestnutstream.ConflictError{Keys: []string{c.Key}}
		}
	}
	z.version++
	versions := map[string]uint64{}
	for _, w := range writes {
		if w.Delete {
			delete(z.rows, w.Key)
			continue
		}
		versions[w.Key] = chestnutstream.RowVersion(z.era, z.version)
		z.rows[w.Key] = chestnutstream.Row{Key: w.Key, Value: w.Value, Version: versions[w.Key]}
	}
	return versions, nil
}

// step does what entry.Node does in a tick.
func (i *zoneInstance) step(alive []string) {
	now := time.Now()
	if !now.Before(i.renewAt) {
		i.renewAt = now.Add(table.LeaseRenewalPeriod)
		_ = i.lease.Renew(context.Background())
	}
	l := i.lease.State()
	i.ownership.Step(now, engine.LeaseState{ValidUntil: l.ValidUntil, Version: l.Version, Era: l.Era, KeptUntil: l.KeptUntil, Incarnation: l.Incarnation})
	actions := i.ownership.Step(now, engine.ZoneTick{Alive: alive})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case engine.ReadOwners:
			if i.respond() != nil {
				continue
			}
			actions = append(actions, i.ownership.Step(now, i.readOwners())...)
		case engine.AcquireRow:
			i.acquire(a)
		case engine.ReleaseRow:
			versions, err := i.Transact(context.Background(), []chestnutstream.Check{{Key: engineRow, Version: a.RowVersion}}, []chestnutstream.Write{{Key: engineRow}})
			if err == nil {
				i.zone.owners[engineRow] = engine.OwnerRow{Fence: a.Fence, Era: chestnutstream.VersionEra(a.RowVersion), Version: versions[engineRow]}
			}
			i.ownership.Step(now, engine.Released{Server: engineRow, Err: err})
		}
	}
}

func (i *zoneInstance) readOwners() engine.OwnerRowsRead {
	z := i.zone
	read := engine.OwnerRowsRead{Owners: maps.Clone(z.owners), Leases: map[string]engine.LeaseRow{}, Era: i.newest.Load(), EraAge: i.claims.EraAge(context.Background())}
	if row, ok := read.Owners[engineRow]; ok {
		ownerRow, err := i.Get(context.Background(), engineRow)
		assert.Check(z.t, err)
		row.Version = ownerRow.Version
		read.Owners[engineRow] = row
		lease, err := i.Get(context.Background(), table.LeaseKey(row.Owner))
		assert.Check(z.t, err)
		incarnation, err := table.LeaseIncarnation(lease)
		assert.Check(z.t, err)
		read.Leases[row.Owner] = engine.LeaseRow{Incarnation: incarnation, Version: lease.Version}
	}
	return read
}

func (i *zoneInstance) acquire(a engine.AcquireRow) {
	z := i.zone
	checks := []chestnutstream.Check{{Key: engineRow, Version: a.RowVersion}, {Key: table.LeaseKey(i.name), Version: a.LeaseVersion}}
	writes := []chestnutstream.Write{{Key: engineRow}}
	if a.OldOwner != "" {
		checks = append(checks, chestnutstream.Check{Key: table.LeaseKey(a.OldOwner), Version: a.OldLeaseVersion})
		writes = append(writes, chestnutstream.Write{Key: table.LeaseKey(a.OldOwner), Delete: true})
	}
	versions, err := i.Transact(context.Background(), checks, writes)
	if err == nil {
		z.owners[engineRow] = engine.OwnerRow{Owner: i.name, Incarnation: i.lease.State().Incarnation, Fence: a.Fence, Era: a.Era, Version: versions[engineRow]}
	}
	if err == nil && z.lost > 0 {
		z.lost--
		err = chestnutstream.ErrUnavailable
	}
	i.ownership.Step(time.Now(), engine.Acquired{Server: engineRow, Fence: a.Fence, RowVersion: versions[engineRow], SentAt: time.Now(), Err: err})
}

// run lets time pass and checks that the engine has one owner, whose tokens never fall.
func (z *zone) run(d time.Duration) (owner string) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		var alive, owners []string
		for _, i := range z.instances {
			if !i.stopped && !i.cutOff.Load() {
				alive = append(alive, i.name)
			}
		}
		for _, i := range z.instances {
			if i.stopped {
				continue
			}
			i.step(alive)
			if h, ok := i.ownership.Valid(time.Now(), engineRow); ok {
				owners = append(owners, i.name)
				assert.Assert(z.t, h.Fence >= z.fence, "the token falls from %d to %d", z.fence, h.Fence)
				z.fence = h.Fence
			}
		}
		assert.Assert(z.t, len(owners) <= 1, "owners %v", owners)
		owner = strings.Join(owners, "")
	}
	return owner
}

func (z *zone) instance(name string) *zoneInstance {
	for _, i := range z.instances {
		if i.name == name && !i.stopped {
			return i
		}
	}
	return nil
}

func TestEngineHasOneOwnerOverRestores(t *testing.T) {
	tests := []struct {
		name string
		play func(z *zone) (want string)
	}{
		{"acquired since the copy: kept and written again", func(z *zone) string {
			owner, c := z.run(20*time.Second), z.copyBeforeAcquisition()
			z.restore(c)
			assert.Equal(z.t, z.run(time.Second), owner)
			return owner
		}},
		{"started since the copy, its lease lost too", func(z *zone) string {
			owner, c := z.run(20*time.Second), z.copyBeforeAcquisition()
			delete(c.rows, table.LeaseKey(owner))
			z.restore(c)
			z.start("new")
			assert.Equal(z.t, z.run(3*time.Second), owner)
			return owner
		}},
		{"acquired since the copy by an instance that is cut off", func(z *zone) string {
			c := z.copyBeforeAcquisition()
			z.instance(z.run(20 * time.Second)).cutOff.Store(true)
			z.restore(c)
			assert.Equal(z.t, z.run(9*time.Second), "")
			return "other"
		}},
		{"a process that starts after the restore", func(z *zone) string {
			owner, c := z.run(20*time.Second), z.copyBeforeAcquisition()
			z.restore(c)
			for n := range 4 {
				z.start(fmt.Sprint("new", n))
			}
			return owner
		}},
		{"taken over since the copy", func(z *zone) string {
			old := z.instance(z.run(20 * time.Second))
			old.cutOff.Store(true)
			z.run(time.Second)
			c := z.copy()
			owner := z.run(20 * time.Second)
			assert.Assert(z.t, owner != old.name && owner != "")
			old.cutOff.Store(false)
			z.restore(c)
			return owner
		}},
		{"owner of the copy has ended", func(z *zone) string {
			old := z.instance(z.run(20 * time.Second))
			c := z.copy()
			old.stopped = true
			z.restore(c)
			return "other"
		}},
		{"two restores from one copy", func(z *zone) string {
			owner, c := z.run(20*time.Second), z.copyBeforeAcquisition()
			z.restore(c)
			z.run(700 * time.Millisecond)
			z.restore(c)
			assert.Equal(z.t, z.run(time.Second), owner)
			return owner
		}},
		{"a response is lost, and another instance is preferred by then", func(z *zone) string {
			owner := z.run(20 * time.Second)
			z.instance(owner).cutOff.Store(true)
			z.lost = 1
			for z.lost > 0 {
				z.run(50 * time.Millisecond)
			}
			z.instance(owner).cutOff.Store(false)
			return "other"
		}},
		{"responses of the acquisition are lost", func(z *zone) string {
			owner, c := z.run(20*time.Second), z.copyBeforeAcquisition()
			z.lost = 1
			z.restore(c)
			z.run(10 * time.Second)
			return owner
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, 1, 3)
				z.run(5 * time.Second)
				want := tt.play(z)
				got := z.run(40 * time.Second)
				assert.Assert(t, got != "", "no owner")
				assert.Assert(t, want == "other" || got == want, "owner %s, want %s", got, want)
			})
		})
	}
}

// Model: at most one owner, and tokens that never fall.
func TestOwnersOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 6).Draw(rt, "step"), rapid.IntRange(0, 2).Draw(rt, "instance"), rapid.IntRange(0, 150).Draw(rt, "ticks")}
		}), 5, 30).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			z := newZone(t, 1, 3)
			z.run(5 * time.Second)
			c := z.copyBeforeAcquisition()
			for _, s := range steps {
				i := z.instance(fmt.Sprint("i", s[1]))
				switch s[0] {
				case 0:
					c = z.copy()
				case 1, 2:
					z.restore(c)
				case 3:
					i.cutOff.Store(!i.cutOff.Load())
				case 4:
					i.stopped = true
					z.start(fmt.Sprint("i", s[1]))
				case 5:
					z.lost = 1
				}
				z.run(time.Duration(s[2]) * 50 * time.Millisecond)
			}
			for _, i := range z.instances {
				i.cutOff.Store(false)
			}
			assert.Assert(t, z.run(time.Minute) != "", "no owner: %v", steps)
		})
	})
}
