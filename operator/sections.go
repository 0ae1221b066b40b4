package operator

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

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

func (p *parsedSection) parseAdapters() error {
	var list []yamlAdapter
	if err := p.decode(&list); err != nil {
		return err
	}
	for i, y := range list {
		path := fmt.Sprintf("$[%d]", i)
		s := chestnutstream.AdapterSettings{Name: y.Name, BaseModel: y.BaseModel, Versions: y.Versions, Current: y.Current, AllowedCallers: y.MayUse}
		if !chestnutstream.ValidName(y.Name) {
			return p.errorAt(path, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		}
		if !chestnutstream.ValidName(y.BaseModel) {
			return p.errorAt(path, "adapter %q: base-model %.80q is not a name", y.Name, y.BaseModel)
		}
		for j, v := range y.Versions {
			if !chestnutstream.ValidName(v) {
				return p.errorAt(fmt.Sprintf("%s.versions[%d]", path, j), "adapter %q: version %.80q is not a name", y.Name, v)
			}
		}
		if !s.HasVersion(y.Current) {
			return p.errorAt(path, "adapter %q: current version %q is not among its versions %v", y.Name, y.Current, y.Versions)
		}
		p.adapters = append(p.adapters, s)
	}
	return nil
}

func (p *parsedSection) parseServices() error {
	var list []yamlService
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		path := fmt.Sprintf("$[%d]", i)
		if !chestnutstream.ValidName(y.Name) {
			return p.errorAt(path, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		}
		if seen[y.Name] {
			return p.errorAt(path+".name", "service %q is declared twice", y.Name)
		}
		seen[y.Name] = true
		s := chestnutstream.ServiceSettings{Name: y.Name, AllowedCallers: y.MayUse, NotRunStatuses: y.NotRunStatuses}
		for j, c := range y.Idempotent {
			if c.Method != strings.ToUpper(c.Method) || c.Method == "" || !strings.HasPrefix(c.Path, "/") {
				return p.errorAt(fmt.Sprintf("%s.idempotent[%d]", path, j), "want a method in capitals and a path that begins with /, got %q %q", c.Method, c.Path)
			}
			s.Idempotent = append(s.Idempotent, chestnutstream.CallPattern{Method: c.Method, Path: c.Path})
		}
		for j, n := range y.NotRunStatuses {
			if n < 400 || n > 599 {
				return p.errorAt(fmt.Sprintf("%s.not-run-statuses[%d]", path, j), "status %d: want 400 to 599", n)
			}
		}
		p.services = append(p.services, s)
	}
	return nil
}

func (p *parsedSection) parseClasses() error {
	var list []yamlClass
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		path := fmt.Sprintf("$[%d]", i)
		switch {
		case !chestnutstream.ValidName(y.Name):
			return p.errorAt(path, "name %.80q: want letters, digits, '-', '_' or '.'", y.Name)
		case y.Urgency < 1 || y.Urgency > 100:
			return p.errorAt(path+".urgency", "class %q: urgency %d: want 1 to 100", y.Name, y.Urgency)
		case y.TimeoutMS < 1 || y.TimeoutMS > 24*3600*1000:
			return p.errorAt(path+".timeout-ms", "class %q: timeout-ms %d: want 1 ms to a day", y.Name, y.TimeoutMS)
		case y.QueueLimit < 1:
			return p.errorAt(path+".queue-limit", "class %q: queue-limit %d: want at least 1", y.Name, y.QueueLimit)
		}
		if seen[y.Name] {
			return p.errorAt(path+".name", "class %q is declared twice", y.Name)
		}
		seen[y.Name] = true
		p.classes = append(p.classes, chestnutstream.ClassSettings{
			Name: y.Name, Urgency: y.Urgency, Timeout: time.Duration(y.TimeoutMS) * time.Millisecond, QueueLimit: y.QueueLimit,
		})
	}
	return nil
}

