// Package voters determines whether a leader that the store does not answer may stay leader, and
// whether a former leader has certainly stopped, from the daemons that hear of them.
//
// A leader counts the daemons that report to it; a daemon that knows of a later leader does not.
// The daemons that count are the voters of its term. They are recorded in the store, so that the
// next leader counts the same ones: a former leader that hears from enough voters, and a successor
// that enough of them have acknowledged, have one in common.
package voters

import "maps"

// Set holds the names of the voters.
type Set map[string]bool

// New returns the set of the given names.
func New(names ...string) Set {
	s := Set{}
	for _, name := range names {
		s[name] = true
	}
	return s
}

// Suffice reports whether the voters that a leader hears from are so many that it may stay leader.
func (s Set) Suffice(leader string, heard func(name string) bool) bool {
	return s.count(leader, heard) >= s.required()
}

// required returns the number of voters other than a leader that have to report to it.
func (s Set) required() int { return (len(s) + 1) / 2 }

// Supersede reports whether the voters that have acknowledged a later leader are so many that those
// which remain cannot suffice for the former one.
func (s Set) Supersede(former string, acknowledged func(name string) bool) bool {
	others := s.count(former, func(string) bool { return true })
	return others-s.count(former, acknowledged) < s.required()
}

// count counts the voters other than one that have a property.
func (s Set) count(except string, has func(name string) bool) int {
	n := 0
	for name := range s {
		if name != except && has(name) {
			n++
		}
	}
	return n
}

// Membership is the set of voters of a leader. A change takes effect once it is stored. Until then
// it is not known which of the two sets a successor reads, so that both have to suffice.
type Membership struct {
	// Current is the set that is stored; nil if there is none yet.
	Current Set
	// pending is the set that is being stored; nil if Current does not change.
	pending Set
}

// Change is a change of the set. Its slices are empty if there is none.
type Change struct{ Add, Drop []string }

// Propose begins to replace the set. It returns no change if the set is the same, or while an earlier
// change is not stored yet.
func (m *Membership) Propose(next Set) Change {
	if m.pending != nil || maps.Equal(next, m.Current) {
		return Change{}
	}
	m.pending = next
	var c Change
	for name := range next {
		if !m.Current[name] {
			c.Add = append(c.Add, name)
		}
	}
	for name := range m.Current {
		if !next[name] {
			c.Drop = append(c.Drop, name)
		}
	}
	return c
}

// HandleStored records that the change is stored.
func (m *Membership) HandleStored() {
	if m.pending != nil {
		m.Current, m.pending = m.pending, nil
	}
}

// Suffice reports whether the voters that a leader hears from suffice, whichever set is stored. It
// returns true while there is none.
func (m *Membership) Suffice(leader string, heard func(name string) bool) bool {
	return m.Current.Suffice(leader, heard) && (m.pending == nil || m.pending.Suffice(leader, heard))
}
