package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

// errInvalidMessage is returned for a frame or value that is not a message of
// the protocol.
var errInvalidMessage = errors.New("not a valid message of the peer protocol")

type wireMember struct {
	Name    string `cbor:"name"`
	Address string `cbor:"address"`
	Region  string `cbor:"region"`
	Zone    string `cbor:"availability-zone"`
}

type wireHello struct {
	From        wireMember   `cbor:"from"`
	Incarnation uint64       `cbor:"incarnation"`
	Members     []wireMember `cbor:"members"`
}

type wireSlot struct {
	Name  string `cbor:"name"`
	State string `cbor:"state"`
}

type wireReport struct {
	Server     string     `cbor:"server"`
	Fence      uint64     `cbor:"fence"`
	Yielding   bool       `cbor:"yielding,omitempty"`
	Leaving    bool       `cbor:"leaving,omitempty"`
	Reachable  bool       `cbor:"reachable,omitempty"`
	BatchLimit int        `cbor:"batch-limit"`
	SlotLimit  int        `cbor:"slot-limit"`
	Running    int        `cbor:"running,omitempty"`
	Waiting    int        `cbor:"waiting,omitempty"`
	Slots      []wireSlot `cbor:"slots,omitempty"`
}

type wireDemand struct {
	Server   string  `cbor:"server"`
	Adapter  string  `cbor:"adapter"`
	Version  string  `cbor:"version"`
	Waiting  int     `cbor:"waiting"`
	Urgent   int     `cbor:"urgent,omitempty"`
	SlackMS  int64   `cbor:"slack-ms"`
	Weight   float64 `cbor:"weight"`
	OldestMS int64   `cbor:"oldest-ms"`
}

type wirePermitRequest struct {
	ID       string  `cbor:"id"`
	Priority float64 `cbor:"priority"`
	Running  bool    `cbor:"running,omitempty"`
}

type wireServerHealth struct {
	Server  string `cbor:"server"`
	Leaving bool   `cbor:"leaving,omitempty"`
	Down    bool   `cbor:"down,omitempty"`
}

type wireState struct {
	Seq            uint64              `cbor:"seq"`
	AckSeq         uint64              `cbor:"ack,omitempty"`
	AckIncarnation uint64              `cbor:"ack-incarnation,omitempty"`
	Applied        uint64              `cbor:"applied,omitempty"`
	Version        uint64              `cbor:"version,omitempty"`
	Leaving        bool                `cbor:"leaving,omitempty"`
	Departed       bool                `cbor:"gone,omitempty"`
	Revision       uint64              `cbor:"revision,omitempty"`
	HasOwned       bool                `cbor:"has-owned,omitempty"`
	Owned          []string            `cbor:"owned,omitempty"`
	Reports        []wireReport        `cbor:"reports,omitempty"`
	LoadFigures    []int               `cbor:"loads,omitempty"` // 3 values per server: running, waiting, idle
	Demand         []wireDemand        `cbor:"wants,omitempty"`
	Usage          map[string]int      `cbor:"uses,omitempty"`
	Quarantine     []string            `cbor:"quarantine,omitempty"`
	PermitRequests []wirePermitRequest `cbor:"asks,omitempty"`
	GrantedPermits []string            `cbor:"granted,omitempty"`
	ServerHealth   []wireServerHealth  `cbor:"servers,omitempty"`
}

type wireSectionHead struct {
	Revision uint64 `cbor:"revision"`
	Hash     string `cbor:"hash"`
}

type wireConfigurationUpdate struct {
	Revision uint64                     `cbor:"revision"`
	Sections map[string]wireSectionHead `cbor:"sections"`
	Contents map[string][]byte          `cbor:"contents"`
}

type wireConfigurationRequest struct {
	Have []string `cbor:"have"`
}

// wireMessage is a frame. Exactly one field is set.
type wireMessage struct {
	Hello                *wireHello                `cbor:"hello,omitempty"`
	State                *wireState                `cbor:"state,omitempty"`
	ConfigurationRequest *wireConfigurationRequest `cbor:"configuration-wanted,omitempty"`
	ConfigurationUpdate  *wireConfigurationUpdate  `cbor:"configuration,omitempty"`
}

