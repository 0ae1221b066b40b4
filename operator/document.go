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
	"math"
	"net"
	"sort"
	"strings"
	"time"

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

type yamlAdapter struct {
	Name      string   `yaml:"name"`
	BaseModel string   `yaml:"base-model"`
	Versions  []string `yaml:"versions"`
	Current   string   `yaml:"current"`
	MayUse    []string `yaml:"may-use"`
}

type yamlService struct {
	Name       string   `yaml:"name"`
	MayUse     []string `yaml:"may-use"`
	Idempotent []struct {
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
	} `yaml:"idempotent"`
	NotRunStatuses []int `yaml:"not-run-statuses"`
}

type yamlClass struct {
	Name       string `yaml:"name"`
	Urgency    int    `yaml:"urgency"`
	TimeoutMS  int    `yaml:"timeout-ms"`
	QueueLimit int    `yaml:"queue-limit"`
}

type yamlServer struct {
	Name         string `yaml:"name"`
	Kind         string `yaml:"kind"`
	Zone         string `yaml:"availability-zone"`
	Address      string `yaml:"address"`
	BaseModel    string `yaml:"base-model"`
	Service      string `yaml:"service"`
	ChecksFences bool   `yaml:"checks-fencing-numbers"`
}

type yamlMeasures struct {
	LoadStall       float64 `yaml:"load-stalls"`
	BatchEfficiency float64 `yaml:"batch-efficiency"`
}

type yamlLimits struct {
	BodyBytes       int64   `yaml:"body-bytes"`
	QueuePerAdapter int     `yaml:"queue-per-adapter"`
	QueueTotal      int     `yaml:"queue-total"`
	RetryShare      float64 `yaml:"retry-share"`
	LoadsInFlight   int     `yaml:"loads-in-flight"`
	LoadsPerSecond  float64 `yaml:"loads-per-second"`
	Zones           int     `yaml:"availability-zones"`
}

type yamlOwner struct {
	Section string `yaml:"section"`
	Team    string `yaml:"team"`
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

func (p *part) readAdapters() error {
	var list []yamlAdapter
	if err := p.decode(&list); err != nil {
		return err
	}
	for i, y := range list {
		at := fmt.Sprintf("$[%d]", i)
		s := chestnutstream.AdapterSettings{Name: y.Name, BaseModel: y.BaseModel, Versions: y.Versions, Current: y.Current, MayUse: y.MayUse}
		if !chestnutstream.ValidName(y.Name) {
			return p.wrong(at, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		}
		if !chestnutstream.ValidName(y.BaseModel) {
			return p.wrong(at, "adapter %q: base-model %.80q is not a name", y.Name, y.BaseModel)
		}
		for j, v := range y.Versions {
			if !chestnutstream.ValidName(v) {
				return p.wrong(fmt.Sprintf("%s.versions[%d]", at, j), "adapter %q: version %.80q is not a name", y.Name, v)
			}
		}
		if !s.HasVersion(y.Current) {
			return p.wrong(at, "adapter %q: current version %q is not among its versions %v", y.Name, y.Current, y.Versions)
		}
		p.adapters = append(p.adapters, s)
	}
	return nil
}

func (p *part) readServices() error {
	var list []yamlService
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		at := fmt.Sprintf("$[%d]", i)
		if !chestnutstream.ValidName(y.Name) {
			return p.wrong(at, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		}
		if seen[y.Name] {
			return p.wrong(at+".name", "service %q is declared twice", y.Name)
		}
		seen[y.Name] = true
		s := chestnutstream.ServiceSettings{Name: y.Name, MayUse: y.MayUse, NotRunStatuses: y.NotRunStatuses}
		for j, c := range y.Idempotent {
			if c.Method != strings.ToUpper(c.Method) || c.Method == "" || !strings.HasPrefix(c.Path, "/") {
				return p.wrong(fmt.Sprintf("%s.idempotent[%d]", at, j), "want a method in capitals and a path that begins with /, got %q %q", c.Method, c.Path)
			}
			s.Idempotent = append(s.Idempotent, chestnutstream.CallPattern{Method: c.Method, Path: c.Path})
		}
		for j, n := range y.NotRunStatuses {
			if n < 400 || n > 599 {
				return p.wrong(fmt.Sprintf("%s.not-run-statuses[%d]", at, j), "status %d: want 400 to 599", n)
			}
		}
		p.services = append(p.services, s)
	}
	return nil
}

func (p *part) readClasses() error {
	var list []yamlClass
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		at := fmt.Sprintf("$[%d]", i)
		switch {
		case !chestnutstream.ValidName(y.Name):
			return p.wrong(at, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		case y.Urgency < 1 || y.Urgency > 100:
			return p.wrong(at+".urgency", "class %q: urgency %d: want 1 to 100", y.Name, y.Urgency)
		case y.TimeoutMS < 1 || y.TimeoutMS > 24*3600*1000:
			return p.wrong(at+".timeout-ms", "class %q: timeout-ms %d: want 1 ms to a day", y.Name, y.TimeoutMS)
		case y.QueueLimit < 1:
			return p.wrong(at+".queue-limit", "class %q: queue-limit %d: want at least 1", y.Name, y.QueueLimit)
		}
		if seen[y.Name] {
			return p.wrong(at+".name", "class %q is declared twice", y.Name)
		}
		seen[y.Name] = true
		p.classes = append(p.classes, chestnutstream.ClassSettings{
			Name: y.Name, Urgency: y.Urgency, Timeout: time.Duration(y.TimeoutMS) * time.Millisecond, QueueLimit: y.QueueLimit,
		})
	}
	return nil
}

func (p *part) readServers() error {
	var list []yamlServer
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		at := fmt.Sprintf("$[%d]", i)
		s := chestnutstream.ServerSettings{
			Name: y.Name, Kind: chestnutstream.ServerKind(y.Kind), Zone: y.Zone, Address: y.Address,
			BaseModel: y.BaseModel, Service: y.Service, ChecksFences: y.ChecksFences,
		}
		if err := p.checkServer(at, s); err != nil {
			return err
		}
		if seen[s.Name] {
			return p.wrong(at+".name", "backend server %q is declared twice", s.Name)
		}
		seen[s.Name] = true
		p.servers = append(p.servers, s)
	}
	return nil
}

func (p *part) checkServer(at string, s chestnutstream.ServerSettings) error {
	if !chestnutstream.ValidName(s.Name) {
		return p.wrong(at, "name %.80q: want letters, digits, '-', '_' or '.'", s.Name)
	}
	if !chestnutstream.ValidName(s.Zone) {
		return p.wrong(at, "backend server %q: availability-zone %.80q is not a name", s.Name, s.Zone)
	}
	if s.Address != "" {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return p.wrong(at+".address", "backend server %q: address %.80q: want HOST:PORT", s.Name, s.Address)
		}
	}
	switch s.Kind {
	case chestnutstream.KindEngine:
		if !chestnutstream.ValidName(s.BaseModel) {
			return p.wrong(at, "engine %q: base-model %.80q is not a name", s.Name, s.BaseModel)
		}
	case chestnutstream.KindService:
		if !chestnutstream.ValidName(s.Service) {
			return p.wrong(at, "backend server %q: service %.80q is not a name", s.Name, s.Service)
		}
	default:
		return p.wrong(at, "backend server %q: kind %q: want engine or service", s.Name, s.Kind)
	}
	return nil
}

