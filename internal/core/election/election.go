// Package election decides when a daemon campaigns for its data centre, when
// it may serve as its owner and when it must step down. The worker leases are
// the only authority; the election only avoids useless campaigns.
package election

import "time"

// Role is a daemon's role in its data centre.
type Role uint8

// Roles in the order in which a daemon passes through them.
const (
	Standby Role = iota
	Campaigning
	Recovering
	Owner
)

// String returns the role's name for logs and status.
func (r Role) String() string {
	return [...]string{"standby", "campaigning", "recovering", "owner"}[r]
}

// Input is what the election looks at.
type Input struct {
	Now time.Time
	// Ready is false until the daemon has configuration and the instance list.
	Ready bool
	// Draining is true once shutdown began.
	Draining bool
	// Candidate is the membership table's advice to campaign.
	ShouldCampaign bool
	// OtherOwner is the term of a living owner other than this daemon, or 0.
	OtherOwnerTerm uint64
	// MaxTerm is the highest term seen in the data centre.
	MaxTerm uint64
	// Majority and All describe the worker leases held at Now.
	HoldsMajority, HoldsAll bool
	// Recovered is true when the records were loaded for the current term.
	RecordsLoaded bool
}

// Step is what the daemon has to do after a Tick.
type Action uint8

// Steps.
const (
	None          Action = iota
	StartCampaign        // request all leases with Term
	StartRecovery        // load records
	StartServing
	StepDown // release all leases and stop deciding
)

// Election is the state machine of one daemon. It is not safe for concurrent use.
type Election struct {
	ttl               time.Duration
	role              Role
	term              uint64
	campaignStartedAt time.Time
	holdOffUntil      time.Time
}

// New returns a standby. ttl is the worker lease TTL.
func New(ttl time.Duration) *Election { return &Election{ttl: ttl} }

// Role returns the current role.
func (e *Election) Role() Role { return e.role }

// Term returns the term of the current campaign or ownership.
func (e *Election) Term() uint64 { return e.term }

// campaignTTLs bounds a campaign without a majority, in lease TTLs. Leases of
// a dead owner expire within one TTL; after that more time does not help.
const maxCampaignTTLs = 2

// Tick advances the state machine.
func (e *Election) Tick(in Input) Action {
	switch e.role {
	case Standby:
		return e.tickStandby(in)
	case Campaigning:
		return e.tickCampaign(in)
	case Recovering:
		return e.tickRecovery(in)
	default:
		return e.tickOwner(in)
	}
}

func (e *Election) tickStandby(in Input) Action {
	if !in.Ready || in.Draining || !in.ShouldCampaign || in.Now.Before(e.holdOffUntil) {
		return None
	}
	// The term must also exceed the own earlier one: a start that was sent under
	// it may still arrive, and only a new term makes the worker refuse it.
	e.role, e.campaignStartedAt, e.term = Campaigning, in.Now, max(in.MaxTerm, e.term)+1
	return StartCampaign
}

func (e *Election) tickCampaign(in Input) Action {
	switch {
	case in.Draining, in.OtherOwnerTerm >= e.term:
		return e.stepDown(in, 0)
	case in.HoldsMajority:
		e.role = Recovering
		return StartRecovery
	case in.MaxTerm > e.term:
		// A worker granted a higher term before; a new campaign has to exceed it.
		e.term = in.MaxTerm + 1
		return StartCampaign
	case in.Now.Sub(e.campaignStartedAt) > maxCampaignTTLs*e.ttl:
		return e.stepDown(in, e.ttl/2)
	}
	return None
}

func (e *Election) tickRecovery(in Input) Action {
	if in.Draining || !in.HoldsMajority || in.OtherOwnerTerm > e.term {
		return e.stepDown(in, 0)
	}
	// Workers that did not grant yet may still be leased to a dead owner. After
	// a TTL and a half they are unreachable, not leased.
	if in.RecordsLoaded && (in.HoldsAll || in.Now.Sub(e.campaignStartedAt) > e.ttl*3/2) {
		e.role = Owner
		return StartServing
	}
	return None
}

func (e *Election) tickOwner(in Input) Action {
	if !in.HoldsMajority || in.OtherOwnerTerm > e.term {
		return e.stepDown(in, 0)
	}
	return None
}

// Resign makes an owner step down at the end of a graceful shutdown.
func (e *Election) Resign(now time.Time) { e.stepDown(Input{Now: now}, e.ttl) }

func (e *Election) stepDown(in Input, holdOff time.Duration) Action {
	e.role, e.holdOffUntil = Standby, in.Now.Add(holdOff)
	return StepDown
}
