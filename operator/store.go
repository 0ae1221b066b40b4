package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// Keys and key prefixes of the document: headKey, changePrefix and historyPrefix
// in the table service, objectPrefix in the object store.
const (
	headKey       = "configuration/head"
	changePrefix  = "configuration/change/"
	historyPrefix = "configuration/history/"
	objectPrefix  = "configuration/"
)

// restoreRevisions is the distance of the revisions of two eras: more than are given out in the
// time that the table service can lose by returning from a copy.
const restoreRevisions = 1_000_000

// maxHistoryChanges limits the changes kept in the history.
const maxHistoryChanges = 1000

// ConflictError is returned by a put whose base is no longer the section's
// revision: another put was committed first.
type ConflictError struct {
	Section string
	Base    uint64 // section revision that the put was based on
	Current uint64 // section revision now
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Base > e.Current {
		return fmt.Sprintf("section %s is at revision %d, this change is based on revision %d: the store has returned from a copy and has lost it: put the whole section again, based on revision %d", e.Section, e.Current, e.Base, e.Current)
	}
	return fmt.Sprintf("section %s was changed at revision %d, this change is based on revision %d: get it again and repeat the change", e.Section, e.Current, e.Base)
}

// NotOwnerError is returned for a put by a team that does not own the section.
type NotOwnerError struct{ Section, Team string }

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("section %s does not belong to team %s", e.Section, e.Team)
}

// Change is one accepted put.
type Change struct {
	ID       string
	Revision uint64
	Section  string
	Team     string
	Base     uint64
	At       time.Time
}

type storedHead struct {
	Revision uint64                       `json:"revision"`
	Era      uint64                       `json:"era,omitempty"` // of the table service, when the head was written
	Sections map[string]storedSectionHead `json:"sections"`
}

type storedSectionHead struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
}

type storedChange struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Section  string    `json:"section"`
	Team     string    `json:"team"`
	Base     uint64    `json:"base"`
	At       time.Time `json:"at"`
}

// Table is a table service that may return from an older copy. Each time its era rises.
type Table interface {
	chestnutstream.Table
	Era() uint64 // the newest era that is known, 0 if none is
}

// Store stores the document on the platform: the head in one row of the table
// service, the sections' contents in the object store by hash.
type Store struct {
	table   Table
	objects chestnutstream.Objects
	now     func() time.Time

	mu           sync.Mutex
	assembler    Assembler
	contentCache map[string][]byte // contents of the head that the last put read, by hash
}

// NewStore returns a Store for the document in t and o.
func NewStore(t Table, o chestnutstream.Objects, now func() time.Time) *Store {
	return &Store{table: t, objects: o, now: now}
}

// Head reads the head. Its revision is 0 if there is no document.
func (s *Store) Head(ctx context.Context) (chestnutstream.Head, error) {
	current, err := s.readHead(ctx)
	return current.head, err
}

// currentHead is the head in the table service.
type currentHead struct {
	head       chestnutstream.Head
	writtenEra uint64
	era        uint64 // of the table service
	version    uint64 // of the row; 0: there is none
}

// nextRevision returns the revision of the next change. In each era it is above all revisions of
// earlier ones, which the table service may have lost.
func (c currentHead) nextRevision() uint64 {
	if c.version != 0 && c.era > c.writtenEra {
		return (c.head.Revision/restoreRevisions + c.era - c.writtenEra) * restoreRevisions
	}
	return c.head.Revision + 1
}

func (s *Store) readHead(ctx context.Context) (currentHead, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil {
		return currentHead{}, fmt.Errorf("read configuration head: %w", err)
	}
	if row.Version == 0 {
		return currentHead{head: chestnutstream.Head{Sections: map[string]chestnutstream.SectionHead{}}, era: s.table.Era()}, nil
	}
	var stored storedHead
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return currentHead{}, fmt.Errorf("read configuration head: decode: %w", err)
	}
	return currentHead{decodeHead(stored), stored.Era, chestnutstream.VersionEra(row.Version), row.Version}, nil
}

func decodeHead(stored storedHead) chestnutstream.Head {
	head := chestnutstream.Head{Revision: stored.Revision, Sections: map[string]chestnutstream.SectionHead{}}
	for name, sec := range stored.Sections {
		head.Sections[name] = chestnutstream.SectionHead{Revision: sec.Revision, Hash: sec.Hash}
	}
	return head
}

