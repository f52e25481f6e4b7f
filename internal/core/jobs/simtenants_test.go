package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

const (
	// simOrderTime is how long after its decision a start may reach a worker, with all attempts to
	// send it, while no requests are executed late.
	simOrderTime = 2500 * time.Millisecond
	// simFinalLimit is the share of all capacity that the limits have at the end, so that all
	// accepted jobs can end.
	simFinalLimit = 0.3
	// simSilenceNoticed is how long after a worker was cut off the record of its tasks is stored.
	simSilenceNoticed = 2 * time.Second
	// simMinLimited is the mean number of starts under limits in a run below which QUOTA is hardly tested.
	simMinLimited = 20
	// simTenantLoad is the share of all capacity that all tenants together use, and simMinLimit the
	// lowest limit at the start of a run.
	simTenantLoad, simMinLimit = 0.35, 0.02
)

// simTenants are the tenants of a run, with random numbers of their own, so that runs without
// tenants do not change.
type simTenants struct {
	s       *sim
	rng     *rand.Rand
	tenants []*simTenant
	// off is set while the configuration has no tenants.
	off bool
	// bursting is the tenant that sends most jobs at present; nil if there is none.
	bursting *simTenant
	total    model.Size
	// changes counts the changes of the configuration, and limited the starts of tenants with a limit.
	changes, limited int
}

// simTenant is a tenant with the limits that it has had.
type simTenant struct {
	tenant.Config
	rate    float64
	removed bool
	limits  []simLimit
}

// simLimit is a limit that was in force until a time; zero if it still is.
type simLimit struct {
	model.Size
	until time.Time
}

// addTenants draws the tenants of the run. Their rates are skewed and together those of all classes.
func (s *sim) addTenants() {
	st := &simTenants{s: s, rng: rand.New(rand.NewPCG(s.seed, 41))}
	s.tenants = st
	for _, w := range s.workers {
		st.total = st.total.Add(w.capacity)
	}
	perSecond := 0.0
	for i := range s.classes {
		perSecond += s.classes[i].perSecond
		s.classes[i].queue.Anonymous = st.rng.IntN(6) == 0
	}
	sum := 0.0
	for i := range 3 + st.rng.IntN(10) {
		t := &simTenant{Config: tenant.Config{Name: fmt.Sprintf("tenant%02d", i)}, rate: math.Exp(3 * st.rng.Float64())}
		st.tenants = append(st.tenants, t)
		sum += t.rate
	}
	for i, t := range st.tenants {
		if i == 0 || st.rng.IntN(3) > 0 {
			expected := simTenantLoad * t.rate / sum
			t.Limit = st.drawLimit(max(simMinLimit, 0.3*expected), max(2*simMinLimit, 1.2*expected))
		}
		t.limits = []simLimit{{Size: t.Limit}}
		t.rate *= perSecond / sum
		t.Weight = t.rate
	}
	st.configure()
	s.after(time.Second, st.change)
	s.after(time.Duration(4+st.rng.IntN(20))*time.Second, st.burst)
	s.after(simFaultPeriod, st.settle)
}

// drawLimit draws a limit as a share of all capacity, in one dimension or two.
func (st *simTenants) drawLimit(low, high float64) model.Size {
	share := func(total int64) int64 { return int64(float64(total) * (low + (high-low)*st.rng.Float64())) }
	limit := model.Size{MilliCPU: share(st.total.MilliCPU)}
	if st.rng.IntN(2) == 0 {
		limit.MemMB = share(st.total.MemMB)
	}
	return limit
}

// configure gives the present tenants to the leader.
func (st *simTenants) configure() {
	if !st.s.hasLeader {
		return
	}
	var queues []Queue
	for i := range st.s.classes {
		queues = append(queues, st.s.classes[i].queue)
	}
	st.s.core.SetQueues(queues)
	st.s.core.SetTenants(st.s.now, st.set())
	st.s.scheduleRound()
}

// set returns the configuration of the present tenants, or nil while there are none.
func (st *simTenants) set() *tenant.Set {
	if st.off {
		return nil
	}
	var configs []tenant.Config
	for _, t := range st.tenants {
		if !t.removed {
			configs = append(configs, t.Config)
		}
	}
	return tenant.NewSet(configs)
}

// setLimit replaces the limit of a tenant.
func (st *simTenants) setLimit(t *simTenant, limit model.Size) {
	t.limits[len(t.limits)-1].until = st.s.now
	t.Limit = limit
	t.limits = append(t.limits, simLimit{Size: limit})
}

