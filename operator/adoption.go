package operator

import (
	"sort"

	"github.com/chestnutstream/chestnutstream"
)

// Adoption decides which revision of the configuration document is active on an
// instance. It is a state machine without I/O and not safe for concurrent use.
//
// Invariant: the active revision only increases, and a revision becomes active
// only as a whole: all its sections are present and the document is valid. A
// head may come from the table service or from a peer, since it identifies its
// contents by hash. No section goes back either: a head of a table service that has lost
// sections by returning from a copy is not adopted.
type Adoption struct {
	active           *chestnutstream.Configuration
	target           chestnutstream.Head
	contents         map[string]sectionContent // by hash
	assembler        Assembler
	rejectedRevision uint64 // latest revision that failed validation
}

type sectionContent struct {
	section string
	data    []byte
}

// HeadReceived is the event of a head received from the table service or a peer.
type HeadReceived struct{ Head chestnutstream.Head }

// ContentReceived is the event of a section's content received.
type ContentReceived struct {
	Section string
	Bytes   []byte
}

// AdoptionResult is the result of an event: a newly active configuration, the
// contents still missing for the target revision, or a validation error. All
// fields are zero if nothing changed.
type AdoptionResult struct {
	Configuration *chestnutstream.Configuration // nil: the active configuration did not change
	Missing       []MissingSection
	Err           error // the target is invalid; the active revision stays
}

// MissingSection is a section of the target revision whose content must be
// fetched.
type MissingSection struct {
	Section string
	Hash    string
}

// NewAdoption returns an Adoption without an active configuration.
func NewAdoption() *Adoption { return &Adoption{contents: map[string]sectionContent{}} }

// Current returns the active configuration, or nil.
func (a *Adoption) Current() *chestnutstream.Configuration { return a.active }

// Content returns a section's content by hash, and whether it is known.
func (a *Adoption) Content(hash string) ([]byte, bool) {
	c, ok := a.contents[hash]
	return c.data, ok
}

// Step processes a HeadReceived or ContentReceived event.
func (a *Adoption) Step(event any) AdoptionResult {
	switch e := event.(type) {
	case HeadReceived:
		if e.Head.Revision > a.target.Revision && (a.active == nil || !Lost(a.active.Head, e.Head)) {
			a.target = e.Head
		}
	case ContentReceived:
		a.contents[HashSection(e.Section, e.Bytes)] = sectionContent{e.Section, e.Bytes}
	}
	return a.evaluate()
}

func (a *Adoption) evaluate() AdoptionResult {
	activeRevision := uint64(0)
	if a.active != nil {
		activeRevision = a.active.Revision()
	}
	if a.target.Revision <= activeRevision || a.target.Revision <= a.rejectedRevision {
		return AdoptionResult{}
	}
	sections := map[string][]byte{}
	var missing []MissingSection
	for name, s := range a.target.Sections {
		c, ok := a.contents[s.Hash]
		if !ok {
			missing = append(missing, MissingSection{Section: name, Hash: s.Hash})
			continue
		}
		sections[name] = c.data
	}
	if len(missing) > 0 {
		sort.Slice(missing, func(i, j int) bool { return missing[i].Section < missing[j].Section })
		return AdoptionResult{Missing: missing}
	}
	cfg, err := a.assembler.Assemble(a.target, sections)
	if err != nil {
		a.rejectedRevision = a.target.Revision
		return AdoptionResult{Err: err}
	}
	a.active = cfg
	a.dropUnreferenced()
	return AdoptionResult{Configuration: cfg}
}

// dropUnreferenced removes contents that the active revision does not reference.
func (a *Adoption) dropUnreferenced() {
	referenced := map[string]bool{}
	for _, s := range a.active.Head.Sections {
		referenced[s.Hash] = true
	}
	for hash := range a.contents {
		if !referenced[hash] {
			delete(a.contents, hash)
		}
	}
}