// decMode limits the memory that decoding a frame may allocate.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the frame of a Hello, State, ConfigurationRequest or
// ConfigurationUpdate.
func Encode(message any) ([]byte, error) {
	var w wireMessage
	switch m := message.(type) {
	case Hello:
		h := wireHello{From: encodeMember(m.From), Incarnation: m.Incarnation}
		for _, member := range m.Members {
			h.Members = append(h.Members, encodeMember(member))
		}
		w.Hello = &h
	case State:
		w.State = encodeState(m)
	case ConfigurationRequest:
		w.ConfigurationRequest = &wireConfigurationRequest{m.Have}
	case ConfigurationUpdate:
		w.ConfigurationUpdate = encodeConfigurationUpdate(m)
	default:
		return nil, fmt.Errorf("encode %T: %w", message, errInvalidMessage)
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return b, nil
}

// Decode decodes a frame into one of the message types that Encode accepts.
func Decode(frame []byte) (any, error) {
	var w wireMessage
	if err := decMode.Unmarshal(frame, &w); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	switch {
	case w.Hello != nil:
		h := Hello{From: decodeMember(w.Hello.From), Incarnation: w.Hello.Incarnation}
		for _, m := range w.Hello.Members {
			h.Members = append(h.Members, decodeMember(m))
		}
		return h, nil
	case w.State != nil:
		return decodeState(*w.State)
	case w.ConfigurationRequest != nil:
		return ConfigurationRequest{w.ConfigurationRequest.Have}, nil
	case w.ConfigurationUpdate != nil:
		return decodeConfigurationUpdate(*w.ConfigurationUpdate), nil
	default:
		return nil, errInvalidMessage
	}
}

func encodeMember(m Member) wireMember {
	w := wireMember(m)
	w.Name = chestnutstream.InstanceName(m.Name)
	return w
}

func decodeMember(w wireMember) Member {
	m := Member(w)
	m.Name = chestnutstream.InstanceIdentity(w.Name, w.Address, 0)
	return m
}

func encodeState(s State) *wireState {
	w := &wireState{
		Seq: s.Seq, AckSeq: s.AckSeq, AckIncarnation: s.AckIncarnation, Applied: s.Applied, Version: s.Version,
		Leaving: s.Leaving, Departed: s.Departed, Revision: s.Revision, HasOwned: s.HasOwned, Owned: s.Owned, GrantedPermits: s.GrantedPermits,
	}
	for _, r := range s.Reports {
		w.Reports = append(w.Reports, encodeReport(r))
	}
	for _, l := range s.LoadFigures {
		w.LoadFigures = append(w.LoadFigures, l.Running, l.Waiting, l.Idle)
	}
	for _, d := range s.Demand {
		w.Demand = append(w.Demand, wireDemand{d.Server, d.AdapterVersion.Adapter, d.AdapterVersion.Version, d.Waiting, d.Urgent, d.SlackMS, d.Weight, d.OldestMS})
	}
	if len(s.Usage) > 0 {
		w.Usage = make(map[string]int, len(s.Usage))
		for name, n := range s.Usage {
			w.Usage[string(name)] = n
		}
	}
	for _, name := range s.Quarantine {
		w.Quarantine = append(w.Quarantine, string(name))
	}
	for _, p := range s.PermitRequests {
		w.PermitRequests = append(w.PermitRequests, wirePermitRequest(p))
	}
	for _, h := range s.ServerHealth {
		w.ServerHealth = append(w.ServerHealth, wireServerHealth(h))
	}
	return w
}

func encodeReport(r engine.OwnerReport) wireReport {
	w := wireReport{
		Server: r.Report.Server, Fence: r.Fence, Yielding: r.Yielding, Leaving: r.Report.Leaving, Reachable: r.Report.Reachable,
		BatchLimit: r.Report.BatchLimit, SlotLimit: r.Report.SlotLimit, Running: r.Report.Running, Waiting: r.Report.Waiting,
	}
	for _, sl := range r.Report.Slots {
		w.Slots = append(w.Slots, wireSlot{string(sl.Name), string(sl.State)})
	}
	return w
}

func decodeState(w wireState) (State, error) {
	s := State{
		Seq: w.Seq, AckSeq: w.AckSeq, AckIncarnation: w.AckIncarnation, Applied: w.Applied, Version: w.Version,
		Leaving: w.Leaving, Departed: w.Departed, Revision: w.Revision, HasOwned: w.HasOwned, Owned: w.Owned, GrantedPermits: w.GrantedPermits,
		Usage: make(map[chestnutstream.LoadName]int, len(w.Usage)),
	}
	for _, r := range w.Reports {
		report, err := decodeReport(r)
		if err != nil {
			return State{}, err
		}
		s.Reports = append(s.Reports, report)
	}
	for i := 0; i+2 < len(w.LoadFigures); i += 3 {
		s.LoadFigures = append(s.LoadFigures, LoadFigures{w.LoadFigures[i], w.LoadFigures[i+1], w.LoadFigures[i+2]})
	}
	for _, d := range w.Demand {
		s.Demand = append(s.Demand, chestnutstream.Demand{
			Server: d.Server, AdapterVersion: chestnutstream.AdapterVersion{Adapter: d.Adapter, Version: d.Version},
			Waiting: d.Waiting, Urgent: d.Urgent, SlackMS: d.SlackMS, Weight: d.Weight, OldestMS: d.OldestMS,
		})
	}
	for name, n := range w.Usage {
		s.Usage[chestnutstream.LoadName(name)] = n
	}
	for _, name := range w.Quarantine {
		s.Quarantine = append(s.Quarantine, chestnutstream.LoadName(name))
	}
	for _, p := range w.PermitRequests {
		s.PermitRequests = append(s.PermitRequests, engine.PermitRequest(p))
	}
	for _, h := range w.ServerHealth {
		s.ServerHealth = append(s.ServerHealth, ServerHealth(h))
	}
	return s, nil
}

func decodeReport(w wireReport) (engine.OwnerReport, error) {
	r := engine.OwnerReport{Fence: w.Fence, Yielding: w.Yielding, Report: chestnutstream.ServerReport{
		Server: w.Server, Leaving: w.Leaving, Reachable: w.Reachable, Running: w.Running, Waiting: w.Waiting,
		BatchLimit: w.BatchLimit, SlotLimit: w.SlotLimit,
	}}
	for _, sl := range w.Slots {
		name := chestnutstream.LoadName(sl.Name)
		av, err := name.AdapterVersion()
		if err != nil && chestnutstream.SlotState(sl.State) == chestnutstream.SlotReady {
			return engine.OwnerReport{}, fmt.Errorf("decode report of %s: %w", w.Server, err)
		}
		r.Report.Slots = append(r.Report.Slots, chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotState(sl.State)})
	}
	return r, nil
}

func encodeConfigurationUpdate(m ConfigurationUpdate) *wireConfigurationUpdate {
	w := &wireConfigurationUpdate{Revision: m.Head.Revision, Sections: map[string]wireSectionHead{}, Contents: map[string][]byte{}}
	for name, s := range m.Head.Sections {
		w.Sections[name] = wireSectionHead(s)
	}
	for _, c := range m.Contents {
		w.Contents[c.Section] = c.Bytes
	}
	return w
}

func decodeConfigurationUpdate(w wireConfigurationUpdate) ConfigurationUpdate {
	m := ConfigurationUpdate{Head: chestnutstream.Head{Revision: w.Revision, Sections: map[string]chestnutstream.SectionHead{}}}
	for name, s := range w.Sections {
		m.Head.Sections[name] = chestnutstream.SectionHead(s)
	}
	for name, b := range w.Contents {
		m.Contents = append(m.Contents, SectionContent{Section: name, Bytes: b})
	}
	return m
}