// change changes one tenant of the configuration, again and again while jobs are submitted.
func (st *simTenants) change() {
	if st.s.faults.trafficStopped {
		return
	}
	st.s.after(500*time.Millisecond+time.Duration(st.rng.Float64()*3*float64(time.Second)), st.change)
	st.changes++
	t := st.tenants[st.rng.IntN(len(st.tenants))]
	switch st.rng.IntN(8) {
	case 0, 1:
		// Far below what runs.
		used := st.used(t.Name)
		share := 0.1 + 0.5*st.rng.Float64()
		st.setLimit(t, model.Size{MilliCPU: 1 + int64(share*float64(used.MilliCPU)), MemMB: int64(share * float64(used.MemMB))})
	case 2:
		st.setLimit(t, st.drawLimit(simMinLimit, 0.2))
	case 3:
		st.setLimit(t, model.Size{})
	case 4:
		t.Weight = t.rate * math.Exp(4*st.rng.Float64()-2)
	case 5:
		t.Weight = 0
	case 6:
		t.removed = !t.removed
	case 7:
		st.off = !st.off && st.rng.IntN(3) == 0
	}
	st.configure()
}

// burst makes one tenant send many times its usual jobs.
func (st *simTenants) burst() {
	st.bursting = st.tenants[st.rng.IntN(len(st.tenants))]
	factor := 2 + 2*st.rng.Float64()
	for i := range st.s.classes {
		c := &st.s.classes[i]
		usual := c.perSecond
		c.perSecond *= factor
		st.s.after(4*time.Second, func() { c.perSecond = usual })
	}
	st.s.after(4*time.Second, func() { st.bursting = nil })
}

// settle ends the changes with limits under which all jobs can end.
func (st *simTenants) settle() {
	st.off = false
	for _, t := range st.tenants {
		t.removed = false
		if t.Limit != (model.Size{}) {
			st.setLimit(t, model.Size{MilliCPU: int64(simFinalLimit * float64(st.total.MilliCPU))})
		}
	}
	st.configure()
}

// draw returns the tenant of a new job of a class, which is empty if it has none.
func (st *simTenants) draw(c *simClass) string {
	if st == nil || st.off || c.queue.Anonymous {
		return ""
	}
	if t := st.bursting; t != nil && !t.removed && st.rng.IntN(3) > 0 {
		return t.Name
	}
	at := st.rng.Float64() * sumRates(st.tenants)
	for _, t := range st.tenants {
		if at -= t.rate; at <= 0 && !t.removed {
			return t.Name
		}
	}
	return ""
}

func sumRates(tenants []*simTenant) (sum float64) {
	for _, t := range tenants {
		sum += t.rate
	}
	return sum
}

// leaderFailsWhileCutOff fails the leader after a sixth of the workers were cut off. They run on, and
// the next leader does not see what. Those that were silent for long have a record of their tasks.
var leaderFailsWhileCutOff = simFault{"leader fails while workers are cut off", func(s *sim, rng *rand.Rand, duration time.Duration) {
	before := time.Duration(rng.Float64() * float64(time.Second))
	if rng.IntN(2) == 0 {
		before += simSilenceNoticed
	}
	for _, w := range s.pickWorkers(rng, len(s.workers)/6) {
		w.partitioned = true
		s.after(before+duration, func() { w.partitioned = false })
	}
	s.faults.lastEnd = later(s.faults.lastEnd, s.now.Add(before+duration))
	s.after(before, func() {
		if s.hasLeader {
			s.stopLeader(300 * time.Millisecond)
		}
	})
}}

// TestSimTenants simulates tenants whose limits and weights change, and one that sends many times its
// usual jobs, under faults in random order. It checks after each start that the tenant stays within
// the highest limit that may be in force, by what runs on the workers, and that a tenant that uses
// less than half of its limit does not wait beside free capacity, besides all checks of TestSimFaults.
func TestSimTenants(t *testing.T) {
	names := []string{"dispatch", "voice"}
	faults := append(slices.Clone(simFaults), slices.Repeat([]simFault{leaderFailsWhileCutOff}, len(simFaults))...)
	var limited, runs atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range simSeeds(1, 24) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				workers, capacity, classes := simLoads[names[seed%2]](simTenantLoad)
				s := newSim(seed, workers, capacity, classes)
				s.addTenants()
				simulateFaults(t, s, faults, 2+int(seed%11), names[seed%2])
				if s.tenants.changes < 5 {
					t.Errorf("%d changes of the configuration", s.tenants.changes)
				}
				limited.Add(int64(s.tenants.limited))
				runs.Add(1)
			})
		}
	})
	t.Logf("%d starts under limits", limited.Load())
	if limited.Load() < simMinLimited*runs.Load() {
		t.Errorf("%d starts under limits in %d runs", limited.Load(), runs.Load())
	}
}
