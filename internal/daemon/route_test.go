package daemon

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/fault"
)

// Guards against calling a request not sent after a call whose answer was lost,
// and against the opposite, which would make callers wait for nothing.
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

// Guards against telling "not run" by a refusal of a repeated call when the first
// one may have been accepted.
func TestRefusalAfterLostAnswer(t *testing.T) {
	for _, k := range []fault.Kind{fault.Overloaded, fault.DeadlineExceeded, fault.CanNeverRun, fault.FateInDoubt} {
		err := fault.New(k, "retry", "refused")
		assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", false, err)), k)
		assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", true, err)), fault.FateUnknownYet)
	}
	conflict := fault.New(fault.KeyConflict, "use a new key", "conflict")
	assert.Equal(t, fault.KindOf(refusalError("dc-b", "k", true, conflict)), fault.KeyConflict)
}

// Guards against repeating a call that was answered, and against giving up on
// one that the next owner can answer.
func TestRetryable(t *testing.T) {
	for kind, want := range map[fault.Kind]bool{
		fault.NoOwner: true, fault.HomeUnreachable: true, fault.FateUnknownYet: true, fault.StaleTerm: true, fault.Draining: true,
		fault.Overloaded: false, fault.KeyConflict: false, fault.FateInDoubt: false, fault.CanNeverRun: false,
	} {
		assert.Equal(t, retryable(fault.New(kind, "", "")), want, "%s", kind)
	}
	assert.Assert(t, !retryable(errors.New("other")))
}

// Guards against taking a refusal for "not run" that does not say so.
func TestCertainlyNotRun(t *testing.T) {
	for kind, want := range map[fault.Kind]bool{
		fault.Overloaded: true, fault.CanNeverRun: true, fault.NoOwner: true, fault.DeadlineExceeded: true,
		fault.FateUnknownYet: false, fault.FateInDoubt: false, fault.Internal: false, fault.KeyConflict: false,
	} {
		assert.Equal(t, certainlyNotRun(fault.New(kind, "", "")), want, "%s", kind)
	}
}

// Guards against forwarding to a former owner.
func TestPeersInListsOwnerFirst(t *testing.T) {
	s := &state{peers: []membership.Peer{
		{ID: "a", DataCentre: "x"}, {ID: "b", DataCentre: "x", Term: 2}, {ID: "c", DataCentre: "x", Term: 5}, {ID: "d", DataCentre: "y", Term: 9},
	}}
	got := s.peersIn("x")
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].ID, "c")
	assert.Equal(t, len(s.peersIn("z")), 0)
}
