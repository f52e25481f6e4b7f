package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ttl = 3 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// input returns the input of a ready daemon without peers, the given time after
// epoch.
func input(after time.Duration) Input {
	return Input{Now: epoch.Add(after), Ready: true, ShouldCampaign: true}
}

// electionInRole returns an election that has reached the role with term 1.
func electionInRole(t *testing.T, role Role) *Election {
	t.Helper()
	e := New(ttl)
	in := input(0)
	if role >= Campaigning {
		assert.Equal(t, e.Tick(in), StartCampaign)
	}
	in.HoldsMajority, in.MaxTerm = true, 1
	if role >= Recovering {
		assert.Equal(t, e.Tick(in), StartRecovery)
	}
	in.RecordsLoaded, in.HoldsAll = true, true
	if role >= Owner {
		assert.Equal(t, e.Tick(in), StartServing)
	}
	assert.Equal(t, e.Role(), role)
	return e
}

// An owner must hold the majority of the leases and must step down when another
// owner has a higher term; a campaign without a majority must end.
func TestTick(t *testing.T) {
	for _, tc := range []struct {
		name     string
		role     Role
		at       time.Duration
		modify   func(*Input)
		action   Action
		wantRole Role
		wantTerm uint64
	}{
		{"not ready", Standby, 0, func(in *Input) { in.Ready = false }, None, Standby, 0},
		{"draining", Standby, 0, func(in *Input) { in.Draining = true }, None, Standby, 0},
		{"another daemon should campaign", Standby, 0, func(in *Input) { in.ShouldCampaign = false }, None, Standby, 0},
		{"term exceeds the highest known one", Standby, 0, func(in *Input) { in.MaxTerm = 7 }, StartCampaign, Campaigning, 8},
		{"campaign waits", Campaigning, time.Second, func(in *Input) { in.MaxTerm = 1 }, None, Campaigning, 1},
		{"campaign meets a higher term", Campaigning, time.Second, func(in *Input) { in.MaxTerm = 4 }, StartCampaign, Campaigning, 5},
		{"campaign sees an owner", Campaigning, time.Second, func(in *Input) { in.OtherOwnerTerm = 1 }, StepDown, Standby, 1},
		{"campaign times out", Campaigning, 7 * time.Second, func(*Input) {}, StepDown, Standby, 1},
		{"majority", Campaigning, time.Second, func(in *Input) { in.HoldsMajority = true }, StartRecovery, Recovering, 1},
		{"recovery waits for records", Recovering, time.Second, func(in *Input) { in.HoldsMajority, in.HoldsAll = true, true }, None, Recovering, 1},
		{"recovery waits for workers", Recovering, time.Second, func(in *Input) { in.HoldsMajority, in.RecordsLoaded = true, true }, None, Recovering, 1},
		{"recovery stops waiting for workers", Recovering, 5 * time.Second, func(in *Input) { in.HoldsMajority, in.RecordsLoaded = true, true }, StartServing, Owner, 1},
		{"recovery loses the majority", Recovering, time.Second, func(in *Input) { in.RecordsLoaded = true }, StepDown, Standby, 1},
		{"recovery is drained", Recovering, time.Second, func(in *Input) { in.HoldsMajority, in.Draining = true, true }, StepDown, Standby, 1},
		{"owner stays", Owner, time.Hour, func(in *Input) { in.HoldsMajority = true }, None, Owner, 1},
		{"draining owner serves until it resigns", Owner, time.Hour, func(in *Input) { in.HoldsMajority, in.Draining = true, true }, None, Owner, 1},
		{"owner loses the majority", Owner, time.Hour, func(*Input) {}, StepDown, Standby, 1},
		{"owner sees a lower term", Owner, time.Hour, func(in *Input) { in.HoldsMajority, in.OtherOwnerTerm = true, 1 }, None, Owner, 1},
		{"owner sees its successor", Owner, time.Hour, func(in *Input) { in.HoldsMajority, in.OtherOwnerTerm = true, 2 }, StepDown, Standby, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := electionInRole(t, tc.role)
			in := input(tc.at)
			tc.modify(&in)
			assert.Equal(t, e.Tick(in), tc.action)
			assert.Equal(t, e.Role(), tc.wantRole)
			assert.Equal(t, e.Term(), tc.wantTerm)
		})
	}
}

// A daemon must not campaign again immediately after it resigned or after its
// campaign timed out.
func TestHoldOff(t *testing.T) {
	e := electionInRole(t, Owner)
	e.Resign(epoch)
	assert.Equal(t, e.Tick(input(ttl-1)), None)
	assert.Equal(t, e.Tick(input(ttl)), StartCampaign)
	e = electionInRole(t, Campaigning)
	assert.Equal(t, e.Tick(input(2*ttl+1)), StepDown)
	assert.Equal(t, e.Tick(input(2*ttl+2)), None)
	assert.Equal(t, e.Tick(input(3*ttl)), StartCampaign)
}

// Every role must have a distinct name in logs.
func TestRoleNames(t *testing.T) {
	seen := map[string]bool{}
	for r := Standby; r <= Owner; r++ {
		assert.Assert(t, r.String() != "" && !seen[r.String()])
		seen[r.String()] = true
	}
}

// A daemon must not campaign again with a term that it has used: a worker would
// accept start requests that were sent before the daemon stepped down.
func TestTermIsNotUsedTwice(t *testing.T) {
	for _, role := range []Role{Campaigning, Recovering, Owner} {
		e := electionInRole(t, role)
		assert.Equal(t, e.Tick(input(time.Hour)), StepDown)
		assert.Equal(t, e.Tick(input(2*time.Hour)), StartCampaign)
		assert.Equal(t, e.Term(), uint64(2), "after %s", role)
	}
}
