// Package operator speaks to operators: it reads and checks the configuration
// document, adopts its revisions, commits changes, and serves the operators'
// HTTP interface.
//
// # Usage
//
// A document is a YAML mapping of sections, in kebab case. Each section is put
// on its own and belongs to a team; `adapters` may be split over teams as
// `adapters/TEAM`:
//
//	classes:
//	  - {name: doorway-question, urgency: 90, timeout-ms: 8000, queue-limit: 256}
//	adapters/dunedin:
//	  - {name: encaustic-1, base-model: base, versions: [v1], current: v1, may-use: ["*"]}
//
//	cfg, err := operator.Assemble(head, sections)
//
// An error names the section, the line and the path of what is wrong.
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

// MaxSectionBytes bounds the content of one section.
const MaxSectionBytes = 4 << 20

// DocumentError says what is wrong with a document and where.
type DocumentError struct {
	Section string
	Line    int    // in the section's content, from 1; 0 when unknown
	Path    string // YAML path, such as "$[3].urgency"
	Reason  string
}

// Error implements error.
func (e *DocumentError) Error() string {
	where := "section " + e.Section
	if e.Line > 0 {
		where += fmt.Sprintf(", line %d", e.Line)
	}
	if e.Path != "" {
		where += ", " + e.Path
	}
	return where + ": " + e.Reason
}

// kindOf returns the part of a section's name that says what it holds.
func kindOf(section string) string {
	kind, _, _ := strings.Cut(section, "/")
	return kind
}

// ValidSection reports whether name may name a section.
func ValidSection(name string) bool {
	switch kind, team, split := strings.Cut(name, "/"); kind {
	case "adapters":
		return !split || chestnutstream.ValidName(team)
	case "services", "classes", "backend-servers", "measures", "limits", "owners":
		return !split
	default:
		return false
	}
}

// HashSection returns the name of a section's content in the object store.
func HashSection(section string, content []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(section + "\x00")
	_, _ = h.Write(content)
	return fmt.Sprintf("%s-%x", hex.EncodeToString(h.Sum(nil)), len(content))
}

// Assemble reads the sections and checks the document as a whole. It returns a
// *DocumentError when something is wrong.
func Assemble(head chestnutstream.Head, sections map[string][]byte) (*chestnutstream.Configuration, error) {
	return (&Assembler{}).Assemble(head, sections)
}

// Assembler assembles documents and remembers the sections that it has read, so
// that a new revision costs the reading of what changed. The zero value works;
// it is not safe for concurrent use.
type Assembler struct {
	read map[string]*part // by hash
}

// part is a section that was read and checked on its own.
type part struct {
	section  string
	content  []byte
	adapters []chestnutstream.AdapterSettings
	services []chestnutstream.ServiceSettings
	classes  []chestnutstream.ClassSettings
	servers  []chestnutstream.ServerSettings
	measures *chestnutstream.Measures
	limits   *chestnutstream.Limits
	owners   []chestnutstream.SectionOwner
}

// Assemble is like the function Assemble.
func (a *Assembler) Assemble(head chestnutstream.Head, sections map[string][]byte) (*chestnutstream.Configuration, error) {
	used := make(map[string]*part, len(sections))
	parts := make([]*part, 0, len(sections))
	for name, content := range sections {
		hash := HashSection(name, content)
		p := a.read[hash]
		if p == nil {
			p = &part{section: name, content: content}
			if err := p.parse(); err != nil {
				return nil, err
			}
		}
		used[hash] = p
		parts = append(parts, p)
	}
	cfg, err := merge(head, parts)
	if err != nil {
		return nil, err
	}
	a.read = used
	return cfg, nil
}

// merge joins the parts and checks what concerns more than one of them.
func merge(head chestnutstream.Head, parts []*part) (*chestnutstream.Configuration, error) {
	cfg := &chestnutstream.Configuration{
		Head:     head,
		Adapters: map[string]chestnutstream.AdapterSettings{},
		Services: map[string]chestnutstream.ServiceSettings{},
		Classes:  map[string]chestnutstream.ClassSettings{},
		Servers:  map[string]chestnutstream.ServerSettings{},
		Measures: chestnutstream.Measures{LoadStall: 1, BatchEfficiency: 1},
		Limits:   DefaultLimits(),
	}
	// Servers refer to services and are joined after them.
	sort.Slice(parts, func(i, j int) bool {
		if ri, rj := readOrder(parts[i].section), readOrder(parts[j].section); ri != rj {
			return ri < rj
		}
		return parts[i].section < parts[j].section
	})
	for _, p := range parts {
		if err := p.addTo(cfg); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func (p *part) addTo(cfg *chestnutstream.Configuration) error {
	for i, s := range p.adapters {
		if _, twice := cfg.Adapters[s.Name]; twice {
			return p.wrong(fmt.Sprintf("$[%d].name", i), "adapter %q is declared twice", s.Name)
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
			return p.wrong(fmt.Sprintf("$[%d]", i), "backend server %q: service %q is not declared in section services", s.Name, s.Service)
		}
		cfg.Servers[s.Name] = s
	}
	if p.measures != nil {
		cfg.Measures = *p.measures
	}
	if p.limits != nil {
		cfg.Limits = *p.limits
	}
	cfg.Owners = append(cfg.Owners, p.owners...)
	return nil
}

func readOrder(section string) int {
	if kindOf(section) == "backend-servers" {
		return 1
	}
	return 0
}

// DefaultLimits returns the limits that hold where the document names none.
func DefaultLimits() chestnutstream.Limits {
	return chestnutstream.Limits{
		BodyBytes: 1 << 20, QueuePerAdapter: 256, QueueTotal: 2048, RetryShare: 0.2,
		LoadsInFlight: 16, LoadsPerSecond: 3, Zones: 4,
	}
}

func (p *part) parse() error {
	if !ValidSection(p.section) {
		return &DocumentError{Section: p.section, Reason: "no such section; want adapters, adapters/TEAM, services, classes, backend-servers, measures, limits or owners"}
	}
	if len(p.content) > MaxSectionBytes {
		return &DocumentError{Section: p.section, Reason: fmt.Sprintf("over %d bytes", MaxSectionBytes)}
	}
	switch kindOf(p.section) {
	case "adapters":
		return p.readAdapters()
	case "services":
		return p.readServices()
	case "classes":
		return p.readClasses()
	case "backend-servers":
		return p.readServers()
	case "measures":
		return p.readMeasures()
	case "limits":
		return p.readLimits()
	default:
		return p.readOwners()
	}
}

// decode reads a section strictly: unknown and doubled keys are errors.
func (p *part) decode(v any) error {
	err := yaml.UnmarshalWithOptions(p.content, v, yaml.Strict())
	if err == nil {
		return nil
	}
	e := &DocumentError{Section: p.section, Reason: yaml.FormatError(err, false, false)}
	if ye, ok := err.(yaml.Error); ok {
		e.Reason = ye.GetMessage()
		if t := ye.GetToken(); t != nil {
			e.Line = t.Position.Line
		}
	}
	return e
}

// wrong makes the error for what stands at path, with its line.
func (p *part) wrong(path, format string, args ...any) error {
	e := &DocumentError{Section: p.section, Path: path, Reason: fmt.Sprintf(format, args...)}
	at, err := yaml.PathString(path)
	if err != nil {
		return e
	}
	file, err := parser.ParseBytes(p.content, 0)
	if err != nil {
		return e
	}
	node, err := at.FilterFile(file)
	if err == nil && node != nil {
		e.Line = node.GetToken().Position.Line
	}
	return e
}

// MayPut reports whether a team may change a section. A section without an
// owner belongs to every team.
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
