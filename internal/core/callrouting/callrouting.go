// Package callrouting decides which daemon makes the leader's calls to a worker. In a large
// cell these calls are most of a leader's work, so it passes them to relays: daemons near
// the workers. The package does no I/O and takes the time as an argument.
package callrouting

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// workersPerCore is the number of workers for which a daemon with a full core makes
	// calls.
	workersPerCore = 100
	// minCPUShare is the share of a core that is assumed for a daemon that does not state
	// its own.
	minCPUShare = 0.05
	// avoidTime is how long calls to a worker do not use a relay that did not reach it.
	avoidTime = 10 * time.Second
)

// Daemon is a daemon that can make calls for the leader.
type Daemon struct {
	Name       string
	DataCentre model.DataCentre
	// CPUShare is the share of a core that the daemon may use; 0 if it is not known.
	CPUShare float64
}

// capacity returns the number of workers that the daemon can make calls to.
func (d *Daemon) capacity() float64 { return workersPerCore * max(d.CPUShare, minCPUShare) }

// Table maps workers to relays. Its zero value has no relays.
type Table struct {
	// regions maps each data centre to its region.
	regions map[model.DataCentre]string
	workers map[model.WorkerID]model.DataCentre
	daemons []Daemon
	// relays holds the relays of the workers of each data centre.
	relays map[model.DataCentre][]Daemon
	avoid  map[link]time.Time
}

// link is the connection between a relay and a worker.
type link struct {
	relay  string
	worker model.WorkerID
}

// New returns a table without daemons. regions maps each data centre to its region.
func New(regions map[model.DataCentre]string) *Table {
	return &Table{regions: regions, avoid: map[link]time.Time{}}
}

// SetWorkers replaces the workers, with their data centres.
func (t *Table) SetWorkers(workers map[model.WorkerID]model.DataCentre) {
	t.workers = workers
	t.choose()
}

// SetDaemons replaces the daemons that can make calls now. The leader is not among them.
func (t *Table) SetDaemons(daemons []Daemon) {
	daemons = slices.Clone(daemons)
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name))
	})
	if slices.Equal(daemons, t.daemons) {
		return
	}
	t.daemons = daemons
	t.choose()
}

// choose selects the relays of each data centre.
func (t *Table) choose() {
	counts := map[model.DataCentre]int{}
	for _, dc := range t.workers {
		counts[dc]++
	}
	t.relays = make(map[model.DataCentre][]Daemon, len(counts))
	for dc, n := range counts {
		t.relays[dc] = t.relaysFor(dc, n)
	}
}

// relaysFor returns the most capable daemons of a data centre, as many as its workers need.
// A data centre without daemons uses those of its region. There is no relay if all of these
// together cannot serve the workers.
func (t *Table) relaysFor(dc model.DataCentre, workers int) []Daemon {
	near := func(d Daemon) bool { return d.DataCentre == dc }
	if !slices.ContainsFunc(t.daemons, near) {
		near = func(d Daemon) bool { return t.regions[d.DataCentre] == t.regions[dc] }
	}
	var chosen []Daemon
	capacity := 0.0
	for _, d := range t.daemons {
		if capacity >= float64(workers) {
			return chosen
		}
		if near(d) {
			chosen = append(chosen, d)
			capacity += d.capacity()
		}
	}
	if capacity < float64(workers) {
		return nil
	}
	return chosen
}

// Relay returns the name of the daemon that makes the calls to a worker; empty if the leader
// makes them itself. A worker keeps its relay while other relays come and go.
func (t *Table) Relay(now time.Time, worker model.WorkerID) string {
	name, best := "", 0.0
	for _, d := range t.relays[t.workers[worker]] {
		if until, avoided := t.avoid[link{d.Name, worker}]; avoided && now.Before(until) {
			continue
		}
		if s := d.affinity(worker); name == "" || s > best {
			name, best = d.Name, s
		}
	}
	return name
}

// affinity is the weighted rendezvous score of a daemon for a worker.
func (d *Daemon) affinity(worker model.WorkerID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Name)) // a hash returns no error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -d.capacity() / math.Log(u)
}

// RecordFailure records that a relay did not reach a worker. Calls to the worker use another
// relay for some time, or the leader makes them itself.
func (t *Table) RecordFailure(now time.Time, relay string, worker model.WorkerID) {
	if len(t.avoid) > 2*len(t.workers) {
		t.dropExpired(now)
	}
	t.avoid[link{relay, worker}] = now.Add(avoidTime)
}

func (t *Table) dropExpired(now time.Time) {
	for l, until := range t.avoid {
		if !now.Before(until) {
			delete(t.avoid, l)
		}
	}
}
