// Package loadgen sends requests to a running cell at a given rate (open loop) and
// measures how long they take to be accepted, to start and to complete.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/text"
)

// ServiceWeight is the relative weight of a service in the load.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Arrival is a request and its planned time.
type Arrival struct {
	// At is the time since the start of the run.
	At      time.Duration
	Request api.SubmitRequest
}

// Plan generates the arrivals of a run. The same options and configuration text give the
// same arrivals.
type Plan struct {
	opts        Options
	cfg         *text.Config
	mix         []ServiceWeight
	totalWeight int
	rng         *rand.Rand
	// at is the time of the latest arrival, and n the number of arrivals.
	at time.Duration
	n  int
}

// NewPlan returns a plan for the services of a configuration text. Without a mix, all
// services except those of class service get the same weight. It returns an error for a
// mix with an unknown service, a negative weight or no positive weight.
func NewPlan(o Options, cfg *text.Config) (*Plan, error) {
	p := &Plan{opts: o, cfg: cfg, mix: o.Mix, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	if len(p.mix) == 0 {
		for _, s := range cfg.Services {
			if s.Class != model.Service {
				p.mix = append(p.mix, ServiceWeight{s.Name, 1})
			}
		}
	}
	for _, m := range p.mix {
		if cfg.Service(m.Service) == nil {
			return nil, fmt.Errorf("service %q is not in the configuration text", m.Service)
		}
		if m.Weight < 0 {
			return nil, fmt.Errorf("the weight of %q is negative", m.Service)
		}
		p.totalWeight += m.Weight
	}
	if p.totalWeight == 0 {
		return nil, fmt.Errorf("the mix has no service with a positive weight")
	}
	return p, nil
}

// Next returns the next arrival, and false once Count or Duration is reached.
func (p *Plan) Next() (Arrival, bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.opts.Rate * float64(time.Second))
	if (p.opts.Count > 0 && p.n >= p.opts.Count) || p.at >= p.opts.Duration {
		return Arrival{}, false
	}
	p.n++
	return Arrival{At: p.at, Request: p.nextRequest()}, true
}

func (p *Plan) nextRequest() api.SubmitRequest {
	s := p.cfg.Service(p.pickService())
	r := api.SubmitRequest{Key: p.nextKey(), Service: s.Name}
	if p.opts.RunMS > 0 {
		r.RunMS = p.opts.RunMS
	}
	r.Payload = fmt.Appendf(nil, `{"sleep_ms":%d,"answer":%q}`, p.opts.RunMS, "answer to "+r.Key)
	return r
}

func (p *Plan) pickService() string {
	n := p.rng.IntN(p.totalWeight)
	for _, m := range p.mix {
		if n -= m.Weight; n < 0 {
			return m.Service
		}
	}
	return p.mix[len(p.mix)-1].Service
}

// nextKey returns a key with a random data centre as its prefix, and without a prefix in
// one of four cases.
func (p *Plan) nextKey() string {
	id := p.opts.KeyPrefix + strconv.Itoa(p.n)
	if n := p.rng.IntN(4); n > 0 && len(p.cfg.DataCentres) > 0 {
		return string(p.cfg.DataCentres[p.rng.IntN(len(p.cfg.DataCentres))].Name) + ":" + id
	}
	return id
}

// expectedAnswer returns the answer that the payload directs the stand-ins to give.
func expectedAnswer(r api.SubmitRequest) string { return standinapi.ParseDirective(r.Payload).Answer }
