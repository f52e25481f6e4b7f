package voters

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// cell is a cell in which daemons leave, return and are cut off, while its leader changes the voters.
type cell struct {
	membership Membership
	// stored is what a successor reads.
	stored Set
	// inFlight are the changes that the store has not executed yet, or has not answered.
	inFlight []Change
	// executed is the number of those that it has executed.
	executed int
}

const leader = "d0"

func drawSet(t *rapid.T, label string) Set {
	s := Set{}
	for i := range 9 {
		if name := fmt.Sprintf("d%d", i); rapid.Bool().Draw(t, label+" "+name) {
			s[name] = true
		}
	}
	return s
}

// Guards against two leaders at the same time: a former leader, cut off from the store, that hears from
// enough voters, and a successor that counts as its only leader. Daemons leave, return before they are
// recorded again, or are dropped although they only cannot be heard, and changes of the voters are lost,
// stored without an answer, or made while half of the daemons leave.
func TestNoLeaderStaysBesideItsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawSet(t, "voters")
		if rapid.IntRange(0, 9).Draw(t, "leader votes") > 0 {
			first[leader] = true
		}
		c := cell{membership: Membership{Current: first}, stored: first}
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			c.changeVoters(t)
		}
		// Each daemon reports to the leader, or has acknowledged the successor, or neither.
		acknowledged := func(name string) bool { return rapid.IntRange(0, 2).Draw(t, name) == 0 }
		knows := Set{}
		for i := range 9 {
			name := fmt.Sprintf("d%d", i)
			knows[name] = acknowledged(name)
		}
		hears := func(name string) bool { return !knows[name] }
		if c.stored.Supersede(leader, func(name string) bool { return knows[name] }) && c.membership.Suffice(leader, hears) {
			t.Fatalf("the leader stays with %v or %v, the successor has %v of %v", c.membership.Current, c.membership.pending, knows, c.stored)
		}
	})
}

// changeVoters lets the leader propose other voters. The store executes the changes in order, or not yet,
// and answers or not.
func (c *cell) changeVoters(t *rapid.T) {
	if change := c.membership.Propose(drawSet(t, "next")); len(change.Add)+len(change.Drop) > 0 {
		c.inFlight = append(c.inFlight, change)
	}
	if c.executed < len(c.inFlight) && rapid.Bool().Draw(t, "executed") {
		c.stored = apply(c.stored, c.inFlight[c.executed])
		c.executed++
	}
	if c.executed > 0 && rapid.Bool().Draw(t, "answered") {
		c.inFlight = c.inFlight[1:]
		c.executed--
		c.membership.HandleStored()
	}
}

// apply returns a set after a change.
func apply(stored Set, change Change) Set {
	next := Set{}
	for name := range stored {
		if !slices.Contains(change.Drop, name) {
			next[name] = true
		}
	}
	for _, name := range change.Add {
		next[name] = true
	}
	return next
}

// Guards against a successor that waits longer than it has to: once the daemons that left are no voters
// any more, those that remain suffice.
func TestRemainingVotersSupersedeTheLeader(t *testing.T) {
	all := New("d0", "d1", "d2", "d3", "d4", "d5")
	remaining := New("d0", "d1", "d2")
	alive := func(name string) bool { return name == "d1" || name == "d2" }
	assert.Assert(t, !all.Supersede(leader, alive))
	assert.Assert(t, remaining.Supersede(leader, alive))
	assert.Assert(t, remaining.Suffice(leader, alive))
	assert.Assert(t, !remaining.Suffice(leader, func(name string) bool { return name == "d1" }))
}
