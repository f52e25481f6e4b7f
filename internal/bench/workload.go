package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

const (
	benchDC     = "klang-a"
	workerCount = 50
	rackSize    = 8
)

// user is one of the two example users: its configuration text, the capacity of a
// worker and its mix of services.
type user struct {
	name, exampleFile string
	capacity          model.Size
	// shares are the shares of the load by service; they need not sum up to 1.
	shares map[string]float64
	// runTimes replaces the run times of services in the text that are too long
	// for the length of a run.
	runTimes map[string]time.Duration
	length   time.Duration
}

var users = []user{
	{
		name: "kembang-udara", exampleFile: "kembang-udara.jsonc",
		capacity: model.Size{MilliCPU: 32000, MemMB: 131072, Slots: 8, Conns: 64},
		shares: map[string]float64{
			"slot-confirmation": 8, "fill-plan": 42, "carton-manifest": 15, "route-plan": 25, "daily-report": 5,
		},
		length: 10 * time.Minute,
	},
	{
		name: "kerlann", exampleFile: "kerlann.jsonc",
		capacity: model.Size{MilliCPU: 16000, MemMB: 32768, Slots: 8, Conns: 64},
		shares:   map[string]float64{"sample-preview": 5, "patch-rebuild": 45, "full-retrain": 45, "pack-publication": 2},
		// The text has retrains of 4 hours; they are shortened so that many of them
		// fit into a run.
		runTimes: map[string]time.Duration{"full-retrain": 20 * time.Minute},
		length:   2 * time.Hour,
	},
}

// loadText reads the configuration text of a user and changes it to a single data
// centre with all workers, in which the new system runs all services.
func (u *user) loadText(dir string) (*text.Config, error) {
	path := filepath.Join(dir, u.exampleFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, problems := text.Parse(path, data)
	if cfg == nil || len(problems) > 0 {
		return nil, fmt.Errorf("%s: %v", path, problems)
	}
	cfg.DataCentres = []text.DataCentre{{Name: benchDC, Region: "klang"}}
	cfg.OldSystem.SlotsPerWorker = 0
	for i := range cfg.Teams {
		// Quotas in the text apply to each of three data centres.
		cfg.Teams[i].Quota.MilliCPU *= 3
		cfg.Teams[i].Quota.Slots *= 3
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		s.NewPercent = 100
		if d := u.runTimes[s.Name]; d > 0 {
			s.RunMS = d.Milliseconds()
		}
	}
	return cfg, nil
}

func (u *user) workers() []model.Worker {
	out := make([]model.Worker, workerCount)
	for i := range out {
		out[i] = model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%02d", i)), DataCentre: benchDC,
			Rack: fmt.Sprintf("r%d", i/rackSize), Capacity: u.capacity,
		}
	}
	return out
}

// job is a request with its arrival time and its actual needs.
type job struct {
	req model.Request
	at  time.Duration
	// size and run are the actual size and run time of each task; req holds the
	// declared ones.
	size model.Size
	run  time.Duration
	// standing marks instances of services, which the configuration text requests
	// and which run until the end.
	standing bool
	cancelAt time.Duration
}

// needFactors are the factors between the sizes and run times in the text and the
// actual ones; their mean is 1.
var needFactors = []float64{0.5, 0.75, 1, 1.25, 1.5}

// misdeclared lists the factors between actual and declared sizes and run times.
var misdeclared = []float64{0.1, 0.2, 0.5, 1, 2, 5, 10}

// workload returns the jobs of one run in order of arrival. Equal arguments return
// equal jobs.
func (u *user) workload(cfg *text.Config, sc scenario, length time.Duration, seed uint64) []*job {
	g := &generator{user: u, cfg: cfg, sc: sc, rng: rand.New(rand.NewPCG(seed, 7)), length: length}
	g.standing()
	g.addArrivals()
	if sc.cancelWave {
		g.addCancelWave()
	}
	slices.SortStableFunc(g.jobs, func(a, b *job) int { return int(a.at - b.at) })
	return g.jobs
}

// generator creates the jobs of one run.
type generator struct {
	user   *user
	cfg    *text.Config
	sc     scenario
	rng    *rand.Rand
	length time.Duration
	jobs   []*job
}

