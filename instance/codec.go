package instance

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/software"
)

// wireBundle is the CBOR form of a Bundle. Its keys are part of the protocol.
type wireBundle struct {
	Name             string                `cbor:"1,keyasint,omitempty"`
	Address          string                `cbor:"2,keyasint,omitempty"`
	Zone             string                `cbor:"3,keyasint,omitempty"`
	Incarnation      uint64                `cbor:"4,keyasint,omitempty"`
	HasOwned         bool                  `cbor:"5,keyasint,omitempty"`
	Owned            []string              `cbor:"6,keyasint,omitempty"`
	Draining         bool                  `cbor:"7,keyasint,omitempty"`
	LoadRequests     []wireAdapterCounts   `cbor:"8,keyasint,omitempty"`
	LoadResponses    []wireLoadResponse    `cbor:"9,keyasint,omitempty"`
	Usage            []wireAdapterCounts   `cbor:"10,keyasint,omitempty"`
	ConfigRequested  bool                  `cbor:"11,keyasint,omitempty"`
	StateRequested   bool                  `cbor:"53,keyasint,omitempty"`
	Config           []byte                `cbor:"12,keyasint,omitempty"`
	ConfigRowVersion uint64                `cbor:"13,keyasint,omitempty"`
	Servers          []wireTableRow        `cbor:"14,keyasint,omitempty"`
	Versions         []wireTableRow        `cbor:"15,keyasint,omitempty"`
	TableUpdates     []wireTableUpdate     `cbor:"16,keyasint,omitempty"`
	EngineLoads      []wireEngineLoad      `cbor:"17,keyasint,omitempty"`
	Prefills         []wirePrefill         `cbor:"18,keyasint,omitempty"`
	PrefillRequests  []wirePrefillRequest  `cbor:"19,keyasint,omitempty"`
	PrefillResponses []wirePrefillResponse `cbor:"20,keyasint,omitempty"`
	PacedServices    []string              `cbor:"21,keyasint,omitempty"`
	ServerNotices    []wireServerNotice    `cbor:"22,keyasint,omitempty"`
	RateLimits       []wireRateLimit       `cbor:"23,keyasint,omitempty"`
	PermitRequests   []wirePermitRequest   `cbor:"24,keyasint,omitempty"`
	PermitResponses  []wirePermitResponse  `cbor:"25,keyasint,omitempty"`
	Evidence         []wireTraitEvidence   `cbor:"26,keyasint,omitempty"`
	EvidenceReplies  []wireTraitEvidence   `cbor:"27,keyasint,omitempty"`
	StreamOrigins    []wireStreamOrigin    `cbor:"28,keyasint,omitempty"`
	OriginRequests   []wireOriginRequest   `cbor:"29,keyasint,omitempty"`
	OriginResponses  []wireOriginResponse  `cbor:"30,keyasint,omitempty"`
	SoftwareRows     []wireTableRow        `cbor:"31,keyasint,omitempty"`
	HasCutOff        bool                  `cbor:"32,keyasint,omitempty"`
	SlotRequests     []wireSlotRequest     `cbor:"34,keyasint,omitempty"`
	SlotReports      []wireSlotReport      `cbor:"46,keyasint,omitempty"`
	BrittleServices  []wireBrittleService  `cbor:"35,keyasint,omitempty"`
	Rejections       []string              `cbor:"36,keyasint,omitempty"`
	SlotResponses    []wirePermitResponse  `cbor:"37,keyasint,omitempty"`
	CutOff           []string              `cbor:"33,keyasint,omitempty"`
	RemovedServers   []wireRemovedServer   `cbor:"45,keyasint,omitempty"`
	UpdateAgesMS     []uint64              `cbor:"38,keyasint,omitempty"` // of TableUpdates: since the store was read
	ConfigVersion    uint64                `cbor:"39,keyasint,omitempty"`
	SharedPrompts    []wireSharedPrompt    `cbor:"52,keyasint,omitempty"`
	// PrefillDetails belong to PrefillRequests in the same order, if any of them names a
	// workspace. Instances of an earlier release ignore them.
	PrefillDetails []wirePrefillDetail `cbor:"50,keyasint,omitempty"`
	QuotaReports   []wireQuotaReport   `cbor:"47,keyasint,omitempty"`
	QuotaShares    []wireQuotaShare    `cbor:"48,keyasint,omitempty"`
	QuotaCharges   []wireQuotaCharge   `cbor:"49,keyasint,omitempty"`
}