func (p *part) readMeasures() error {
	var y yamlMeasures
	if err := p.decode(&y); err != nil {
		return err
	}
	ok := func(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
	if !ok(y.LoadStall) || !ok(y.BatchEfficiency) || y.LoadStall+y.BatchEfficiency == 0 {
		return p.wrong("$", "want two weights of at least 0, one above it")
	}
	p.measures = &chestnutstream.Measures{LoadStall: y.LoadStall, BatchEfficiency: y.BatchEfficiency}
	return nil
}

func (p *part) readLimits() error {
	d := DefaultLimits()
	y := yamlLimits{d.BodyBytes, d.QueuePerAdapter, d.QueueTotal, d.RetryShare, d.LoadsInFlight, d.LoadsPerSecond, d.Zones}
	if err := p.decode(&y); err != nil {
		return err
	}
	switch {
	case y.BodyBytes < 1 || y.BodyBytes > 1<<30:
		return p.wrong("$.body-bytes", "body-bytes %d: want 1 to %d", y.BodyBytes, 1<<30)
	case y.QueuePerAdapter < 1 || y.QueueTotal < 1:
		return p.wrong("$", "queue-per-adapter and queue-total: want at least 1")
	case !(y.RetryShare >= 0 && y.RetryShare <= 1):
		return p.wrong("$.retry-share", "retry-share %v: want 0 to 1", y.RetryShare)
	case y.LoadsInFlight < 1 || y.Zones < 1 || !(y.LoadsPerSecond > 0):
		return p.wrong("$", "loads-in-flight, loads-per-second and availability-zones: want more than 0")
	}
	p.limits = &chestnutstream.Limits{
		BodyBytes: y.BodyBytes, QueuePerAdapter: y.QueuePerAdapter, QueueTotal: y.QueueTotal, RetryShare: y.RetryShare,
		LoadsInFlight: y.LoadsInFlight, LoadsPerSecond: y.LoadsPerSecond, Zones: y.Zones,
	}
	return nil
}

func (p *part) readOwners() error {
	var list []yamlOwner
	if err := p.decode(&list); err != nil {
		return err
	}
	for i, y := range list {
		if !ValidSection(y.Section) || !chestnutstream.ValidName(y.Team) {
			return p.wrong(fmt.Sprintf("$[%d]", i), "want a section and a team, got %q and %q", y.Section, y.Team)
		}
		p.owners = append(p.owners, chestnutstream.SectionOwner{Section: y.Section, Team: y.Team})
	}
	return nil
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
