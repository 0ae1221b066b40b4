// Package workspace keeps the quotas of workspaces over all instances together.
//
// The limit of a workspace is divided into shares, fractions of 1. Buckets is what an
// instance that serves requests keeps: a token bucket for each workspace, with its share of
// the workspace's rate and burst. Allocator is what the instance keeps that moves the
// shares of a workspace to where its requests are. Both are pure: times are those of the
// boot-time clock, and are passed in.
//
// # Usage
//
//	b := workspace.NewBuckets(settings, boot())
//	if !b.Take(boot(), w, cost) {
//		retryAfter := b.Refuse(boot(), w, cost)
//	}
//	for _, r := range b.DueReports(boot()) { // to the allocator of r.Workspace, and its standby
//		...
//	}
//	b.Apply(boot(), grant) // the allocator's response
//
//	a := workspace.NewAllocator("edge-a-1")
//	a.SetView(boot(), view)
//	a.SetPrimary(boot(), "w", true)
//	responses := a.Report(boot(), "edge-b-1", report)
//
// # Invariants
//
// The shares that instances hold sum to at most maxHeld, and with the base shares of all of
// them to 1. A bucket holds at most its share of the burst and owes at most its share of the
// credit, a part of the platform's slack and overshoot. A share is given up only once the debt that it
// covers is repaid. So the requests let through in a time t are at most
// rate*t + burst + credit, however shares move.
//
// An allocator counts for each instance the larger of what it has reported and what it was
// granted since. An instance applies only the grant that answers its latest report, so that
// lost, late and reordered messages are harmless. An allocator that has just come into that
// role moves only what is held by the instances that report to it, until all instances that
// it reaches do.
package workspace

import (
	"time"
)

// Parameters of shares.
const (
	// maxHeld is the part of a limit that is held as shares. The rest is for base shares.
	maxHeld = 0.95
	// baseHeld is the part of a limit that all base shares take together: each instance has
	// one, so that a workspace gets something where no allocator can give it a share.
	baseHeld = 1 - maxHeld
	// headroom is the share that covers the present demand, relative to that demand.
	headroom = 1.25
	// neededPart is the part of the shares that the allocator's instance may have while a request
	// waits there that is larger than its share allows.
	neededPart = 0.7
	// chargeDemandPart is the share that the allocator's instance keeps to charge requests of the others,
	// relative to the demand of all. Requests of a workspace with one a second at an instance
	// come so unevenly that shares by demand are idle for a fifth of the time.
	chargeDemandPart = 0.6
	// minChargePart and maxChargePart limit that share, relative to what the allocator may give. The first
	// serves demand that has just begun, as after a restart of all instances. The rest stays
	// available if the allocator's instance fails.
	minChargePart = 0.4
	maxChargePart = 0.75
	// scaleRounds is the number of approximations to shares that sum to what may be given. A
	// sum that is still larger is cut when the shares are given.
	scaleRounds = 5
	// sparePart is the part that is given out, according to demand, of what is left when all
	// demand is covered. The rest can be given at once to instances whose demand grows.
	sparePart = 0.5
	// starved is the part of the share that it should have below which an instance is given
	// it as soon as possible: others are told of smaller shares at once.
	starved = 0.7
	// minMovePart is the smallest change of a share for which there is a message that no
	// report has asked for, relative to an equal share.
	minMovePart = 0.2
	// maxSpare limits the spare share, relative to the demand: without it the first instances with
	// demand after a start got all, and the next ones waited until they had returned it.
	maxSpare = 2
	// fewMissing is the part of the instances that an allocator may lack without waiting: where
	// instances are replaced one after the other, one is missing nearly always. What these hold
	// beyond their equal part of the limit may then be given out twice.
	fewMissing = 0.1
	// minDecrease is the relative decrease of a share below which it is left as it is, so
	// that a fluctuating demand doesn't cause messages.
	minDecrease = 0.1
)

// Times of reports.
const (
	reportInterval    = 500 * time.Millisecond
	minUrgentInterval = 50 * time.Millisecond // between reports of a bucket that is short
	minReturnInterval = 10 * time.Millisecond // between reports of shares that were returned, for which others may wait
	responseTimeout   = time.Second           // after which a report without a response is sent anew; doubles up to maxResponseTimeout
	// maxResponseTimeout is above the response time of an overloaded allocator: a response
	// counts only if no newer report has been sent.
	maxResponseTimeout = 4 * time.Second
	shareTimeout       = 30 * time.Second // after which a share without a response from an allocator is given up
	reclaimTimeout     = 35 * time.Second // after which the share of an instance that doesn't report may be given to others; above shareTimeout by more than a message's time of travel
	maxStepInterval    = 2 * time.Second  // a longer time between two steps of an allocator means that it was frozen
	// needTime is the time in which a large request may wait for tokens to accumulate. A share
	// that lets it through at once would leave the others none.
	needTime = 200 * time.Millisecond
	// thawTime is the time after a freeze in which the messages that have come meanwhile are read.
	thawTime = time.Second
	// settleMargin is added to the time in which lost connections are noticed.
	settleMargin = 2 * time.Second
)

// Report is what an instance tells the allocator of a workspace. All quantities are fractions of
// the workspace's limit.
type Report struct {
	Workspace   string
	Incarnation uint64 // of the instance's process
	Sequence    uint64 // of the reports for the workspace in that incarnation
	Primary     bool   // the receiver is the allocator in the sender's view
	Final       bool   // the sender stops; it has given up its share
	Share       float64
	Demand      float64 // moving average over about two seconds
	LongDemand  float64 // moving average over about ten seconds
	Need        float64 // share without which the largest waiting request cannot be let through; counts for the allocator's instance, which charges such requests of others
	Floor       float64 // share that covers the debt
}

// Grant is the response of an allocator.
type Grant struct {
	Workspace   string
	Incarnation uint64 // of the report that it answers
	Sequence    uint64
	Share       float64
}