// wireAdapterCounts is a LoadRequest (version, waiting requests) or a Usage (requests
// begun, requests in progress).
type wireAdapterCounts struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Model   string
	Adapter string
	Version int // of a Usage: requests begun
	Count   int
}

type wireLoadResponse struct {
	_            struct{} `cbor:",toarray"`
	Server       string
	Model        string
	Adapter      string
	Version      int
	Loaded       bool
	RetryAfterMS int64
	Unloaded     bool
	Pending      bool
	Reason       string
}

type wireEngineLoad struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Requests int
}

type wireRemovedServer struct {
	_          struct{} `cbor:",toarray"`
	Server     string
	RowVersion uint64
}

type wireServerNotice struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Born    int64
	Leaving bool
}

type wireRateLimit struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
	Rate   float64
	AgeMS  int64
}

type wirePermitRequest struct {
	_      struct{} `cbor:",toarray"`
	Server string
	ID     uint64
	Rate   float64
}

type wirePermitResponse struct {
	_      struct{} `cbor:",toarray"`
	Server string
	ID     uint64
	OK     bool
	WaitMS int64
}

type wireSlotRequest struct {
	_      struct{} `cbor:",toarray"`
	Server string
	ID     uint64
	Held   int
	Slots  int

	Received uint64
}

type wireSlotReport struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	Abandoned int
	Load      int
}

type wireBrittleService struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	Brittle       bool
	MaxRejections int
	AgeMS         int64
}

type wireStreamOrigin struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Software string
}

type wireOriginRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Stream uint64
}

type wireOriginResponse struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Known    bool
	Software string
}

type wirePrefill struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Tokens int
}

type wirePrefillRequest struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	ID        uint64
	Model     string
	Adapter   string
	Tokens    int
	Priority  int
	OnTimeMS  int64
	UsefulMS  int64
	MaxWaitMS int64
}

type wirePrefillDetail struct {
	Workspace    string `cbor:"1,keyasint,omitempty"`
	OutputTokens int    `cbor:"2,keyasint,omitempty"`
}

type wirePrefillResponse struct {
	_      struct{} `cbor:",toarray"`
	Server string
	ID     uint64
	State  string
	WaitMS int64
}

// maxUpdateAgeMS bounds the age that an update states.
const maxUpdateAgeMS = uint64(time.Hour / time.Millisecond)

// ageMS returns the time since the store was read, in milliseconds; 0 if that is not known.
func (u TableUpdate) ageMS(now time.Time) uint64 {
	if u.ReadAt.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(u.ReadAt), 0).Milliseconds())
}

type wireTableUpdate struct {
	_     struct{} `cbor:",toarray"`
	Table string
	After uint64
	To    uint64
	Rows  []wireTableChange
}

type wireTableChange struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

type wireTableRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
}

// convert returns what f makes of each element of a list; nil for an empty one, which is then
// left out of the frame.
func convert[S, T any](list []S, f func(S) T) []T {
	var out []T
	for _, x := range list {
		out = append(out, f(x))
	}
	return out
}

