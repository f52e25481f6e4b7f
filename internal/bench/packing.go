package bench

import (
	"fmt"
	"io"
	"math/rand/v2"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/placement/baseline"
	"catkinvalve/internal/text"
)

// Kinds of packing trials.
const (
	packMixed    = "mixed batch"
	packReserves = "mixed batch, text's reserves"
	packChurn    = "batch under churn"
	packRetrains = "retrains after rebuilds"
)

const (
	packingSeeds = 20
	// churnEndsPerWorker is the number of task ends of a churn trial, divided by
	// the number of workers.
	churnEndsPerWorker = 40
	// rebuildTasks is the number of rebuild tasks that occupy workers before the
	// retrains are placed.
	rebuildTasks = 50
	// retrainTasks is the number of tasks of one retrain job.
	retrainTasks = 8
)

// PackingRun is the mean result of a packing trial over several seeds.
type PackingRun struct {
	User   string `json:"user"`
	Trial  string `json:"trial"`
	System string `json:"system"`
	// CPU and Memory are the shares (0 to 1) of the total capacity in use when the
	// first task no longer fits; under churn they are the mean shares.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
	Tasks  float64 `json:"tasks"`
	// Workers is the number of workers. LowerBound is the minimum number that
	// could hold the tasks: the sum of their sizes divided by the capacity of a
	// worker, in the dimension where this is largest.
	Workers    float64 `json:"workers"`
	LowerBound float64 `json:"lower_bound"`
}

// placer is implemented by the placement index and the baselines.
type placer interface {
	Place(placement.TaskSpec) (model.WorkerID, bool)
	Reserve(model.WorkerID, model.TaskID, placement.TaskSpec)
	Release(model.TaskID)
}

// packingState is a placer with the tasks that it has placed.
type packingState struct {
	p         placer
	rng       *rand.Rand
	lastIndex int
	tasks     []model.TaskID
	sizes     []model.Size
	used      model.Size
}

// place places and reserves one task. It returns false if the task does not fit.
func (st *packingState) place(spec placement.TaskSpec) bool {
	w, ok := st.p.Place(spec)
	if ok {
		st.lastIndex++
		id := model.TaskID{Key: "k", Index: st.lastIndex}
		st.p.Reserve(w, id, spec)
		st.tasks, st.sizes, st.used = append(st.tasks, id), append(st.sizes, spec.Size), st.used.Add(spec.Size)
	}
	return ok
}

// releaseRandomTask releases a randomly selected task.
func (st *packingState) releaseRandomTask() {
	i, last := st.rng.IntN(len(st.tasks)), len(st.tasks)-1
	st.p.Release(st.tasks[i])
	st.used = st.used.Sub(st.sizes[i])
	st.tasks[i], st.sizes[i] = st.tasks[last], st.sizes[last]
	st.tasks, st.sizes = st.tasks[:last], st.sizes[:last]
}

func measurePacking(o Options) ([]PackingRun, error) {
	var out []PackingRun
	seeds := packingSeeds
	if o.Quick {
		seeds = 2
	}
	for i := range users {
		u := &users[i]
		cfg, err := u.loadText(o.ExamplesDir)
		if err != nil {
			return nil, err
		}
		trials := []string{packMixed, packReserves, packChurn}
		if cfg.Service("full-retrain") != nil {
			trials = append(trials, packRetrains)
		}
		for _, trial := range trials {
			for kind := range systemCount {
				out = append(out, u.meanPacking(cfg, trial, kind, seeds, o.Seed))
			}
		}
	}
	return out, nil
}

func (u *user) meanPacking(cfg *text.Config, trial string, kind, seeds int, seed uint64) PackingRun {
	sum := PackingRun{User: u.name, Trial: trial, System: systemNames[kind]}
	for s := range seeds {
		st := &packingState{p: u.placer(cfg, trial, kind, seed+uint64(s)), rng: rand.New(rand.NewPCG(seed+uint64(s), 3))}
		r := u.pack(cfg, trial, st)
		sum.CPU += r.CPU / float64(seeds)
		sum.Memory += r.Memory / float64(seeds)
		sum.Tasks += r.Tasks / float64(seeds)
		sum.LowerBound += r.LowerBound / float64(seeds)
	}
	sum.Workers = workerCount
	return sum
}

// placer returns a baseline or, for kind 0, the placement index. The index uses
// the reserves of the text only in the trial packReserves, so that all systems may
// use all slots in the other trials.
func (u *user) placer(cfg *text.Config, trial string, kind int, seed uint64) placer {
	if kind > 0 {
		f := baseline.New(baseline.Policy(kind-1), seed)
		for _, w := range u.workers() {
			f.Upsert(w)
		}
		return f
	}
	opts := placement.Options{WaitingWeight: cfg.Weights.Waiting, PackingWeight: cfg.Weights.Packing}
	if trial == packReserves {
		opts.HeadroomPercent, opts.RackSpare = cfg.Limits.InteractiveHeadroomPercent, cfg.Limits.RackSpare
	}
	x := placement.New(opts)
	for _, w := range u.workers() {
		x.Upsert(w)
		x.SetState(w.ID, placement.Available)
	}
	return x
}