func (p *parsedSection) parseServers() error {
	var list []yamlServer
	if err := p.decode(&list); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, y := range list {
		path := fmt.Sprintf("$[%d]", i)
		s := chestnutstream.ServerSettings{
			Name: y.Name, Kind: chestnutstream.ServerKind(y.Kind), Zone: y.Zone, Address: y.Address,
			BaseModel: y.BaseModel, Service: y.Service, ChecksFencingTokens: y.ChecksFences,
		}
		if err := p.checkServer(path, s); err != nil {
			return err
		}
		if seen[s.Name] {
			return p.errorAt(path+".name", "backend server %q is declared twice", s.Name)
		}
		seen[s.Name] = true
		p.servers = append(p.servers, s)
	}
	return nil
}

func (p *parsedSection) checkServer(path string, s chestnutstream.ServerSettings) error {
	if !chestnutstream.ValidName(s.Name) {
		return p.errorAt(path, "name %.80q: want letters, digits, '-', '_' or '.'", s.Name)
	}
	if !chestnutstream.ValidName(s.Zone) {
		return p.errorAt(path, "backend server %q: availability-zone %.80q is not a name", s.Name, s.Zone)
	}
	if s.Address != "" {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return p.errorAt(path+".address", "backend server %q: address %.80q: want HOST:PORT", s.Name, s.Address)
		}
	}
	switch s.Kind {
	case chestnutstream.KindEngine:
		if !chestnutstream.ValidName(s.BaseModel) {
			return p.errorAt(path, "engine %q: base-model %.80q is not a name", s.Name, s.BaseModel)
		}
	case chestnutstream.KindService:
		if !chestnutstream.ValidName(s.Service) {
			return p.errorAt(path, "backend server %q: service %.80q is not a name", s.Name, s.Service)
		}
	default:
		return p.errorAt(path, "backend server %q: kind %q: want engine or service", s.Name, s.Kind)
	}
	return nil
}

func (p *parsedSection) parseMeasures() error {
	var y yamlMeasures
	if err := p.decode(&y); err != nil {
		return err
	}
	validWeight := func(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
	if !validWeight(y.LoadStall) || !validWeight(y.BatchEfficiency) || y.LoadStall+y.BatchEfficiency == 0 {
		return p.errorAt("$", "want two weights of at least 0, one above it")
	}
	p.measures = &chestnutstream.ObjectiveWeights{LoadStall: y.LoadStall, BatchEfficiency: y.BatchEfficiency}
	return nil
}

func (p *parsedSection) parseLimits() error {
	defaults := DefaultLimits()
	y := yamlLimits{defaults.BodyBytes, defaults.QueuePerAdapter, defaults.QueueTotal, defaults.RetryRatio, defaults.LoadsInFlight, defaults.LoadsPerSecond, defaults.Zones}
	if err := p.decode(&y); err != nil {
		return err
	}
	switch {
	case y.BodyBytes < 1 || y.BodyBytes > 1<<30:
		return p.errorAt("$.body-bytes", "body-bytes %d: want 1 to %d", y.BodyBytes, 1<<30)
	case y.QueuePerAdapter < 1 || y.QueueTotal < 1:
		return p.errorAt("$", "queue-per-adapter and queue-total: want at least 1")
	case !(y.RetryShare >= 0 && y.RetryShare <= 1):
		return p.errorAt("$.retry-share", "retry-share %v: want 0 to 1", y.RetryShare)
	case y.LoadsInFlight < 1 || y.Zones < 1 || !(y.LoadsPerSecond > 0):
		return p.errorAt("$", "loads-in-flight, loads-per-second and availability-zones: want more than 0")
	}
	p.limits = &chestnutstream.Limits{
		BodyBytes: y.BodyBytes, QueuePerAdapter: y.QueuePerAdapter, QueueTotal: y.QueueTotal, RetryRatio: y.RetryShare,
		LoadsInFlight: y.LoadsInFlight, LoadsPerSecond: y.LoadsPerSecond, Zones: y.Zones,
	}
	return nil
}

func (p *parsedSection) parseOwners() error {
	var list []yamlOwner
	if err := p.decode(&list); err != nil {
		return err
	}
	for i, y := range list {
		if !ValidSection(y.Section) || !chestnutstream.ValidName(y.Team) {
			return p.errorAt(fmt.Sprintf("$[%d]", i), "want a section and a team, got %q and %q", y.Section, y.Team)
		}
		p.owners = append(p.owners, chestnutstream.SectionOwner{Section: y.Section, Team: y.Team})
	}
	return nil
}
