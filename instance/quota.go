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
	return convert(reports, func(r workspace.Report) wireQuotaReport {
		return wireQuotaReport{
			Workspace: r.Workspace, Incarnation: r.Incarnation, Sequence: r.Sequence, Primary: r.Primary, Final: r.Final,
			Share: r.Share, Demand: r.Demand, LongDemand: r.LongDemand, Need: r.Need, Floor: r.Floor,
		}
	})
}

func decodeQuotaReports(reports []wireQuotaReport) []workspace.Report {
	return convert(reports, func(r wireQuotaReport) workspace.Report {
		return workspace.Report{
			Workspace: r.Workspace, Incarnation: r.Incarnation, Sequence: r.Sequence, Primary: r.Primary, Final: r.Final,
			Share: r.Share, Demand: r.Demand, LongDemand: r.LongDemand, Need: r.Need, Floor: r.Floor,
		}
	})
}

func encodeQuotaShares(grants []workspace.Grant) []wireQuotaShare {
	return convert(grants, func(g workspace.Grant) wireQuotaShare {
		return wireQuotaShare{Workspace: g.Workspace, Incarnation: g.Incarnation, Sequence: g.Sequence, Share: g.Share}
	})
}

func decodeQuotaShares(grants []wireQuotaShare) []workspace.Grant {
	return convert(grants, func(g wireQuotaShare) workspace.Grant {
		return workspace.Grant{Workspace: g.Workspace, Incarnation: g.Incarnation, Sequence: g.Sequence, Share: g.Share}
	})
}

type wireQuotaCharge struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	ID        uint64
	Cost      float64
}

func encodeQuotaCharges(charges []QuotaCharge) []wireQuotaCharge {
	return convert(charges, func(c QuotaCharge) wireQuotaCharge {
		return wireQuotaCharge{Workspace: c.Workspace, ID: c.ID, Cost: c.Cost}
	})
}

func decodeQuotaCharges(charges []wireQuotaCharge) []QuotaCharge {
	return convert(charges, func(c wireQuotaCharge) QuotaCharge {
		return QuotaCharge{Workspace: c.Workspace, ID: c.ID, Cost: c.Cost}
	})
}

func encodePermitResponses(responses []PermitResponse) []wirePermitResponse {
	return convert(responses, func(x PermitResponse) wirePermitResponse {
		return wirePermitResponse{Server: x.Server, ID: x.ID, OK: x.OK, WaitMS: x.WaitMS}
	})
}

func decodePermitResponses(responses []wirePermitResponse) []PermitResponse {
	return convert(responses, func(x wirePermitResponse) PermitResponse {
		return PermitResponse{Server: x.Server, ID: x.ID, OK: x.OK, WaitMS: x.WaitMS}
	})
}
