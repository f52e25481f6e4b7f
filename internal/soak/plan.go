package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/api"
)

// request is one key of the load with its callers.
type request struct {
	// at is the arrival time since the start of the load.
	at  time.Duration
	req api.SubmitRequest
	// callers holds, for each concurrent caller of the key, the indexes of the
	// daemons in the order in which it tries them.
	callers       [][]int
	nonIdempotent bool
	tasks         int
	// cancelAfter is the time from the first submission to the cancellation; 0 means
	// no cancellation.
	cancelAfter time.Duration
	// startWithin is the time from the submission to the deadline; 0 means none.
	startWithin time.Duration
}

// mix lists the services of the load with their weights in percent. A task runs
// from half to one and a half times sleepMS, in milliseconds.
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

// planner draws the requests of a run. The same seed, rate and number of daemons
// give the same requests.
type planner struct {
	rng     *rand.Rand
	seed    uint64
	rate    float64
	daemons int
	// at is the arrival time of the latest request, and n the number of requests.
	at time.Duration
	n  int
}

func newPlanner(seed uint64, rate float64, daemons int) *planner {
	return &planner{rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, rate: rate, daemons: daemons}
}

// next draws the next request; arrivals are a Poisson process.
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
		sleep += 2000 // runs longer than a takeover takes
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

// nextKey returns a key that names its home data centre in three of four cases.
func (p *planner) nextKey() string {
	id := fmt.Sprintf("soak-%d-%d", p.seed, p.n)
	if i := p.rng.IntN(len(topology) + 1); i < len(topology) {
		return topology[i].Name + ":" + id
	}
	return id
}
