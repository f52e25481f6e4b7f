// Package election decides when a daemon campaigns for the ownership of its
// data centre, when it may serve as owner and when it must step down. Ownership
// depends on the worker leases alone; the election only avoids campaigns that
// cannot succeed.
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

// String returns the name of the role as it appears in logs and status output.
func (r Role) String() string {
	return [...]string{"standby", "campaigning", "recovering", "owner"}[r]
}

// Input is the information on which one Tick decides.
type Input struct {
	Now time.Time
	// Ready is false until the daemon has configuration and the instance list.
	Ready bool
	// Draining is true from the start of a graceful shutdown.
	Draining bool
	// ShouldCampaign is the result of membership.Table.ShouldCampaign.
	ShouldCampaign bool
	// OtherOwnerTerm is the term of another live owner of the data centre, or 0.
	OtherOwnerTerm uint64
	// MaxTerm is the highest term seen in the data centre.
	MaxTerm uint64
	// HoldsMajority and HoldsAll tell whether the daemon holds, at Now, the leases
	// of more than half or of all listed workers.
	HoldsMajority, HoldsAll bool
	// RecordsLoaded is true once the records were loaded in the current term.
	RecordsLoaded bool
}

// Action is what the daemon has to do after a Tick.
type Action uint8

// Actions.
const (
	None          Action = iota
	StartCampaign        // request all leases with Term
	StartRecovery        // load records
	StartServing
	StepDown // release all leases and stop deciding
)

// Election is the state machine of one daemon. It is not safe for concurrent use.
type Election struct {
	ttl               time.Duration // of the worker leases
	role              Role
	term              uint64
	campaignStartedAt time.Time
	holdOffUntil      time.Time // no campaign starts before
}

// New returns an election in role Standby. ttl is the TTL of the worker leases.
func New(ttl time.Duration) *Election { return &Election{ttl: ttl} }

// Role returns the current role.
func (e *Election) Role() Role { return e.role }

// Term returns the term of the current campaign or ownership.
func (e *Election) Term() uint64 { return e.term }

// maxCampaignTTLs bounds a campaign without a majority, in lease TTLs. Leases of
// a dead owner expire within one TTL, so a longer campaign gains nothing.
const maxCampaignTTLs = 2

// Tick advances the state machine by at most one transition and returns the
// action that goes with it.
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
	// The term must also exceed this daemon's previous one: a start request sent in
	// that term may still arrive, and the worker refuses it only under a new term.
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
		// A worker has already granted a higher term, which the next campaign
		// must exceed.
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
	// Workers that have not granted their lease may still be leased to a dead
	// owner. After 1.5 TTLs that lease has expired, so they are unreachable.
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

// Resign makes an owner step down at the end of a graceful shutdown. The daemon
// starts no new campaign for one lease TTL.
func (e *Election) Resign(now time.Time) { e.stepDown(Input{Now: now}, e.ttl) }

// stepDown returns the daemon to standby. It starts no campaign for holdOff.
func (e *Election) stepDown(in Input, holdOff time.Duration) Action {
	e.role, e.holdOffUntil = Standby, in.Now.Add(holdOff)
	return StepDown
}