func encodeHead(head chestnutstream.Head, era uint64) ([]byte, error) {
	stored := storedHead{Revision: head.Revision, Era: era, Sections: map[string]storedSectionHead{}}
	for name, sec := range head.Sections {
		stored.Sections[name] = storedSectionHead{Revision: sec.Revision, Hash: sec.Hash}
	}
	return json.Marshal(stored)
}

// Content reads a section's content by hash.
func (s *Store) Content(ctx context.Context, hash string) ([]byte, error) {
	b, err := s.objects.GetObject(ctx, objectPrefix+hash)
	if err != nil {
		return nil, fmt.Errorf("read section content: %w", err)
	}
	return b, nil
}

// maxPutAttempts limits the attempts of one put when other puts change the head
// concurrently or responses are lost.
const maxPutAttempts = 20

// Put changes one section. base is the section revision that the change was made
// from. id identifies the change: puts with the same id take effect at most once.
// It returns the accepted change, a *ConflictError, a *DocumentError or a
// *NotOwnerError. chestnutstream.ErrUnavailable means that the change may or may
// not have taken effect; the put can be repeated with the same id.
func (s *Store) Put(ctx context.Context, team, section string, base uint64, id string, body []byte) (Change, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = 10 * time.Millisecond
	var err error
	for range maxPutAttempts {
		var change Change
		change, err = s.putOnce(ctx, team, section, base, id, body)
		var conflict *chestnutstream.ConflictError
		if err == nil || (!errors.As(err, &conflict) && !errors.Is(err, chestnutstream.ErrUnavailable)) {
			return change, err
		}
		select {
		case <-ctx.Done():
			return Change{}, fmt.Errorf("put section %s: %w", section, err)
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
	return Change{}, fmt.Errorf("put section %s: %w", section, err)
}

func (s *Store) putOnce(ctx context.Context, team, section string, base uint64, id string, body []byte) (Change, error) {
	// The change row is read first: it shows whether an earlier attempt whose
	// response was lost took effect, and makes repeated puts idempotent.
	existing, err := s.table.Get(ctx, changePrefix+id)
	if err != nil {
		return Change{}, fmt.Errorf("read change %s: %w", id, err)
	}
	if existing.Version != 0 {
		return decodeChange(existing.Value)
	}
	current, err := s.readHead(ctx)
	if err != nil {
		return Change{}, err
	}
	if revision := current.head.Sections[section].Revision; revision != base {
		return Change{}, &ConflictError{Section: section, Base: base, Current: revision}
	}
	next, err := s.nextHead(ctx, current, team, section, body)
	if err != nil {
		return Change{}, err
	}
	hash := next.Sections[section].Hash
	if err := s.objects.PutObject(ctx, objectPrefix+hash, body); err != nil {
		return Change{}, fmt.Errorf("write section content: %w", err)
	}
	change := Change{ID: id, Revision: next.Revision, Section: section, Team: team, Base: base, At: s.now()}
	return change, s.commit(ctx, current, next, change)
}

// Lost reports whether sections of a head that is in force are newer than those of the head in the
// table service, which has returned from a copy.
func Lost(inForce, head chestnutstream.Head) bool {
	for name, sec := range inForce.Sections {
		if sec.Revision > head.Sections[name].Revision {
			return true
		}
	}
	return false
}

// Rewrite writes the sections of a head that is in force again, as far as the table service has
// lost them. content returns the content of a section by hash.
func (s *Store) Rewrite(ctx context.Context, inForce chestnutstream.Head, content func(hash string) ([]byte, bool)) error {
	current, err := s.readHead(ctx)
	if err != nil || !Lost(inForce, current.head) {
		return err
	}
	next := chestnutstream.Head{Revision: max(current.nextRevision(), inForce.Revision+1), Sections: maps.Clone(current.head.Sections)}
	for name, sec := range inForce.Sections {
		if sec.Revision <= next.Sections[name].Revision {
			continue
		}
		body, ok := content(sec.Hash)
		if !ok {
			return fmt.Errorf("write section %s again: its content is not known any more", name)
		}
		if err := s.objects.PutObject(ctx, objectPrefix+sec.Hash, body); err != nil {
			return fmt.Errorf("write section %s again: %w", name, err)
		}
		next.Sections[name] = sec
	}
	if err := s.validate(ctx, next); err != nil {
		return fmt.Errorf("write lost sections again: %w", err)
	}
	value, err := encodeHead(next, current.era)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	checks := []chestnutstream.Check{{Key: headKey, Version: current.version}}
	if _, err := s.table.Transact(ctx, checks, []chestnutstream.Write{{Key: headKey, Value: value}}); err != nil {
		return fmt.Errorf("write lost sections again: %w", err)
	}
	return nil
}

// validate fails if the document of a head is invalid.
func (s *Store) validate(ctx context.Context, head chestnutstream.Head) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sections, err := s.readContents(ctx, head)
	if err != nil {
		return err
	}
	_, err = s.assembler.Assemble(head, sections)
	return err
}

// nextHead returns the head with the change applied, after checking that the
// team may change the section and that the new document is valid. Ownership is
// not checked if the current document is invalid.
func (s *Store) nextHead(ctx context.Context, current currentHead, team, section string, body []byte) (chestnutstream.Head, error) {
	head := current.head
	s.mu.Lock()
	defer s.mu.Unlock()
	sections, err := s.readContents(ctx, head)
	if err != nil {
		return chestnutstream.Head{}, err
	}
	currentConfig, err := s.assembler.Assemble(head, sections)
	if err == nil && !MayPut(currentConfig, section, team) {
		return chestnutstream.Head{}, &NotOwnerError{Section: section, Team: team}
	}
	next := chestnutstream.Head{Revision: current.nextRevision(), Sections: map[string]chestnutstream.SectionHead{}}
	for name, sec := range head.Sections {
		next.Sections[name] = sec
	}
	next.Sections[section] = chestnutstream.SectionHead{Revision: next.Revision, Hash: HashSection(section, body)}
	sections[section] = body
	if _, err := s.assembler.Assemble(next, sections); err != nil {
		return chestnutstream.Head{}, err
	}
	return next, nil
}

// readContents returns the contents of the head's sections by section name, and
// caches them for the next call. s.mu must be held.
func (s *Store) readContents(ctx context.Context, head chestnutstream.Head) (map[string][]byte, error) {
	sections, cache := map[string][]byte{}, map[string][]byte{}
	for name, sec := range head.Sections {
		content, ok := s.contentCache[sec.Hash]
		if !ok {
			var err error
			if content, err = s.Content(ctx, sec.Hash); err != nil {
				return nil, err
			}
		}
		sections[name], cache[sec.Hash] = content, content
	}
	s.contentCache = cache
	return sections, nil
}

// commit writes the head, the change and the history entry in one transaction,
// which also deletes the change that exceeds maxHistoryChanges.
func (s *Store) commit(ctx context.Context, current currentHead, next chestnutstream.Head, change Change) error {
	headValue, err := encodeHead(next, current.era)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	changeValue, err := encodeChange(change)
	if err != nil {
		return err
	}
	checks := []chestnutstream.Check{{Key: headKey, Version: current.version}, {Key: changePrefix + change.ID}}
	writes := []chestnutstream.Write{
		{Key: headKey, Value: headValue},
		{Key: changePrefix + change.ID, Value: changeValue},
		{Key: historyKey(change.Revision), Value: changeValue},
	}
	if change.Revision > maxHistoryChanges {
		evictedKey := historyKey(change.Revision - maxHistoryChanges)
		if row, err := s.table.Get(ctx, evictedKey); err == nil && row.Version != 0 {
			writes = append(writes, chestnutstream.Write{Key: evictedKey, Delete: true})
			if c, err := decodeChange(row.Value); err == nil {
				writes = append(writes, chestnutstream.Write{Key: changePrefix + c.ID, Delete: true})
			}
		}
	}
	if _, err := s.table.Transact(ctx, checks, writes); err != nil {
		return fmt.Errorf("commit revision %d: %w", next.Revision, err)
	}
	return nil
}

func historyKey(revision uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, revision) }

// History returns the last maxHistoryChanges accepted changes, oldest first.
func (s *Store) History(ctx context.Context) ([]Change, error) {
	rows, err := s.table.Scan(ctx, historyPrefix)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		c, err := decodeChange(row.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func encodeChange(c Change) ([]byte, error) {
	b, err := json.Marshal(storedChange{c.ID, c.Revision, c.Section, c.Team, c.Base, c.At})
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return b, nil
}

func decodeChange(b []byte) (Change, error) {
	var stored storedChange
	if err := json.Unmarshal(b, &stored); err != nil {
		return Change{}, fmt.Errorf("decode change: %w", err)
	}
	return Change{stored.ID, stored.Revision, stored.Section, stored.Team, stored.Base, stored.At}, nil
}
