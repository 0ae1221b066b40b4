// Package operator manages the configuration document: it parses and validates
// the document, decides which revision is active, commits changes, and serves
// the operators' HTTP interface.
//
// # Usage
//
// A document is a YAML mapping of sections, in kebab case. Each section is
// changed separately and may be owned by teams; `adapters` may be split by team
// into `adapters/TEAM`:
//
//	classes:
//	  - {name: doorway-question, urgency: 90, timeout-ms: 8000, queue-limit: 256}
//	adapters/dunedin:
//	  - {name: encaustic-1, base-model: base, versions: [v1], current: v1, may-use: ["*"]}
//
//	cfg, err := operator.Assemble(head, sections)
//
// Errors state the section, the line and the YAML path of the fault.
package operator

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/chestnutstream/chestnutstream"
)

// MaxSectionBytes limits the content of one section.
const MaxSectionBytes = 4 << 20

// DocumentError describes a fault in a document and its position.
type DocumentError struct {
	Section string
	Line    int    // in the section's content, from 1; 0 if unknown
	Path    string // YAML path, such as "$[3].urgency"
	Reason  string
}

// Error implements error.
func (e *DocumentError) Error() string {
	msg := "section " + e.Section
	if e.Line > 0 {
		msg += fmt.Sprintf(", line %d", e.Line)
	}
	if e.Path != "" {
		msg += ", " + e.Path
	}
	return msg + ": " + e.Reason
}

// sectionKind returns the first part of a section's name, without the team.
func sectionKind(section string) string {
	kind, _, _ := strings.Cut(section, "/")
	return kind
}

// ValidSection reports whether name is a valid section name.
func ValidSection(name string) bool {
	switch kind, team, hasTeam := strings.Cut(name, "/"); kind {
	case "adapters":
		return !hasTeam || chestnutstream.ValidName(team)
	case "services", "classes", "backend-servers", "measures", "limits", "owners":
		return !hasTeam
	default:
		return false
	}
}

// HashSection returns the hash by which the object store names a section's
// content. The section's name is part of the hashed data.
func HashSection(section string, content []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(section + "\x00")
	_, _ = h.Write(content)
	return fmt.Sprintf("%s-%x", hex.EncodeToString(h.Sum(nil)), len(content))
}

// Assemble parses the sections, given by name, and validates the document as a
// whole. It returns a *DocumentError if the document is invalid.
func Assemble(head chestnutstream.Head, sections map[string][]byte) (*chestnutstream.Configuration, error) {
	return (&Assembler{}).Assemble(head, sections)
}

// Assembler assembles documents and caches their parsed sections, so that only
// the changed sections of a new revision are parsed. The zero value is ready to
// use; it is not safe for concurrent use.
type Assembler struct {
	cache map[string]*parsedSection // by hash
}

// parsedSection is a section that was parsed and validated separately.
type parsedSection struct {
	section  string
	content  []byte
	adapters []chestnutstream.AdapterSettings
	services []chestnutstream.ServiceSettings
	classes  []chestnutstream.ClassSettings
	servers  []chestnutstream.ServerSettings
	measures *chestnutstream.ObjectiveWeights
	limits   *chestnutstream.Limits
	owners   []chestnutstream.SectionOwner
}

// Assemble is like the function Assemble, and caches the parsed sections of a
// valid document.
func (a *Assembler) Assemble(head chestnutstream.Head, sections map[string][]byte) (*chestnutstream.Configuration, error) {
	nextCache := make(map[string]*parsedSection, len(sections))
	parsed := make([]*parsedSection, 0, len(sections))
	for name, content := range sections {
		hash := HashSection(name, content)
		p := a.cache[hash]
		if p == nil {
			p = &parsedSection{section: name, content: content}
			if err := p.parse(); err != nil {
				return nil, err
			}
		}
		nextCache[hash] = p
		parsed = append(parsed, p)
	}
	cfg, err := merge(head, parsed)
	if err != nil {
		return nil, err
	}
	a.cache = nextCache
	return cfg, nil
}

