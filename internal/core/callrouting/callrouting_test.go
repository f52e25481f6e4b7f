package callrouting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

var regions = map[model.DataCentre]string{"a1": "a", "a2": "a", "b1": "b"}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func workersIn(counts map[model.DataCentre]int) map[model.WorkerID]model.DataCentre {
	out := map[model.WorkerID]model.DataCentre{}
	for dc, n := range counts {
		for i := range n {
			out[model.WorkerID(fmt.Sprintf("%s-%04d", dc, i))] = dc
		}
	}
	return out
}

// routes returns the relay of each worker and the number of workers of each relay.
func routes(t *Table) (map[model.WorkerID]string, map[string]int) {
	byWorker, counts := map[model.WorkerID]string{}, map[string]int{}
	for w := range t.workers {
		byWorker[w] = t.Relay(now, w)
		counts[byWorker[w]]++
	}
	return byWorker, counts
}

func newTable(workers map[model.DataCentre]int, daemons ...Daemon) *Table {
	t := New(regions)
	t.SetWorkers(workersIn(workers))
	t.SetDaemons(daemons)
	return t
}

// Guards against calls that cross data centres without need, against small instances that
// get more workers than they can serve, and against more relays than are needed.
func TestRelaysAreNearAndLoadIsBounded(t *testing.T) {
	var daemons []Daemon
	for _, dc := range []model.DataCentre{"a1", "a2", "b1"} {
		for i := range 3 {
			daemons = append(daemons, Daemon{fmt.Sprintf("%s-large-%d", dc, i), dc, 0.8})
		}
		for i := range 20 {
			daemons = append(daemons, Daemon{fmt.Sprintf("%s-small-%d", dc, i), dc, 0.2})
		}
	}
	table := newTable(map[model.DataCentre]int{"a1": 180, "a2": 300, "b1": 40}, daemons...)
	byWorker, counts := routes(table)
	for w, relay := range byWorker {
		assert.Equal(t, relay[:2], string(w)[:2], "the relay of %s is in another data centre", w)
	}
	for _, d := range daemons {
		limit := int(1.5*d.capacity()) + 5
		assert.Assert(t, counts[d.Name] <= limit, "%s has %d workers, limit %d", d.Name, counts[d.Name], limit)
		if d.DataCentre != "a2" && d.CPUShare < 0.8 {
			assert.Equal(t, counts[d.Name], 0, "%s is used although larger daemons suffice", d.Name)
		}
	}
}

// Guards against a change of one relay that interrupts the calls of the others.
func TestOtherWorkersKeepTheirRelay(t *testing.T) {
	daemons := []Daemon{{"d1", "a1", 1}, {"d2", "a1", 1}, {"d3", "a1", 1}}
	table := newTable(map[model.DataCentre]int{"a1": 200}, daemons...)
	before, _ := routes(table)
	table.SetDaemons(daemons[:2])
	after, _ := routes(table)
	for w := range before {
		if before[w] != "d3" {
			assert.Equal(t, after[w], before[w], "worker %s", w)
		}
		assert.Assert(t, after[w] == "d1" || after[w] == "d2")
	}
}

// Guards against workers without a relay, or with an overloaded one, when daemons are
// missing.
func TestMissingDaemons(t *testing.T) {
	tests := []struct {
		name    string
		workers map[model.DataCentre]int
		daemons []Daemon
		want    string
	}{
		{"other data centre of the region", map[model.DataCentre]int{"a1": 50}, []Daemon{{"d1", "a2", 1}}, "d1"},
		{"other region only", map[model.DataCentre]int{"a1": 50}, []Daemon{{"d1", "b1", 1}}, ""},
		{"not enough capacity", map[model.DataCentre]int{"a1": 150}, []Daemon{{"d1", "a1", 1}}, ""},
		{"no daemon", map[model.DataCentre]int{"a1": 50}, nil, ""},
	}
	for _, tt := range tests {
		_, counts := routes(newTable(tt.workers, tt.daemons...))
		assert.Equal(t, counts[tt.want], tt.workers["a1"], tt.name)
	}
}

// Guards against a worker that stays unreachable because its relay cannot reach it although
// others can.
func TestFailedLinkIsAvoided(t *testing.T) {
	table := newTable(map[model.DataCentre]int{"a1": 2}, Daemon{"d1", "a1", 0.01}, Daemon{"d2", "a1", 0.01})
	const worker = "a1-0000"
	first := table.Relay(now, worker)
	table.RecordFailure(now, first, worker)
	second := table.Relay(now, worker)
	assert.Assert(t, second != first)
	table.RecordFailure(now, second, worker)
	assert.Equal(t, table.Relay(now, worker), "", "the leader does not call the worker itself")
	assert.Equal(t, table.Relay(now.Add(avoidTime), worker), first)
}
