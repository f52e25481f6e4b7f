package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Its text appears in printed schedules and reports.
type Kind string

// Kinds of faults. Kill and Pause act on one daemon of a data centre, ReplaceDaemons on
// all of them. Partition separates two data centres in both directions.
const (
	Kill                   Kind = "kill"
	Pause                  Kind = "pause"
	Partition              Kind = "cut"
	OneWayPartition        Kind = "cut_one_way"
	LogOutage              Kind = "log_outage"
	LogSlow                Kind = "log_slow"
	LogDropsResponses      Kind = "log_lost_answers"
	LogPartition           Kind = "cut_from_log"
	ListPartition          Kind = "cut_from_list"
	ListLag                Kind = "list_lag"
	WorkersDropResponses   Kind = "worker_lost_answers"
	WorkerCrash            Kind = "worker_crash"
	WorkerFailsAll         Kind = "worker_fails_all"
	WorkersDuplicateEvents Kind = "duplicated_events"
	WorkersReorderEvents   Kind = "reordered_events"
	Drain                  Kind = "drain"
	ReplaceDaemons         Kind = "replace_all_daemons"
	PublishRace            Kind = "publish_race"
	ShareChange            Kind = "share_change"
)

// requiredKinds occur in every run that allows them, even a short one.
var requiredKinds = []Kind{Kill, Pause, Partition, LogOutage, Drain, PublishRace}

var allKinds = append(slices.Clone(requiredKinds), OneWayPartition, LogSlow, LogDropsResponses, LogPartition, ListPartition, ListLag,
	WorkersDropResponses, WorkerCrash, WorkerFailsAll, WorkersDuplicateEvents, WorkersReorderEvents, ReplaceDaemons, ShareChange)

// Fault is one entry of a schedule.
type Fault struct {
	// At is the time since the start of the load, For the duration.
	At, For time.Duration
	Kind    Kind
	// DC is the affected data centre, PeerDC the other side of a partition.
	DC, PeerDC string
	// Worker is the affected worker.
	Worker string
	// Param, from 1 to 6, selects the owner or a standby, the daemons and service
	// shares of publications, or the number of dropped responses.
	Param int
}

// String returns the line of the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6.2f s for %4.2f s  %-20s", f.At.Seconds(), f.For.Seconds(), f.Kind)
	switch f.Kind {
	case Partition, OneWayPartition:
		return s + " " + f.DC + " to " + f.PeerDC
	case LogOutage, LogSlow, ListLag, PublishRace, ShareChange, LogDropsResponses:
		return s
	case WorkerCrash, WorkerFailsAll, Drain:
		return s + " " + f.Worker
	case Kill, Pause, LogPartition, ListPartition:
		return fmt.Sprintf("%s %s, %s", s, f.DC, targetRole(f))
	}
	return s + " " + f.DC
}

// targetsOwner reports whether the fault is aimed at the owner rather than a standby.
// Two of three are, since the loss of an owner affects more of the cell.
func targetsOwner(f Fault) bool { return f.Param%3 != 0 }

// targetRole returns the role of the targeted daemon for the printed schedule.
func targetRole(f Fault) string {
	if targetsOwner(f) {
		return "owner"
	}
	return "standby"
}

const (
	// firstFaultAt is the earliest time of a fault since the start of the load.
	firstFaultAt = 1500 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of two faults. Faults
	// last seconds, so several overlap.
	meanFaultInterval = 2 * time.Second
	// conflictMargin is the time between faults that must not be active together.
	conflictMargin = time.Second
	// journalMargin is the time for which a record may be in the memory of the
	// daemons only: the journal appends 64 KiB once a second, so the backlog of a
	// log fault takes some seconds to write.
	journalMargin = 5 * time.Second
)