// standing adds the instances of the services in the text.
func (g *generator) standing() {
	for i := range g.cfg.Services {
		s := &g.cfg.Services[i]
		if s.Class != model.Service {
			continue
		}
		for n := range s.Instances {
			g.jobs = append(g.jobs, &job{standing: true, size: s.Size, run: math.MaxInt64, req: model.Request{
				Key: fmt.Sprintf("%s:instance.%s.%d", benchDC, s.Name, n), Service: s.Name, Team: s.Team,
				Class: s.Class, Size: s.Size, Tasks: 1, Idempotent: true,
			}})
		}
	}
}

// rates returns the arrivals per second by service at which the load of the
// scarcest resource is the load of the scenario.
func (g *generator) rates() map[string]float64 {
	total := g.user.capacity.Times(workerCount)
	limit, unit := [model.Dims]float64{}, [model.Dims]float64{}
	for d, v := range total.Vector() {
		limit[d] = g.sc.load * float64(v)
	}
	for _, j := range g.jobs {
		for d, v := range j.size.Vector() {
			limit[d] -= float64(v)
		}
	}
	rates := map[string]float64{}
	for name, share := range g.user.shares {
		s := g.cfg.Service(name)
		need := s.Size.Times(int64(max(s.Tasks, 1)))
		seconds := float64(s.RunMS) / 1000
		rates[name] = share / (need.DominantShare(total) * seconds)
		for d, v := range need.Vector() {
			unit[d] += rates[name] * seconds * float64(v)
		}
	}
	scale := math.Inf(1)
	for d := range unit {
		if unit[d] > 0 {
			scale = min(scale, limit[d]/unit[d])
		}
	}
	for name := range rates {
		rates[name] *= scale
	}
	return rates
}

func (g *generator) addArrivals() {
	rates := g.rates()
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := 0
		for at := g.interarrivalTime(rates[name]); at < g.length; at += g.interarrivalTime(rates[name]) {
			g.jobs = append(g.jobs, g.job(g.cfg.Service(name), fmt.Sprintf("%s:%s-%d", benchDC, name, n), at))
			n++
		}
	}
}

// interarrivalTime returns a random time between two arrivals of a Poisson process.
func (g *generator) interarrivalTime(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// job returns a job of a service with randomly scaled sizes and run time.
func (g *generator) job(s *text.Service, key string, at time.Duration) *job {
	j := &job{at: at, size: s.Size, run: time.Duration(float64(s.RunMS) * g.pick(needFactors) * float64(time.Millisecond))}
	f := g.pick(needFactors)
	j.size.MilliCPU, j.size.MemMB = scaled(s.Size.MilliCPU, f), scaled(s.Size.MemMB, f)
	j.size = g.clampToWorker(j.size)
	declared, run := j.size, j.run
	if g.sc.misdeclared {
		f := g.pick(misdeclared)
		declared.MilliCPU, declared.MemMB = scaled(declared.MilliCPU, f), scaled(declared.MemMB, f)
		declared = g.clampToWorker(declared)
		run = time.Duration(float64(run) * g.pick(misdeclared))
	}
	j.req = model.Request{
		Key: key, Service: s.Name, Team: s.Team, Class: s.Class, Size: declared, Tasks: max(s.Tasks, 1),
		Idempotent: s.Idempotent, RunTime: run,
	}
	return j
}

// clampToWorker limits a size to the capacity of one worker, because the scheduler
// refuses larger requests.
func (g *generator) clampToWorker(s model.Size) model.Size {
	s.MilliCPU = min(s.MilliCPU, g.user.capacity.MilliCPU)
	s.MemMB = min(s.MemMB, g.user.capacity.MemMB)
	return s
}

func (g *generator) pick(f []float64) float64 { return f[g.rng.IntN(len(f))] }

func scaled(v int64, f float64) int64 { return max(1, int64(float64(v)*f)) }

// cancelWaveSize is the number of requests that are cancelled together, and
// cancelWaveDelay the time from their arrival to their cancellation.
const (
	cancelWaveSize  = 10_000
	cancelWaveDelay = 5 * time.Second
)

// addCancelWave adds requests in the middle of the run that are all cancelled
// together.
func (g *generator) addCancelWave() {
	var batch *text.Service
	for i := range g.cfg.Services {
		if s := &g.cfg.Services[i]; s.Class == model.Batch && s.Idempotent && batch == nil {
			batch = s
		}
	}
	at := g.length / 2
	for n := range cancelWaveSize {
		j := g.job(batch, fmt.Sprintf("%s:wave-%d", benchDC, n), at+time.Duration(n)*time.Microsecond)
		j.cancelAt = at + cancelWaveDelay
		g.jobs = append(g.jobs, j)
	}
}
