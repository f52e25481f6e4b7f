package jobs

import (
	"slices"
	"time"
)

// relays are the daemons that forward calls to the advice service, which
// handles the calls of each relay one at a time.
type relays struct {
	list []*relay
	// calls holds the calls in flight by sequence number.
	calls map[uint64]*adviceCall
	// lastSeq is the sequence number of the latest call.
	lastSeq uint64
	// allowRates holds the share of the requested workers that were allowed, by
	// queue.
	allowRates map[string]*allowRate
}

// relay is a daemon that forwards calls, with the number of its calls in flight.
type relay struct {
	name  string
	calls int
	// long counts the calls in flight that take at least longCallTime.
	long int
	// idleAt is when all its calls in flight are expected to be answered.
	idleAt time.Time
}

// allowRate holds running counts of allowed and of requested workers, in which
// older calls have less weight.
type allowRate struct{ allowed, requested float64 }

func newRelays() relays {
	return relays{calls: map[uint64]*adviceCall{}, allowRates: map[string]*allowRate{}}
}

// SetAdviceRelays replaces the daemons that can call the advice service; the
// leader's own comes first.
func (c *Core) SetAdviceRelays(names []string) {
	rs := &c.relays
	if slices.EqualFunc(rs.list, names, func(r *relay, name string) bool { return r.name == name }) {
		return
	}
	list := make([]*relay, 0, len(names))
	for _, name := range names {
		if i := slices.IndexFunc(rs.list, func(r *relay) bool { return r.name == name }); i >= 0 {
			list = append(list, rs.list[i])
		} else {
			list = append(list, &relay{name: name})
		}
	}
	rs.list = list
	c.placementsStale = true
}

const (
	// longCallTime is the call duration from which a call would delay short
	// calls of the same relay.
	longCallTime = 40 * time.Millisecond
	// maxShortCalls is the number of short calls that a relay may have in
	// flight. With more than one, the relay is not idle while an answer is in
	// transit.
	maxShortCalls = 3
	// shortOnlyDivisor determines the relays that take no long calls: one of
	// this many, at least one.
	shortOnlyDivisor = 4
)

// choose returns the relay for a call with decision time d, or nil when all are
// busy or the remaining ones are kept for short calls.
func (rs *relays) choose(now time.Time, d time.Duration) *relay {
	var chosen *relay
	long := 0
	for _, r := range rs.list {
		if r.long > 0 {
			long++
			continue
		}
		limit := maxShortCalls
		if d >= longCallTime {
			limit = 1
		}
		if r.calls < limit && (chosen == nil || r.idleAt.Before(chosen.idleAt) && chosen.idleAt.After(now)) {
			chosen = r
		}
	}
	if d >= longCallTime && len(rs.list) > 1 && long >= len(rs.list)-max(1, len(rs.list)/shortOnlyDivisor) {
		return nil
	}
	return chosen
}

// minAllowRate bounds expectedAllowRate, which limits the number of workers in a
// call when few were allowed before.
const minAllowRate = 0.1

// expectedAllowRate returns the expected share of allowed workers among those
// requested for a queue; 0.5 while nothing is known.
func (rs *relays) expectedAllowRate(queue string) float64 {
	rate := rs.allowRates[queue]
	if rate == nil || rate.requested == 0 {
		return 0.5
	}
	return max(rate.allowed/rate.requested, minAllowRate)
}

// observe updates the rate of allowed workers; older observations decay
// exponentially.
func (rs *relays) observe(queue string, allowed, requested int) {
	rate := rs.allowRates[queue]
	if rate == nil {
		rate = &allowRate{}
		rs.allowRates[queue] = rate
	}
	const decay = 0.98
	rate.allowed = rate.allowed*decay + float64(allowed)
	rate.requested = rate.requested*decay + float64(requested)
}

// finish removes a call and updates the load of its relay; it returns nil for
// an unknown call.
func (rs *relays) finish(seq uint64) *adviceCall {
	call := rs.calls[seq]
	if call == nil {
		return nil
	}
	delete(rs.calls, seq)
	call.relay.calls--
	if call.long {
		call.relay.long--
	}
	if call.relay.calls == 0 {
		call.relay.idleAt = time.Time{}
	}
	return call
}