// merge combines the sections and validates references and names across them.
func merge(head chestnutstream.Head, sections []*parsedSection) (*chestnutstream.Configuration, error) {
	cfg := &chestnutstream.Configuration{
		Head:             head,
		Adapters:         map[string]chestnutstream.AdapterSettings{},
		Services:         map[string]chestnutstream.ServiceSettings{},
		Classes:          map[string]chestnutstream.ClassSettings{},
		Servers:          map[string]chestnutstream.ServerSettings{},
		ObjectiveWeights: chestnutstream.ObjectiveWeights{LoadStall: 1, BatchEfficiency: 1},
		Limits:           DefaultLimits(),
	}
	// Servers refer to services and are merged after them.
	sort.Slice(sections, func(i, j int) bool {
		if ri, rj := mergeOrder(sections[i].section), mergeOrder(sections[j].section); ri != rj {
			return ri < rj
		}
		return sections[i].section < sections[j].section
	})
	for _, p := range sections {
		if err := p.addTo(cfg); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func (p *parsedSection) addTo(cfg *chestnutstream.Configuration) error {
	for i, s := range p.adapters {
		if _, exists := cfg.Adapters[s.Name]; exists {
			return p.errorAt(fmt.Sprintf("$[%d].name", i), "adapter %q is declared twice", s.Name)
		}
		cfg.Adapters[s.Name] = s
	}
	for _, s := range p.services {
		cfg.Services[s.Name] = s
	}
	for _, c := range p.classes {
		cfg.Classes[c.Name] = c
	}
	for i, s := range p.servers {
		if _, ok := cfg.Services[s.Service]; s.Kind == chestnutstream.KindService && !ok {
			return p.errorAt(fmt.Sprintf("$[%d]", i), "backend server %q: service %q is not declared in section services", s.Name, s.Service)
		}
		cfg.Servers[s.Name] = s
	}
	if p.measures != nil {
		cfg.ObjectiveWeights = *p.measures
	}
	if p.limits != nil {
		cfg.Limits = *p.limits
	}
	cfg.Owners = append(cfg.Owners, p.owners...)
	return nil
}

func mergeOrder(section string) int {
	if sectionKind(section) == "backend-servers" {
		return 1
	}
	return 0
}

// DefaultLimits returns the limits that apply where the document sets none.
func DefaultLimits() chestnutstream.Limits {
	return chestnutstream.Limits{
		BodyBytes: 1 << 20, QueuePerAdapter: 256, QueueTotal: 2048, RetryRatio: 0.2,
		LoadsInFlight: 16, LoadsPerSecond: 3, Zones: 4,
	}
}

func (p *parsedSection) parse() error {
	if !ValidSection(p.section) {
		return &DocumentError{Section: p.section, Reason: "no such section; want adapters, adapters/TEAM, services, classes, backend-servers, measures, limits or owners"}
	}
	if len(p.content) > MaxSectionBytes {
		return &DocumentError{Section: p.section, Reason: fmt.Sprintf("over %d bytes", MaxSectionBytes)}
	}
	switch sectionKind(p.section) {
	case "adapters":
		return p.parseAdapters()
	case "services":
		return p.parseServices()
	case "classes":
		return p.parseClasses()
	case "backend-servers":
		return p.parseServers()
	case "measures":
		return p.parseMeasures()
	case "limits":
		return p.parseLimits()
	default:
		return p.parseOwners()
	}
}

// decode unmarshals the section strictly: unknown and duplicate keys are errors.
func (p *parsedSection) decode(v any) error {
	err := yaml.UnmarshalWithOptions(p.content, v, yaml.Strict())
	if err == nil {
		return nil
	}
	docErr := &DocumentError{Section: p.section, Reason: yaml.FormatError(err, false, false)}
	if yamlErr, ok := err.(yaml.Error); ok {
		docErr.Reason = yamlErr.GetMessage()
		if t := yamlErr.GetToken(); t != nil {
			docErr.Line = t.Position.Line
		}
	}
	return docErr
}

// errorAt returns a *DocumentError for the YAML path, with the line if the path
// can be found.
func (p *parsedSection) errorAt(path, format string, args ...any) error {
	docErr := &DocumentError{Section: p.section, Path: path, Reason: fmt.Sprintf(format, args...)}
	yamlPath, err := yaml.PathString(path)
	if err != nil {
		return docErr
	}
	file, err := parser.ParseBytes(p.content, 0)
	if err != nil {
		return docErr
	}
	node, err := yamlPath.FilterFile(file)
	if err == nil && node != nil {
		docErr.Line = node.GetToken().Position.Line
	}
	return docErr
}

// MayPut reports whether a team may change a section. Every team may change a
// section without an owner.
func MayPut(cfg *chestnutstream.Configuration, section, team string) bool {
	owned := false
	for _, o := range cfg.Owners {
		if o.Section != section {
			continue
		}
		if o.Team == team {
			return true
		}
		owned = true
	}
	return !owned
}