func (u *user) pack(cfg *text.Config, trial string, st *packingState) PackingRun {
	switch trial {
	case packChurn:
		return u.packChurn(cfg, st)
	case packRetrains:
		return u.packRetrains(cfg, st)
	}
	for st.place(u.randomBatchTask(cfg, st.rng)) {
	}
	return u.packingResult(st)
}

// packingResult returns the result for the tasks that are placed at present.
func (u *user) packingResult(st *packingState) PackingRun {
	total := u.capacity.Times(workerCount)
	return PackingRun{
		CPU: float64(st.used.MilliCPU) / float64(total.MilliCPU), Memory: float64(st.used.MemMB) / float64(total.MemMB),
		Tasks: float64(len(st.tasks)), LowerBound: st.used.DominantShare(u.capacity),
	}
}

// packChurn places a backlog of tasks in order of arrival: a task that does not
// fit blocks those behind it until enough others ended.
func (u *user) packChurn(cfg *text.Config, st *packingState) PackingRun {
	var sum PackingRun
	spec, rounds := u.randomBatchTask(cfg, st.rng), churnEndsPerWorker*workerCount
	for range rounds {
		for st.place(spec) {
			spec = u.randomBatchTask(cfg, st.rng)
		}
		r := u.packingResult(st)
		sum.CPU += r.CPU / float64(rounds)
		sum.Memory += r.Memory / float64(rounds)
		sum.Tasks += r.Tasks / float64(rounds)
		sum.LowerBound += r.LowerBound / float64(rounds)
		st.releaseRandomTask()
	}
	return sum
}

// packRetrains places as many retrain jobs as fit, each with all tasks or none,
// while rebuild tasks occupy part of the workers.
func (u *user) packRetrains(cfg *text.Config, st *packingState) PackingRun {
	rebuild, retrain := cfg.Service("patch-rebuild"), cfg.Service("full-retrain")
	for range rebuildTasks {
		st.place(placement.TaskSpec{Class: rebuild.Class, Service: rebuild.Name, Size: rebuild.Size})
	}
	spec := placement.TaskSpec{Class: retrain.Class, Service: retrain.Name, Size: retrain.Size}
	for st.placeGang(spec, retrainTasks) {
	}
	return u.packingResult(st)
}

// placeGang places all tasks of a gang or none. It returns false for none.
func (st *packingState) placeGang(spec placement.TaskSpec, tasks int) bool {
	before := len(st.tasks)
	for range tasks {
		if st.place(spec) {
			continue
		}
		for len(st.tasks) > before {
			last := len(st.tasks) - 1
			st.p.Release(st.tasks[last])
			st.used = st.used.Sub(st.sizes[last])
			st.tasks, st.sizes = st.tasks[:last], st.sizes[:last]
		}
		return false
	}
	return true
}

// randomBatchTask returns a task of a randomly selected batch service of the user.
// Its CPU and memory are scaled independently by a factor between 0.5 and 2, so
// that the proportions of the tasks differ.
func (u *user) randomBatchTask(cfg *text.Config, rng *rand.Rand) placement.TaskSpec {
	var batch []*text.Service
	for i := range cfg.Services {
		if s := &cfg.Services[i]; s.Class == model.Batch {
			batch = append(batch, s)
		}
	}
	s := batch[rng.IntN(len(batch))]
	size := s.Size
	size.MilliCPU = min(scaled(size.MilliCPU, 0.5+1.5*rng.Float64()), u.capacity.MilliCPU)
	size.MemMB = min(scaled(size.MemMB, 0.5+1.5*rng.Float64()), u.capacity.MemMB)
	return placement.TaskSpec{Class: s.Class, Service: s.Name, Size: size}
}

func (r *Report) printPacking(t io.Writer) {
	fmt.Fprintln(t, "USER\tTRIAL\tSYSTEM\tCPU %\tMEMORY %\tTASKS\tWORKERS\tLOWER BOUND")
	for _, p := range r.Packing {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\n", p.User, p.Trial, p.System, 100*p.CPU, 100*p.Memory, p.Tasks, p.Workers, p.LowerBound)
	}
}

// packingEfficiency returns the packing efficiency of a trial: LowerBound divided
// by the number of workers. It returns false if the trial was not run.
func (r *Report) packingEfficiency(user, trial, system string) (float64, bool) {
	for _, p := range r.Packing {
		if p.User == user && p.Trial == trial && p.System == system {
			return p.LowerBound / p.Workers, true
		}
	}
	return 0, false
}
