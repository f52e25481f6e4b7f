package daemon

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/fault"
)

// After a call whose answer was lost, the error must say that the fate is unknown. If
// nothing was sent, it must not, or callers would wait in vain for a fate.
func TestRouteErrorReportsWhatWasSent(t *testing.T) {
	kind := func(k fault.Kind) error { return fault.New(k, "retry", "no answer") }
	for _, tc := range []struct {
		name      string
		maybeSent bool
		last      error
		want      fault.Kind
	}{
		{"nothing sent", false, kind(fault.HomeUnreachable), fault.HomeUnreachable},
		{"no owner", false, kind(fault.NoOwner), fault.NoOwner},
		{"draining", false, kind(fault.Draining), fault.Draining},
		{"sent, then unreachable", true, kind(fault.HomeUnreachable), fault.FateUnknownYet},
		{"sent, then no owner", true, kind(fault.NoOwner), fault.FateUnknownYet},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, fault.KindOf(routeError("dc-b", "k", tc.maybeSent, tc.last)), tc.want)
		})
	}
}

// If the first call may have been accepted, a refusal of the repeated one must not be
// returned as such, because callers would take the request as not run.
func TestRefusalAfterLostAnswer(t *testing.T) {
	for _, k := range []fault.Kind{fault.Overloaded, fault.DeadlineExceeded, fault.CanNeverRun, fault.FateInDoubt} {
		err := fault.New(k, "retry", "refused")
		assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", false, err)), k)
		assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", true, err)), fault.FateUnknownYet)
	}
	conflict := fault.New(fault.KeyConflict, "use a new key", "conflict")
	assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", true, conflict)), fault.KeyConflict)
}

// A call that was answered must not be repeated; one that the next owner can answer
// must be.
func TestRetryable(t *testing.T) {
	for kind, want := range map[fault.Kind]bool{
		fault.NoOwner: true, fault.HomeUnreachable: true, fault.FateUnknownYet: true, fault.StaleTerm: true, fault.Draining: true,
		fault.Overloaded: false, fault.KeyConflict: false, fault.FateInDoubt: false, fault.CanNeverRun: false,
	} {
		assert.Equal(t, retryable(fault.New(kind, "", "")), want, "%s", kind)
	}
	assert.Assert(t, !retryable(errors.New("other")))
}

// Only faults that certainly mean "not run" may count as such.
func TestCertainlyNotRun(t *testing.T) {
	for kind, want := range map[fault.Kind]bool{
		fault.Overloaded: true, fault.CanNeverRun: true, fault.NoOwner: true, fault.DeadlineExceeded: true,
		fault.FateUnknownYet: false, fault.FateInDoubt: false, fault.Internal: false, fault.KeyConflict: false,
	} {
		assert.Equal(t, certainlyNotRun(fault.New(kind, "", "")), want, "%s", kind)
	}
}

// The owner of the highest term comes first, so that calls are not forwarded to a
// former owner.
func TestPeersInListsOwnerFirst(t *testing.T) {
	s := &state{peers: []membership.Peer{
		{ID: "a", DataCentre: "x"}, {ID: "b", DataCentre: "x", Term: 2}, {ID: "c", DataCentre: "x", Term: 5}, {ID: "d", DataCentre: "y", Term: 9},
	}}
	got := s.peersIn("x")
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].ID, "c")
	assert.Equal(t, len(s.peersIn("z")), 0)
}
