package edge

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Reading of the store for a whole availability zone: calls to it are priced,
// and every instance reading for itself would grow with their number times that
// of the servers. Of the servers' entries, which all change once a second, only
// those are passed on that say something new. The operator's table each instance
// of a small zone reads itself as well, with a feed that waits for long while it
// hears from the reader: the own feed brings a change at once, the reader's words
// bound how late it can be. In larger zones there is no such feed.
const (
	wholePause = 16 * time.Second // between words with all entries that were read, in case that an instance has missed one
	// The instances that one reader tells: of the servers few, since all their entries
	// together are hundreds of kilobytes for each instance, and links are as slow as
	// 10 Mbit/s.
	readersShare        = 40
	readersShareServers = 12
	// ownFeeds is the number of instances of a zone from which on only its readers
	// follow the operator's table: each change would end the feeds of all.
	ownFeeds  = 6
	toldSlack = 350 * time.Millisecond // beyond the pause, until an instance that was told nothing reads itself
	heardMost = 8                      // words of other instances that wait
)

// zoneReaders returns the instances that read a table for this zone, and all
// that are in touch, both in the order that every instance of the zone finds.
func (n *Node) zoneReaders(table string) (readers, all []string) {
	n.mu.Lock()
	if n.leaving.Load() == nil {
		all = append(all, n.cfg.Instance)
	}
	for name, p := range n.peers {
		if p.member.Zone == n.cfg.Zone && !p.leaving {
			all = append(all, name)
		}
	}
	n.mu.Unlock()
	all = slices.DeleteFunc(all, func(name string) bool { return name != n.cfg.Instance && !n.mesh.Linked(name) })
	rank := func(name string) uint64 { return xxhash.Sum64String(table + "\x00" + name) }
	sort.Slice(all, func(i, j int) bool { return rank(all[i]) < rank(all[j]) })
	return all[:readersAmong(table, len(all))], all
}

// readersAmong returns how many of a zone's instances read a table.
func readersAmong(table string, instances int) int {
	share := readersShare
	if table == platform.TableServers {
		share = readersShareServers
	}
	return (instances + share - 1) / share
}

// told waits for a reader's word on a table, unless this instance is a reader
// itself. It returns the version up to which the table is known now. When
// readers are silent the instance reads for itself.
func (n *Node) told(f feed, version uint64) (uint64, bool) {
	readers, _ := n.zoneReaders(f.table)
	if slices.Contains(readers, n.cfg.Instance) || len(readers) == 0 {
		return version, false
	}
	if f.table == platform.TableServers {
		n.mu.Lock()
		clear(n.toldEntries) // another one tells now, and what it tells is not noted here
		n.mu.Unlock()
	}
	silent := time.NewTimer(f.silence())
	defer silent.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return version, false
		case <-silent.C:
			return version, false
		case fed := <-n.heard[f.table]:
			if fed.After > version {
				return version, false // something between was missed
			}
			if fed.To < version {
				continue
			}
			f.fed(fed.Rows)
			n.tookWord(fed)
			n.storeAnswersOthers()
			n.poke()
			return max(version, fed.To), true
		}
	}
}

// storeAnswersOthers ends the feeds under way while the store is lost here and
// another instance reads it: they may have been taken while the store was silent,
// and are never answered then.
func (n *Node) storeAnswersOthers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeState.down {
		n.endPolls()
	}
}

// tellZone tells what this instance has read to its part of the zone.
func (n *Node) tellZone(f feed, after, to uint64, rows []chestnutstream.TableRow) {
	readers, all := n.zoneReaders(f.table)
	mine := slices.Index(readers, n.cfg.Instance)
	if mine < 0 {
		return
	}
	if f.table == platform.TableServers {
		rows = n.newEntries(rows)
	}
	fed := instance.Fed{Table: f.table, After: after, To: to, Rows: rows}
	for i, name := range all[len(readers):] {
		if i%len(readers) == mine {
			n.mesh.Send(name, func(b *instance.Bundle) { b.Fed = append(b.Fed, fed) })
		}
	}
}

// entry is what is passed on of a server's entry: all but the adapters, which
// their engine's owner tells.
type entry struct {
	born             int64
	service, address string
	zone             string
	slots            int
	state            chestnutstream.BackendState
	models           string
}

func newEntry(b chestnutstream.Backend) entry {
	e := entry{born: b.Born, service: b.Service, address: b.Address, zone: b.Zone, slots: b.Slots, state: b.State}
	for _, m := range b.Models {
		e.models += fmt.Sprintf("%s@%d ", m.Name, m.Version)
	}
	return e
}

// newEntries returns the rows that say something new of a server to those who
// have heard what this instance has told so far, and from time to time all. Of a
// server of which there is news all rows go: a late entry may stand behind the one
// that brought it.
func (n *Node) newEntries(rows []chestnutstream.TableRow) []chestnutstream.TableRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	whole := now.Sub(n.toldWhole) >= wholePause
	if whole {
		n.toldWhole = now
	}
	news := map[string]bool{}
	for _, r := range rows {
		news[r.Key] = news[r.Key] || r.Removed || whole
	}
	for key := range news {
		s := n.fleet.Server(key)
		if s == nil {
			delete(n.toldEntries, key)
			news[key] = true
			continue
		}
		e := newEntry(s.Backend)
		if old, ok := n.toldEntries[key]; !ok || old != e {
			news[key] = true
		}
		n.toldEntries[key] = e
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r chestnutstream.TableRow) bool { return !news[r.Key] })
}

// hearFed keeps a reader's word for the loop that follows the table. One that
// does not fit is dropped: the loop reads for itself then. Changes of the
// operator's table are taken at once: small zones read it themselves as well.
func (n *Node) hearFed(f instance.Fed) {
	if f.Table == platform.TableOperator {
		n.operatorRows(f.Rows)
		n.tookWord(f)
	}
	select {
	case n.heard[f.Table] <- f:
	default:
	}
}
