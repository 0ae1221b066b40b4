package workspace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// standbyInterval is the time between reports of a workspace to its standby. It is below
// reportInterval, so that the standby gets all periodic reports and few of the urgent ones.
const standbyInterval = 400 * time.Millisecond

// Instance is what one instance keeps of all quotas: its buckets, the tables of the
// workspaces that it allocates, and where its reports go.
type Instance struct {
	Buckets   *Buckets
	Allocator *Allocator

	self       string
	roles      map[string]*role
	candidates []string
}

// role is where the reports of a workspace go.
type role struct {
	primary, standby string
	former           []string // earlier ones that are still to be told of the change
	standbyAt        time.Duration
	standbyShare     float64 // of the latest report to the standby
}

// NewInstance returns the state of the instance self.
func NewInstance(self string, cfg Settings, boot time.Duration) *Instance {
	return &Instance{Buckets: NewBuckets(cfg, boot), Allocator: NewAllocator(self), self: self, roles: map[string]*role{}}
}

// Step takes the instances as they are known now, and the sorted ones that may be
// allocators. It returns the reports that are due, by receiver, of which this instance may
// be one. It is called at least every second.
func (i *Instance) Step(boot time.Duration, v View, candidates []string) map[string][]Report {
	i.Buckets.SetInstances(v.All)
	i.Allocator.SetView(boot, v)
	i.setRoles(boot, candidates)
	out := map[string][]Report{}
	for _, r := range i.Buckets.DueReports(boot) {
		i.address(boot, r, out)
	}
	return out
}

// GiveUp gives up all shares, at the end of a drain, and returns the reports of it.
func (i *Instance) GiveUp(boot time.Duration) map[string][]Report {
	out := map[string][]Report{}
	for _, r := range i.Buckets.GiveUp(boot) {
		i.address(boot, r, out)
	}
	return out
}

// Roles returns the allocator of a workspace and its standby.
func (i *Instance) Roles(workspace string) (primary, standby string) {
	if r := i.roles[workspace]; r != nil {
		return r.primary, r.standby
	}
	return "", ""
}

// Connected makes the reports to an instance due that has just connected: it may be another
// process than before, or may have missed reports.
func (i *Instance) Connected(name string) {
	for workspace, r := range i.roles {
		if r.primary == name || r.standby == name {
			r.standbyAt = 0
			i.Buckets.AllocatorChanged(workspace)
		}
	}
}

// setRoles finds the allocators and standbys anew if the candidates or the workspaces have
// changed.
func (i *Instance) setRoles(boot time.Duration, candidates []string) {
	names := i.Buckets.Names()
	changed := !slices.Equal(candidates, i.candidates)
	i.candidates = candidates
	for _, name := range names {
		r := i.roles[name]
		if r == nil {
			r = &role{}
			i.roles[name] = r
		} else if !changed {
			continue
		}
		primary, standby := rank(candidates, name)
		if primary == r.primary && standby == r.standby {
			continue
		}
		for _, former := range []string{r.primary, r.standby} {
			if former != "" && former != primary && former != standby && !slices.Contains(r.former, former) {
				r.former = append(r.former, former)
			}
		}
		r.primary, r.standby, r.standbyAt = primary, standby, 0
		i.Allocator.SetPrimary(boot, name, primary == i.self)
		i.Buckets.AllocatorChanged(name)
	}
	if len(i.roles) > len(names) {
		for name := range i.roles {
			if _, ok := slices.BinarySearch(names, name); !ok {
				delete(i.roles, name)
			}
		}
		i.Allocator.Forget(func(name string) bool { return i.roles[name] != nil })
	}
}

// rank returns the allocator of a workspace and its standby: the candidates with the highest
// hashes. They are empty if there are no candidates.
func rank(candidates []string, workspace string) (primary, standby string) {
	var first, second uint64
	for _, c := range candidates {
		switch h := xxhash.Sum64String(c + "\x00workspace\x00" + workspace); {
		case primary == "" || h > first:
			primary, standby, first, second = c, primary, h, first
		case standby == "" || h > second:
			standby, second = c, h
		}
	}
	return primary, standby
}

// address adds a report to those for its receivers.
func (i *Instance) address(boot time.Duration, r Report, out map[string][]Report) {
	to := i.roles[r.Workspace]
	if to == nil {
		return
	}
	r.Primary = false
	for _, name := range to.former {
		out[name] = append(out[name], r)
	}
	to.former = nil
	if to.standby != "" && (to.standbyAt == 0 || boot-to.standbyAt >= standbyInterval || r.Share-to.standbyShare >= largeRaise || r.Final) {
		to.standbyAt, to.standbyShare = boot, r.Share
		out[to.standby] = append(out[to.standby], r)
	}
	if to.primary != "" {
		r.Primary = true
		out[to.primary] = append(out[to.primary], r)
	}
}
