package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/api"
)

// request is one key of the load.
type request struct {
	at  time.Duration
	req api.SubmitRequest
	// callers holds, for each concurrent caller of the key, the daemons in the
	// order in which it tries them.
	callers       [][]int
	nonIdempotent bool
	tasks         int
	// cancelAfter is when the request is cancelled; 0 means never.
	cancelAfter time.Duration
	// startWithin is the time to the deadline; 0 means none.
	startWithin time.Duration
}

var mix = []struct {
	service       string
	weight        int
	nonIdempotent bool
	tasks         int
	sleepMS       int
}{
	{confirmService, 35, true, 1, 100},
	{previewService, 20, false, 1, 150},
	{planService, 20, false, 1, 400},
	{packService, 15, true, 1, 300},
	{routeService, 10, false, 3, 300},
}

// planner draws the load of a run from its seed.
type planner struct {
	rng     *rand.Rand
	seed    uint64
	rate    float64
	daemons int
	at      time.Duration
	n       int
}

func newPlanner(seed uint64, rate float64, daemons int) *planner {
	return &planner{rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, rate: rate, daemons: daemons}
}

func (p *planner) next() request {
	p.at += time.Duration(p.rng.ExpFloat64() / p.rate * float64(time.Second))
	p.n++
	n, i := p.rng.IntN(100), 0
	for ; n >= mix[i].weight; i++ {
		n -= mix[i].weight
	}
	m := mix[i]
	r := request{at: p.at, nonIdempotent: m.nonIdempotent, tasks: m.tasks}
	r.req = api.SubmitRequest{Key: p.nextKey(), Service: m.service}
	sleep := m.sleepMS/2 + p.rng.IntN(m.sleepMS)
	if p.rng.IntN(50) == 0 {
		sleep += 2000 // outlives a takeover
	}
	r.req.Payload = fmt.Appendf(nil, `{"sleep_ms":%d,"nonce":"%016x"}`, sleep, p.rng.Uint64())
	for range 1 + p.rng.IntN(3) {
		r.callers = append(r.callers, p.rng.Perm(p.daemons))
	}
	if p.rng.IntN(12) == 0 {
		r.cancelAfter = 1 + randDuration(p.rng, 400*time.Millisecond)
	}
	if p.rng.IntN(10) == 0 {
		r.startWithin = time.Second + randDuration(p.rng, 3*time.Second)
	}
	return r
}

// key names a home data centre in three of four keys.
func (p *planner) nextKey() string {
	id := fmt.Sprintf("soak-%d-%d", p.seed, p.n)
	if i := p.rng.IntN(len(topology) + 1); i < len(topology) {
		return topology[i].Name + ":" + id
	}
	return id
}
