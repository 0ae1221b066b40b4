package instance

import (
	"github.com/chestnutstream/chestnutstream/workspace"
)

type wireQuotaReport struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string   // its name
	Incarnation uint64
	Sequence    uint64
	Primary     bool
	Final       bool
	Share       float64
	Demand      float64
	LongDemand  float64
	Need        float64
	Floor       float64
}

type wireQuotaShare struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string
	Incarnation uint64
	Sequence    uint64
	Share       float64
}

func encodeQuotaReports(reports []workspace.Report) []wireQuotaReport {
	var out []wireQuotaReport
	for _, r := range reports {
		out = append(out, wireQuotaReport{
			Workspace: r.Workspace, Incarnation: r.Incarnation, Sequence: r.Sequence, Primary: r.Primary, Final: r.Final,
			Share: r.Share, Demand: r.Demand, LongDemand: r.LongDemand, Need: r.Need, Floor: r.Floor,
		})
	}
	return out
}

func decodeQuotaReports(reports []wireQuotaReport) []workspace.Report {
	var out []workspace.Report
	for _, r := range reports {
		out = append(out, workspace.Report{
			Workspace: r.Workspace, Incarnation: r.Incarnation, Sequence: r.Sequence, Primary: r.Primary, Final: r.Final,
			Share: r.Share, Demand: r.Demand, LongDemand: r.LongDemand, Need: r.Need, Floor: r.Floor,
		})
	}
	return out
}

func encodeQuotaShares(grants []workspace.Grant) []wireQuotaShare {
	var out []wireQuotaShare
	for _, g := range grants {
		out = append(out, wireQuotaShare{Workspace: g.Workspace, Incarnation: g.Incarnation, Sequence: g.Sequence, Share: g.Share})
	}
	return out
}

func decodeQuotaShares(grants []wireQuotaShare) []workspace.Grant {
	var out []workspace.Grant
	for _, g := range grants {
		out = append(out, workspace.Grant{Workspace: g.Workspace, Incarnation: g.Incarnation, Sequence: g.Sequence, Share: g.Share})
	}
	return out
}

type wireQuotaCharge struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	ID        uint64
	Cost      float64
}

func encodeQuotaCharges(charges []QuotaCharge) []wireQuotaCharge {
	var out []wireQuotaCharge
	for _, c := range charges {
		out = append(out, wireQuotaCharge{Workspace: c.Workspace, ID: c.ID, Cost: c.Cost})
	}
	return out
}

func decodeQuotaCharges(charges []wireQuotaCharge) []QuotaCharge {
	var out []QuotaCharge
	for _, c := range charges {
		out = append(out, QuotaCharge{Workspace: c.Workspace, ID: c.ID, Cost: c.Cost})
	}
	return out
}

func encodePermitResponses(responses []PermitResponse) []wirePermitResponse {
	var out []wirePermitResponse
	for _, x := range responses {
		out = append(out, wirePermitResponse{Server: x.Server, ID: x.ID, OK: x.OK, WaitMS: x.WaitMS})
	}
	return out
}

func decodePermitResponses(responses []wirePermitResponse) []PermitResponse {
	var out []PermitResponse
	for _, x := range responses {
		out = append(out, PermitResponse{Server: x.Server, ID: x.ID, OK: x.OK, WaitMS: x.WaitMS})
	}
	return out
}
