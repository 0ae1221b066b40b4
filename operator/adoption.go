package operator

import (
	"sort"

	"github.com/chestnutstream/chestnutstream"
)

// Adoption decides which revision of the document is in force on an instance.
//
// Invariant: the revision in force only rises, and a revision comes into force
// whole: all its sections are present and the document checked. Where a head
// comes from, the table service or a peer, makes no difference, since a
// revision names its contents by hash.
type Adoption struct {
	current  *chestnutstream.Configuration
	target   chestnutstream.Head
	contents map[string]content // by hash
	parts    Assembler
	refused  uint64 // highest revision that did not check
}

type content struct {
	section string
	bytes   []byte
}

// HeadSeen is the event that a head was read from the table service or a peer.
type HeadSeen struct{ Head chestnutstream.Head }

// ContentSeen is the event that a section's content arrived.
type ContentSeen struct {
	Section string
	Bytes   []byte
}

// Adopted tells what an event led to: a new configuration in force, or what is
// still missing for the target revision.
type Adopted struct {
	Configuration *chestnutstream.Configuration // nil: none came into force
	Missing       []MissingSection
	Err           error // the target did not check; the revision in force stays
}

// MissingSection is a section whose content has to be fetched.
type MissingSection struct {
	Section string
	Hash    string
}

// NewAdoption returns an adoption with nothing in force.
func NewAdoption() *Adoption { return &Adoption{contents: map[string]content{}} }

// Current returns the configuration in force, or nil.
func (a *Adoption) Current() *chestnutstream.Configuration { return a.current }

// Content returns a section's content by hash, if it is held.
func (a *Adoption) Content(hash string) ([]byte, bool) {
	c, ok := a.contents[hash]
	return c.bytes, ok
}

// Step takes an event and says what came into force or is missing.
func (a *Adoption) Step(event any) Adopted {
	switch e := event.(type) {
	case HeadSeen:
		if e.Head.Revision > a.target.Revision {
			a.target = e.Head
		}
	case ContentSeen:
		a.contents[HashSection(e.Section, e.Bytes)] = content{e.Section, e.Bytes}
	}
	return a.settle()
}

func (a *Adoption) settle() Adopted {
	inForce := uint64(0)
	if a.current != nil {
		inForce = a.current.Revision()
	}
	if a.target.Revision <= inForce || a.target.Revision <= a.refused {
		return Adopted{}
	}
	sections := map[string][]byte{}
	var missing []MissingSection
	for name, s := range a.target.Sections {
		c, ok := a.contents[s.Hash]
		if !ok {
			missing = append(missing, MissingSection{Section: name, Hash: s.Hash})
			continue
		}
		sections[name] = c.bytes
	}
	if len(missing) > 0 {
		sort.Slice(missing, func(i, j int) bool { return missing[i].Section < missing[j].Section })
		return Adopted{Missing: missing}
	}
	cfg, err := a.parts.Assemble(a.target, sections)
	if err != nil {
		a.refused = a.target.Revision
		return Adopted{Err: err}
	}
	a.current = cfg
	a.forget()
	return Adopted{Configuration: cfg}
}

// forget drops contents that the revision in force does not name.
func (a *Adoption) forget() {
	named := map[string]bool{}
	for _, s := range a.current.Head.Sections {
		named[s.Hash] = true
	}
	for hash := range a.contents {
		if !named[hash] {
			delete(a.contents, hash)
		}
	}
}