// NewSchedule returns the faults of a run, ordered by time. The same arguments give
// the same schedule; nil kinds means all kinds.
func NewSchedule(seed uint64, length time.Duration, kinds []Kind) []Fault {
	if kinds == nil {
		kinds = allKinds
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	order := drawKinds(rng, kinds, max(len(kinds), int(length/meanFaultInterval)))
	if n := int((length - firstFaultAt) / (700 * time.Millisecond)); len(order) > n {
		order = order[:max(n, 0)]
	}
	step := (length - firstFaultAt) / time.Duration(max(len(order), 1))
	for i, k := range order {
		at := firstFaultAt + time.Duration(i)*step + randDuration(rng, step/2)
		if f, ok := placeFault(rng, k, at, length, out); ok {
			out = append(out, f)
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// drawKinds returns n kinds of faults from shuffled rounds of the given kinds. The first
// round begins with the required kinds, so that short runs have them.
func drawKinds(rng *rand.Rand, kinds []Kind, n int) []Kind {
	var out []Kind
	for len(out) < n {
		round := slices.Clone(kinds)
		rng.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
		if len(out) == 0 {
			slices.SortStableFunc(round, func(a, b Kind) int { return cmp.Compare(kindRank(a), kindRank(b)) })
		}
		out = append(out, round...)
	}
	return out[:n]
}

// kindRank orders required kinds before all others.
func kindRank(k Kind) int {
	if slices.Contains(requiredKinds, k) {
		return 0
	}
	return 1
}

// randDuration returns a random duration below d, and 0 if d is not positive.
func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(d)))
}

// placeFault draws a fault of kind k that conflicts with none of the others, at or
// after the given time, or from firstFaultAt on once the end of the run is reached.
// It reports false after 40 attempts.
func placeFault(rng *rand.Rand, k Kind, at, length time.Duration, others []Fault) (Fault, bool) {
	for range 40 {
		f := drawFault(rng, k, at)
		if !slices.ContainsFunc(others, func(o Fault) bool { return conflicts(f, o) || conflicts(o, f) }) {
			return f, true
		}
		if at += 300 * time.Millisecond; at >= length {
			at = firstFaultAt + randDuration(rng, length-firstFaultAt)
		}
	}
	return Fault{}, false
}

// drawFault draws the target and the duration of a fault.
func drawFault(rng *rand.Rand, k Kind, at time.Duration) Fault {
	i := rng.IntN(len(topology))
	f := Fault{At: at, Kind: k, DC: topology[i].Name, Param: 1 + rng.IntN(6)}
	f.PeerDC = topology[(i+1+rng.IntN(len(topology)-1))%len(topology)].Name
	f.Worker = fmt.Sprintf("%s-w-%d", f.DC, rng.IntN(topology[i].Workers))
	f.For = time.Second + randDuration(rng, 3*time.Second)
	switch k {
	case Pause:
		f.For = leaseTTL + time.Second + randDuration(rng, 2*time.Second)
	case ReplaceDaemons:
		f.For = 100*time.Millisecond + randDuration(rng, 500*time.Millisecond)
	case WorkerCrash, PublishRace, ShareChange:
		f.For = 0
	case LogOutage, Drain:
		f.For += time.Second
	}
	return f
}

// conflicts reports whether two faults must not be active together. Faults that use
// the same setting would end each other. Kill, Pause and ReplaceDaemons must leave
// one daemon of a data centre running, except that a replacement stops both. A
// replacement together with the loss of the journal or of a worker loses all three
// layers of records (section 5 of the design page), after which a repeated start is
// allowed. The rule for replacements looks at f only, so callers check both orders.
func conflicts(f, o Fault) bool {
	if f.Kind == ReplaceDaemons && (disruptsJournal(o.Kind) || (o.Kind == WorkerCrash && o.DC == f.DC)) {
		return overlaps(f, o, journalMargin)
	}
	if stopsDaemons(f.Kind) && stopsDaemons(o.Kind) {
		return f.DC == o.DC && overlaps(f, o, leaseTTL+conflictMargin)
	}
	if f.Kind != o.Kind {
		return false
	}
	switch f.Kind {
	case Drain, WorkerFailsAll:
		return f.Worker == o.Worker && overlaps(f, o, conflictMargin)
	case LogOutage, LogSlow, ListLag, LogDropsResponses:
		return overlaps(f, o, conflictMargin)
	case WorkersDropResponses, WorkersDuplicateEvents, WorkersReorderEvents:
		return f.DC == o.DC && overlaps(f, o, conflictMargin)
	}
	return false
}

// disruptsJournal reports whether a fault keeps records out of the journal.
func disruptsJournal(k Kind) bool {
	return k == LogOutage || k == LogSlow || k == LogPartition || k == LogDropsResponses
}

// stopsDaemons reports whether a fault kills or suspends daemons.
func stopsDaemons(k Kind) bool { return k == Kill || k == Pause || k == ReplaceDaemons }

// overlaps reports whether the faults are less than margin apart.
func overlaps(f, o Fault, margin time.Duration) bool {
	return f.At < o.At+o.For+margin && o.At < f.At+f.For+margin
}
