package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

// errUnknownMessage is returned for a frame that is no message of the protocol.
var errUnknownMessage = errors.New("no message of the peer protocol")

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

type wireWant struct {
	Server   string  `cbor:"server"`
	Adapter  string  `cbor:"adapter"`
	Version  string  `cbor:"version"`
	Waiting  int     `cbor:"waiting"`
	Urgent   int     `cbor:"urgent,omitempty"`
	SlackMS  int64   `cbor:"slack-ms"`
	Weight   float64 `cbor:"weight"`
	OldestMS int64   `cbor:"oldest-ms"`
}

type wireAsk struct {
	ID       string  `cbor:"id"`
	Priority float64 `cbor:"priority"`
	Running  bool    `cbor:"running,omitempty"`
}

type wireService struct {
	Server  string `cbor:"server"`
	Leaving bool   `cbor:"leaving,omitempty"`
	Down    bool   `cbor:"down,omitempty"`
}

type wireState struct {
	Seq            uint64         `cbor:"seq"`
	AckSeq         uint64         `cbor:"ack,omitempty"`
	AckIncarnation uint64         `cbor:"ack-incarnation,omitempty"`
	Applied        uint64         `cbor:"applied,omitempty"`
	Version        uint64         `cbor:"version,omitempty"`
	Leaving        bool           `cbor:"leaving,omitempty"`
	Gone           bool           `cbor:"gone,omitempty"`
	Revision       uint64         `cbor:"revision,omitempty"`
	HasOwned       bool           `cbor:"has-owned,omitempty"`
	Owned          []string       `cbor:"owned,omitempty"`
	Reports        []wireReport   `cbor:"reports,omitempty"`
	Loads          []int          `cbor:"loads,omitempty"` // running, waiting and idle of each server in turn
	Wants          []wireWant     `cbor:"wants,omitempty"`
	Uses           map[string]int `cbor:"uses,omitempty"`
	Quarantine     []string       `cbor:"quarantine,omitempty"`
	Asks           []wireAsk      `cbor:"asks,omitempty"`
	Granted        []string       `cbor:"granted,omitempty"`
	Servers        []wireService  `cbor:"servers,omitempty"`
}

type wireSectionHead struct {
	Revision uint64 `cbor:"revision"`
	Hash     string `cbor:"hash"`
}

type wireConfiguration struct {
	Revision uint64                     `cbor:"revision"`
	Sections map[string]wireSectionHead `cbor:"sections"`
	Contents map[string][]byte          `cbor:"contents"`
}

type wireWanted struct {
	Have []string `cbor:"have"`
}

// wireMessage is a frame: one of its fields is set.
type wireMessage struct {
	Hello         *wireHello         `cbor:"hello,omitempty"`
	State         *wireState         `cbor:"state,omitempty"`
	Wanted        *wireWanted        `cbor:"configuration-wanted,omitempty"`
	Configuration *wireConfiguration `cbor:"configuration,omitempty"`
}

// decMode bounds what a frame may make the decoder allocate.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the frame of a Hello, a State, a ConfigurationWanted or a
// ConfigurationTold.
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
	case ConfigurationWanted:
		w.Wanted = &wireWanted{m.Have}
	case ConfigurationTold:
		w.Configuration = encodeConfiguration(m)
	default:
		return nil, fmt.Errorf("encode %T: %w", message, errUnknownMessage)
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return b, nil
}

// Decode reads a frame.
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
	case w.Wanted != nil:
		return ConfigurationWanted{w.Wanted.Have}, nil
	case w.Configuration != nil:
		return decodeConfiguration(*w.Configuration), nil
	default:
		return nil, errUnknownMessage
	}
}

func encodeMember(m Member) wireMember { return wireMember(m) }
func decodeMember(w wireMember) Member { return Member(w) }

func encodeState(s State) *wireState {
	w := &wireState{
		Seq: s.Seq, AckSeq: s.AckSeq, AckIncarnation: s.AckIncarnation, Applied: s.Applied, Version: s.Version,
		Leaving: s.Leaving, Gone: s.Gone, Revision: s.Revision, HasOwned: s.HasOwned, Owned: s.Owned, Granted: s.Granted,
	}
	for _, r := range s.Reports {
		w.Reports = append(w.Reports, encodeReport(r))
	}
	for _, f := range s.Loads {
		w.Loads = append(w.Loads, f.Running, f.Waiting, f.Idle)
	}
	for _, x := range s.Wants {
		w.Wants = append(w.Wants, wireWant{x.Server, x.AdapterVersion.Adapter, x.AdapterVersion.Version, x.Waiting, x.Urgent, x.SlackMS, x.Weight, x.OldestMS})
	}
	if len(s.Uses) > 0 {
		w.Uses = make(map[string]int, len(s.Uses))
		for name, n := range s.Uses {
			w.Uses[string(name)] = n
		}
	}
	for _, name := range s.Quarantine {
		w.Quarantine = append(w.Quarantine, string(name))
	}
	for _, a := range s.Asks {
		w.Asks = append(w.Asks, wireAsk(a))
	}
	for _, v := range s.Servers {
		w.Servers = append(w.Servers, wireService(v))
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
		Leaving: w.Leaving, Gone: w.Gone, Revision: w.Revision, HasOwned: w.HasOwned, Owned: w.Owned, Granted: w.Granted,
		Uses: make(map[chestnutstream.LoadName]int, len(w.Uses)),
	}
	for _, r := range w.Reports {
		report, err := decodeReport(r)
		if err != nil {
			return State{}, err
		}
		s.Reports = append(s.Reports, report)
	}
	for i := 0; i+2 < len(w.Loads); i += 3 {
		s.Loads = append(s.Loads, Figures{w.Loads[i], w.Loads[i+1], w.Loads[i+2]})
	}
	for _, x := range w.Wants {
		s.Wants = append(s.Wants, chestnutstream.Want{
			Server: x.Server, AdapterVersion: chestnutstream.AdapterVersion{Adapter: x.Adapter, Version: x.Version},
			Waiting: x.Waiting, Urgent: x.Urgent, SlackMS: x.SlackMS, Weight: x.Weight, OldestMS: x.OldestMS,
		})
	}
	for name, n := range w.Uses {
		s.Uses[chestnutstream.LoadName(name)] = n
	}
	for _, name := range w.Quarantine {
		s.Quarantine = append(s.Quarantine, chestnutstream.LoadName(name))
	}
	for _, a := range w.Asks {
		s.Asks = append(s.Asks, engine.Ask(a))
	}
	for _, v := range w.Servers {
		s.Servers = append(s.Servers, ServiceState(v))
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

func encodeConfiguration(m ConfigurationTold) *wireConfiguration {
	w := &wireConfiguration{Revision: m.Head.Revision, Sections: map[string]wireSectionHead{}, Contents: map[string][]byte{}}
	for name, s := range m.Head.Sections {
		w.Sections[name] = wireSectionHead(s)
	}
	for _, c := range m.Contents {
		w.Contents[c.Section] = c.Bytes
	}
	return w
}

func decodeConfiguration(w wireConfiguration) ConfigurationTold {
	m := ConfigurationTold{Head: chestnutstream.Head{Revision: w.Revision, Sections: map[string]chestnutstream.SectionHead{}}}
	for name, s := range w.Sections {
		m.Head.Sections[name] = chestnutstream.SectionHead(s)
	}
	for name, b := range w.Contents {
		m.Contents = append(m.Contents, SectionContent{Section: name, Bytes: b})
	}
	return m
}