// Encode returns the frame of a bundle, in CBOR.
func Encode(b Bundle) ([]byte, error) {
	w := wireBundle{
		Name: b.From.Name, Address: b.From.Address, Zone: b.From.Zone, Incarnation: b.Incarnation,
		HasOwned: b.HasOwned, Owned: b.Owned, Draining: b.Draining, ConfigRequested: b.ConfigRequested, StateRequested: b.StateRequested,
		Config: b.Config, ConfigRowVersion: b.ConfigRowVersion, ConfigVersion: b.ConfigVersion, PacedServices: b.PacedServices,
		Servers: encodeRows(b.Servers), Versions: encodeRows(b.Versions), SoftwareRows: encodeRows(b.SoftwareRows),
		HasCutOff: b.HasCutOff, CutOff: b.CutOff, Rejections: b.Rejections,
		Evidence: encodeEvidence(b.Evidence), EvidenceReplies: encodeEvidence(b.EvidenceReplies),
		QuotaReports: encodeQuotaReports(b.QuotaReports), QuotaShares: encodeQuotaShares(b.QuotaShares), QuotaCharges: encodeQuotaCharges(b.QuotaCharges),
	}
	for _, x := range b.LoadRequests {
		w.LoadRequests = append(w.LoadRequests, wireAdapterCounts{Server: x.Server, Model: x.Target.Model, Adapter: x.Target.Adapter, Version: x.Version, Count: x.Waiting})
	}
	for _, x := range b.LoadResponses {
		w.LoadResponses = append(w.LoadResponses, wireLoadResponse{
			Server: x.Server, Model: x.Target.Model, Adapter: x.Target.Adapter, Version: x.Version,
			Loaded: x.Loaded, RetryAfterMS: x.RetryAfterMS, Unloaded: x.Unloaded, Pending: x.Pending, Reason: x.Reason,
		})
	}
	for _, x := range b.Usage {
		w.Usage = append(w.Usage, wireAdapterCounts{Server: x.Server, Model: x.Target.Model, Adapter: x.Target.Adapter, Version: x.Begun, Count: x.InProgress})
	}
	for _, u := range b.TableUpdates {
		x := wireTableUpdate{Table: u.Table, After: u.After, To: u.To}
		for _, r := range u.Rows {
			x.Rows = append(x.Rows, wireTableChange{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
		}
		w.TableUpdates = append(w.TableUpdates, x)
		w.UpdateAgesMS = append(w.UpdateAgesMS, u.ageMS(time.Now()))
	}
	for _, l := range b.EngineLoads {
		w.EngineLoads = append(w.EngineLoads, wireEngineLoad{Server: l.Server, Requests: l.Requests})
	}
	for _, s := range b.RemovedServers {
		w.RemovedServers = append(w.RemovedServers, wireRemovedServer{Server: s.Server, RowVersion: s.RowVersion})
	}
	for _, s := range b.ServerNotices {
		w.ServerNotices = append(w.ServerNotices, wireServerNotice{Server: s.Server, Born: s.Born, Leaving: s.Leaving})
	}
	for _, l := range b.RateLimits {
		w.RateLimits = append(w.RateLimits, wireRateLimit{Server: l.Server, Born: l.Born, Rate: l.Rate, AgeMS: l.AgeMS})
	}
	for _, r := range b.PermitRequests {
		w.PermitRequests = append(w.PermitRequests, wirePermitRequest{Server: r.Server, ID: r.ID, Rate: r.Rate})
	}
	w.PermitResponses, w.SlotResponses = encodePermitResponses(b.PermitResponses), encodePermitResponses(b.SlotResponses)
	w.SharedPrompts = encodeSharedPrompts(b.SharedPrompts)
	for _, p := range b.Prefills {
		w.Prefills = append(w.Prefills, wirePrefill{Server: p.Server, Tokens: p.Tokens})
	}
	for _, r := range b.PrefillRequests {
		w.PrefillRequests = append(w.PrefillRequests, wirePrefillRequest{
			Server: r.Server, ID: r.ID, Model: r.Target.Model, Adapter: r.Target.Adapter, Tokens: r.Tokens,
			Priority: r.Priority, OnTimeMS: r.OnTimeMS, UsefulMS: r.UsefulMS, MaxWaitMS: r.MaxWaitMS,
		})
	}
	w.PrefillDetails = encodePrefillDetails(b.PrefillRequests)
	for _, r := range b.PrefillResponses {
		w.PrefillResponses = append(w.PrefillResponses, wirePrefillResponse{Server: r.Server, ID: r.ID, State: string(r.State), WaitMS: r.WaitMS})
	}
	for _, x := range b.SlotRequests {
		w.SlotRequests = append(w.SlotRequests, wireSlotRequest{Server: x.Server, ID: x.ID, Held: x.Held, Slots: x.Slots, Received: x.Received})
	}
	for _, x := range b.SlotReports {
		w.SlotReports = append(w.SlotReports, wireSlotReport{Server: x.Server, Abandoned: x.Abandoned, Load: x.Load})
	}
	for _, x := range b.BrittleServices {
		w.BrittleServices = append(w.BrittleServices, wireBrittleService{Service: x.Service, Brittle: x.Brittle, MaxRejections: x.MaxRejections, AgeMS: x.AgeMS})
	}
	for _, x := range b.StreamOrigins {
		w.StreamOrigins = append(w.StreamOrigins, wireStreamOrigin{Stream: uint64(x.Stream), Software: x.Software})
	}
	for _, x := range b.OriginRequests {
		w.OriginRequests = append(w.OriginRequests, wireOriginRequest{ID: x.ID, Stream: uint64(x.Stream)})
	}
	for _, x := range b.OriginResponses {
		w.OriginResponses = append(w.OriginResponses, wireOriginResponse{ID: x.ID, Known: x.Known, Software: x.Software})
	}
	frame, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return frame, nil
}

// decoding accepts texts that are not UTF-8: names of models and parts of prompts are
// callers' headers.
var decoding, errDecoding = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()

// Decode returns the bundle of a frame.
func Decode(frame []byte) (Bundle, error) {
	if errDecoding != nil {
		return Bundle{}, fmt.Errorf("decoding options: %w", errDecoding)
	}
	var w wireBundle
	if err := decoding.Unmarshal(frame, &w); err != nil {
		return Bundle{}, fmt.Errorf("decode bundle: %w", err)
	}
	b := Bundle{
		From: Member{Name: w.Name, Address: w.Address, Zone: w.Zone}, Incarnation: w.Incarnation,
		HasOwned: w.HasOwned, Owned: w.Owned, Draining: w.Draining, ConfigRequested: w.ConfigRequested, StateRequested: w.StateRequested,
		Config: w.Config, ConfigRowVersion: w.ConfigRowVersion, ConfigVersion: w.ConfigVersion, PacedServices: w.PacedServices,
		Servers: decodeRows(w.Servers), Versions: decodeRows(w.Versions), SoftwareRows: decodeRows(w.SoftwareRows),
		HasCutOff: w.HasCutOff, CutOff: w.CutOff, Rejections: w.Rejections,
		Evidence: decodeEvidence(w.Evidence), EvidenceReplies: decodeEvidence(w.EvidenceReplies),
		QuotaReports: decodeQuotaReports(w.QuotaReports), QuotaShares: decodeQuotaShares(w.QuotaShares), QuotaCharges: decodeQuotaCharges(w.QuotaCharges),
	}
	for _, x := range w.LoadRequests {
		b.LoadRequests = append(b.LoadRequests, LoadRequest{Server: x.Server, Target: modelAdapter(x.Model, x.Adapter), Version: x.Version, Waiting: x.Count})
	}
	for _, x := range w.LoadResponses {
		b.LoadResponses = append(b.LoadResponses, LoadResponse{Server: x.Server, Target: modelAdapter(x.Model, x.Adapter), Version: x.Version, Loaded: x.Loaded, RetryAfterMS: x.RetryAfterMS, Unloaded: x.Unloaded, Pending: x.Pending, Reason: x.Reason})
	}
	for _, x := range w.Usage {
		b.Usage = append(b.Usage, Usage{Server: x.Server, Target: modelAdapter(x.Model, x.Adapter), Begun: x.Version, InProgress: x.Count})
	}
	for _, x := range w.EngineLoads {
		b.EngineLoads = append(b.EngineLoads, EngineLoad{Server: x.Server, Requests: x.Requests})
	}
	for _, x := range w.RemovedServers {
		b.RemovedServers = append(b.RemovedServers, RemovedServer{Server: x.Server, RowVersion: x.RowVersion})
	}
	for _, x := range w.ServerNotices {
		b.ServerNotices = append(b.ServerNotices, ServerNotice{Server: x.Server, Born: x.Born, Leaving: x.Leaving})
	}
	for _, x := range w.RateLimits {
		b.RateLimits = append(b.RateLimits, RateLimit{Server: x.Server, Born: x.Born, Rate: x.Rate, AgeMS: x.AgeMS})
	}
	for _, x := range w.PermitRequests {
		b.PermitRequests = append(b.PermitRequests, PermitRequest{Server: x.Server, ID: x.ID, Rate: x.Rate})
	}
	b.PermitResponses, b.SlotResponses = decodePermitResponses(w.PermitResponses), decodePermitResponses(w.SlotResponses)
	b.SharedPrompts = decodeSharedPrompts(w.SharedPrompts)
	for _, x := range w.Prefills {
		b.Prefills = append(b.Prefills, Prefill{Server: x.Server, Tokens: x.Tokens})
	}
	for i, x := range w.PrefillRequests {
		r := PrefillRequest{
			Server: x.Server, ID: x.ID, Target: modelAdapter(x.Model, x.Adapter), Tokens: x.Tokens,
			Priority: x.Priority, OnTimeMS: x.OnTimeMS, UsefulMS: x.UsefulMS, MaxWaitMS: x.MaxWaitMS,
		}
		if i < len(w.PrefillDetails) {
			r.Workspace, r.OutputTokens = w.PrefillDetails[i].Workspace, w.PrefillDetails[i].OutputTokens
		}
		b.PrefillRequests = append(b.PrefillRequests, r)
	}
	for _, x := range w.PrefillResponses {
		b.PrefillResponses = append(b.PrefillResponses, PrefillResponse{Server: x.Server, ID: x.ID, State: PrefillState(x.State), WaitMS: x.WaitMS})
	}
	now := time.Now()
	for i, x := range w.TableUpdates {
		u := TableUpdate{Table: x.Table, After: x.After, To: x.To, ReadAt: now}
		if i < len(w.UpdateAgesMS) { // instances of earlier builds state none
			u.ReadAt = now.Add(-time.Duration(min(w.UpdateAgesMS[i], maxUpdateAgeMS)) * time.Millisecond)
		}
		for _, r := range x.Rows {
			u.Rows = append(u.Rows, chestnutstream.TableRow{Table: x.Table, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
		}
		b.TableUpdates = append(b.TableUpdates, u)
	}
	for _, x := range w.SlotRequests {
		b.SlotRequests = append(b.SlotRequests, SlotRequest{Server: x.Server, ID: x.ID, Held: x.Held, Slots: x.Slots, Received: x.Received})
	}
	for _, x := range w.SlotReports {
		b.SlotReports = append(b.SlotReports, SlotReport{Server: x.Server, Abandoned: x.Abandoned, Load: x.Load})
	}
	for _, x := range w.BrittleServices {
		b.BrittleServices = append(b.BrittleServices, BrittleService{Service: x.Service, Brittle: x.Brittle, MaxRejections: x.MaxRejections, AgeMS: x.AgeMS})
	}
	for _, x := range w.StreamOrigins {
		b.StreamOrigins = append(b.StreamOrigins, software.Origin{Stream: software.StreamKey(x.Stream), Software: x.Software})
	}
	for _, x := range w.OriginRequests {
		b.OriginRequests = append(b.OriginRequests, OriginRequest{ID: x.ID, Stream: software.StreamKey(x.Stream)})
	}
	for _, x := range w.OriginResponses {
		b.OriginResponses = append(b.OriginResponses, OriginResponse{ID: x.ID, Known: x.Known, Software: x.Software})
	}
	return b, nil
}

func modelAdapter(model, adapter string) chestnutstream.ModelAdapter {
	return chestnutstream.ModelAdapter{Model: model, Adapter: adapter}
}

func encodeRows(rows []chestnutstream.TableRow) []wireTableRow {
	var out []wireTableRow
	for _, r := range rows {
		out = append(out, wireTableRow{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return out
}

func decodeRows(rows []wireTableRow) []chestnutstream.TableRow {
	var out []chestnutstream.TableRow
	for _, r := range rows {
		out = append(out, chestnutstream.TableRow{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return out
}

// encodePrefillDetails returns nil if no request names a workspace.
func encodePrefillDetails(requests []PrefillRequest) []wirePrefillDetail {
	var out []wirePrefillDetail
	for i, r := range requests {
		if r.Workspace == "" {
			continue
		}
		if out == nil {
			out = make([]wirePrefillDetail, len(requests))
		}
		out[i] = wirePrefillDetail{Workspace: r.Workspace, OutputTokens: r.OutputTokens}
	}
	return out
}
