package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/tenant"
)

const (
	// simBurstAt, simBurstTime and simBurstFactor describe the burst of one tenant.
	simBurstAt, simBurstTime = 15 * time.Second, 6 * time.Second
	simBurstFactor           = 6
	// simBurstTenants is the number of tenants, and simBurstRank the place of the one that bursts, by
	// its rate.
	simBurstTenants, simBurstRank = 20, 0
	// simMaxBurstCost is the largest part of their possible credit that the other tenants may lose to
	// the burst. Each of them is guaranteed service up to its rate, so that only the work that the
	// bursting tenant started before capacity became short may delay theirs.
	simMaxBurstCost = 0.05
	// simGuaranteedRate is the rate that each tenant is guaranteed, relative to its mean rate. At 1, half
	// of the random peaks of each tenant would exceed its rate.
	simGuaranteedRate = 2
	// simMaxRetries is how often the client of a refused job comes back.
	simMaxRetries = 3
)

// addSkewedTenants adds tenants without limits whose rates are skewed, with weights that follow them.
func (s *sim) addSkewedTenants(n int) {
	st := &simTenants{s: s, rng: rand.New(rand.NewPCG(s.seed, 43))}
	perSecond, sum := 0.0, 0.0
	for i := range s.classes {
		perSecond += s.classes[i].perSecond
	}
	for i := range n {
		t := &simTenant{Config: tenant.Config{Name: fmt.Sprintf("tenant%02d", i)}, rate: math.Pow(float64(i+1), -0.8), limits: make([]simLimit, 1)}
		st.tenants = append(st.tenants, t)
		sum += t.rate
	}
	for _, t := range st.tenants {
		t.rate *= perSecond / sum
		t.Weight = simGuaranteedRate * t.rate
	}
	s.tenants = st
}

// addBurst makes a tenant send more jobs for simBurstTime, with random numbers of their own, so that
// all other jobs are the same as without.
func (s *sim) addBurst(t *simTenant) {
	share := t.rate / sumRates(s.tenants.tenants)
	for i := range s.classes {
		extra := s.classes[i]
		extra.rng = rand.New(rand.NewPCG(s.seed, uint64(i)+50))
		extra.perSecond *= (simBurstFactor - 1) * share
		for at := time.Duration(0); ; {
			at += time.Duration(extra.rng.ExpFloat64() / extra.perSecond * float64(time.Second))
			if at > simBurstTime {
				break
			}
			j := s.newJob(&extra)
			j.spec.Tenant = t.Name
			s.after(simBurstAt+at, func() { s.submit(j) })
		}
	}
}

// othersCredit returns the part of their possible credit that all tenants but one got for the jobs that
// they submitted from the burst until some time after it.
func (s *sim) othersCredit(bursting string) float64 {
	credit, maxCredit := 0.0, 0.0
	for _, j := range s.submitted {
		at := j.submittedAt.Sub(startTime)
		if j.spec.Tenant == bursting || at < simBurstAt || at > simBurstAt+2*simBurstTime || !j.cancelledAt.IsZero() {
			continue
		}
		credit += j.credit
		maxCredit += j.maxCredit
	}
	return credit / maxCredit
}

// burstRun simulates a load and returns the credit of all tenants but the one that bursts, if burst is
// set. Without keys, the configuration has no tenants, and only the test knows them.
func burstRun(t *testing.T, seed uint64, load string, burst, keys bool) float64 {
	workers, capacity, classes := simLoads[load](0.9)
	s := newSim(seed, workers, capacity, classes)
	s.addSkewedTenants(simBurstTenants)
	s.retryRefused = true
	bursting := s.tenants.tenants[simBurstRank]
	if burst {
		s.addBurst(bursting)
	}
	s.tenants.configure()
	if !keys {
		s.core.SetTenants(s.now, nil)
	}
	s.run(simBurstAt + 2*simBurstTime + simLoadTail)
	for _, v := range s.violations {
		t.Error(v)
	}
	return s.othersCredit(bursting.Name)
}

// TestSimBurstOfOneTenant simulates a load of 0.9 of the usual with 20 tenants, one of which sends 6
// times its usual jobs for 6 s and comes back when refused. Guards against a burst that costs the
// other tenants more than a little, on the mean of all seeds: one large job is 0.03 of the credit.
func TestSimBurstOfOneTenant(t *testing.T) {
	for _, load := range []string{"dispatch", "voice"} {
		t.Run(load, func(t *testing.T) {
			var mu sync.Mutex
			usual, burst, unknown, runs := 0.0, 0.0, 0.0, 0.0
			t.Run("seeds", func(t *testing.T) {
				for seed := range simSeeds(1, 12) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						u, b, n := burstRun(t, seed, load, false, true), burstRun(t, seed, load, true, true), burstRun(t, seed, load, true, false)
						mu.Lock()
						defer mu.Unlock()
						usual, burst, unknown, runs = usual+u, burst+b, unknown+n, runs+1
					})
				}
			})
			t.Logf("mean credit of the other tenants: %.3f, with the burst %.3f, with the burst and without keys %.3f", usual/runs, burst/runs, unknown/runs)
			assert.Assert(t, burst >= usual-simMaxBurstCost*runs, "the burst cost the other tenants %.3f", (usual-burst)/runs)
		})
	}
}
