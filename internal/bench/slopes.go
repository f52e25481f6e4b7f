package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/text"
)

const (
	slotShareInUse = 0.6
	placeRounds    = 100_000
	// allocRepeats is how often allocations are counted; the minimum is reported.
	// The runtime itself allocates occasionally, whereas a decision that allocates
	// does so in each repetition.
	allocRepeats = 3
	startRounds  = 5_000
	tickRounds   = 100
	// memoryRecords is the number of records whose memory is measured.
	memoryRecords = 20_000
	memoryWorkers = 15_000
)

var fleetSizes = []int{50, 500, 5000, 15000}

// measureSlopes measures the cost of single operations for several numbers of
// workers.
func measureSlopes(o Options) ([]Figure, error) {
	u := &users[0]
	cfg, err := u.loadText(o.ExamplesDir)
	if err != nil {
		return nil, err
	}
	m := &slopesRun{user: u, cfg: cfg, quick: o.Quick, seed: o.Seed}
	for _, n := range fleetSizes {
		if o.Quick && n > placeTargetWorkers {
			continue
		}
		m.placement(n)
		m.core(n)
	}
	m.record()
	m.memory()
	return append(m.out, measureWorkerCalls(o)...), nil
}

// slopesRun collects the figures of single operations.
type slopesRun struct {
	user  *user
	cfg   *text.Config
	quick bool
	seed  uint64
	out   []Figure
}

func (m *slopesRun) add(name string, value float64, unit, note string) {
	m.out = append(m.out, Figure{name, value, unit, note})
}

// rounds returns the number of repetitions: n, or a twentieth of it in a quick run.
func (m *slopesRun) rounds(n int) int {
	if m.quick {
		return n / 20
	}
	return n
}

func (m *slopesRun) workers(n int) []model.Worker {
	out := make([]model.Worker, n)
	for i := range out {
		out[i] = model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), DataCentre: benchDC,
			Rack: fmt.Sprintf("r%d", i/rackSize), Capacity: m.user.capacity,
		}
	}
	return out
}

// placement measures placement decisions without reservation, on an index with
// tasks on 60% of the slots.
func (m *slopesRun) placement(n int) {
	x := placement.New(placement.Options{WaitingWeight: m.cfg.Weights.Waiting, PackingWeight: m.cfg.Weights.Packing})
	for _, w := range m.workers(n) {
		x.Upsert(w)
		x.SetState(w.ID, placement.Available)
	}
	st := &packingState{p: x, rng: rand.New(rand.NewPCG(m.seed, 5))}
	for range int(slotShareInUse * float64(n) * float64(m.user.capacity.Slots)) {
		st.place(m.randomTask(st.rng))
	}
	specs := make([]placement.TaskSpec, 1024)
	for i := range specs {
		specs[i] = m.randomTask(st.rng)
	}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	rounds := m.rounds(placeRounds)
	_, mean := measureLoop(rounds, func(i int) {
		startTime := time.Now()
		x.Place(specs[i%len(specs)])
		_ = h.RecordValue(int64(time.Since(startTime)))
	})
	m.add(fmt.Sprintf("place.mean@%d", n), micros(mean), "us", "with the clock reads of the quantiles")
	m.add(fmt.Sprintf("place.p99@%d", n), float64(h.ValueAtQuantile(99))/1000, "us", "")
	allocs := math.Inf(1)
	for range allocRepeats {
		a, _ := measureLoop(rounds, func(i int) { x.Place(specs[i%len(specs)]) })
		allocs = min(allocs, a)
	}
	m.add(fmt.Sprintf("place.allocs@%d", n), allocs, "allocations", "least of 3 loops")
}

// randomTask returns a random task: 30% interactive, 20% service, 50% batch.
func (m *slopesRun) randomTask(rng *rand.Rand) placement.TaskSpec {
	names := []string{"slot-confirmation", "rider-directory", "fill-plan", "carton-manifest", "daily-report"}
	weights := []int{30, 20, 20, 20, 10}
	pick, i := rng.IntN(100), 0
	for pick >= weights[i] {
		pick -= weights[i]
		i++
	}
	s := m.cfg.Service(names[i])
	return placement.TaskSpec{Class: s.Class, Service: s.Name, Size: s.Size}
}

// measureLoop returns the allocations and the time per round.
func measureLoop(rounds int, op func(i int)) (float64, time.Duration) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startTime := time.Now()
	for i := range rounds {
		op(i)
	}
	elapsed := time.Since(startTime)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(rounds), elapsed / time.Duration(rounds)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// core measures the owner's state machine with tasks on 60% of the workers' slots.
func (m *slopesRun) core(n int) {
	cs := newCoreSystem(epoch, m.cfg, m.workers(n))
	now := epoch
	cs.takeActions(now)
	m.fillCore(cs, now, int(slotShareInUse*float64(n)*float64(m.user.capacity.Slots)))
	s := m.cfg.Service("slot-confirmation")
	allocs, mean := measureLoop(m.rounds(startRounds), func(i int) {
		m.runRequest(cs, now, s, fmt.Sprintf("%s:cycle-%d-%d", benchDC, n, i))
	})
	m.add(fmt.Sprintf("start.core@%d", n), micros(mean), "us", "submit, place, replicate, start, end and settle in the owner loop")
	m.add(fmt.Sprintf("start.allocs@%d", n), allocs, "allocations", "")
	ids := m.workers(n)
	_, mean = measureLoop(m.rounds(placeRounds), func(i int) { cs.core.HandleLeaseRenewed(now, ids[i%n].ID) })
	m.add(fmt.Sprintf("sync.core@%d", n), micros(mean), "us", "a renewal without events in the owner loop")
	_, mean = measureLoop(m.rounds(tickRounds), func(int) { cs.core.Tick(now) })
	m.add(fmt.Sprintf("tick.core@%d", n), micros(mean), "us", "")
	_, mean = measureLoop(m.rounds(tickRounds), func(int) { cs.core.Load(now) })
	m.add(fmt.Sprintf("heartbeat.load@%d", n), micros(mean), "us", "the owner's load summary")
}

// fillCore starts batch tasks until n are running or the next one cannot start.
func (m *slopesRun) fillCore(cs *coreSystem, now time.Time, n int) {
	s := m.cfg.Service("carton-manifest")
	for i := range n {
		cs.submit(now, &job{req: m.request(s, fmt.Sprintf("%s:fill-%d", benchDC, i))})
		if starts, _ := cs.takeActions(now); len(starts) == 0 {
			cs.cancel(now, &job{req: model.Request{Key: fmt.Sprintf("%s:fill-%d", benchDC, i)}})
			cs.takeActions(now)
			return
		}
	}
}

func (m *slopesRun) request(s *text.Service, key string) model.Request {
	return model.Request{Key: key, Service: s.Name, Team: s.Team, Class: s.Class, Size: s.Size, Tasks: 1, Idempotent: true,
		RunTime: time.Duration(s.RunMS) * time.Millisecond, Payload: make([]byte, 200)}
}

// runRequest processes one request from its submission to its final fate.
func (m *slopesRun) runRequest(cs *coreSystem, now time.Time, s *text.Service, key string) {
	cs.submit(now, &job{req: m.request(s, key)})
	starts, _ := cs.takeActions(now)
	for _, st := range starts {
		cs.taskEnded(now, st, true)
	}
	cs.takeActions(now)
}

// record measures the encoding of a record, which the owner sends to standbys on
// each change, and of a heartbeat.
func (m *slopesRun) record() {
	r := m.request(m.cfg.Service("slot-confirmation"), benchDC+":order-123456")
	rec := model.Record{Request: r, Side: model.NewSide, Fate: model.Running, Term: 3, Version: 4, Accepted: epoch, Started: epoch,
		Tasks: []model.TaskRecord{{State: model.TaskRunning, Worker: "klang-a-w17", Attempt: 1, Boot: "0123456789abcdef", Planned: r.Size}}}
	var data []byte
	allocs, mean := measureLoop(m.rounds(placeRounds), func(int) { data, _ = proto.Marshal(peerpb.RecordToProto(&rec)) })
	m.add("record.encode", micros(mean), "us", "payload of 200 bytes")
	m.add("record.encode.allocs", allocs, "allocations", "")
	m.add("record.bytes", float64(len(data)), "bytes", "payload of 200 bytes")
	_, mean = measureLoop(m.rounds(placeRounds), func(int) {
		var p peerpb.Record
		if proto.Unmarshal(data, &p) == nil {
			_, _ = peerpb.RecordFromProto(&p)
		}
	})
	m.add("record.decode", micros(mean), "us", "on the standby")
	load := &peerpb.Load{Free: peerpb.SizeToProto(r.Size), Capacity: peerpb.SizeToProto(r.Size), LargestFree: peerpb.SizeToProto(r.Size), Workers: 50, Queued: 100, Running: 200}
	beat := &peerpb.HeartbeatRequest{Daemon: "klang-a-1", Incarnation: "0123456789abcdef", DataCentre: "klang-a", Region: "klang", PeerAddr: "10.1.0.1:7181", Revision: 12, Term: 3, Ready: true, Load: load}
	_, mean = measureLoop(m.rounds(placeRounds), func(int) { data, _ = proto.Marshal(beat) })
	m.add("heartbeat.encode", micros(mean), "us", "")
	m.add("heartbeat.bytes", float64(len(data)), "bytes", "an owner's, without framing")
}

// memory measures the heap memory per record and per worker in the owner.
func (m *slopesRun) memory() {
	records, workers := m.rounds(memoryRecords), m.rounds(memoryWorkers)
	cs := newCoreSystem(epoch, m.cfg, m.user.workers())
	cs.takeActions(epoch)
	s := m.cfg.Service("slot-confirmation")
	before := heapBytes()
	for i := range records {
		m.runRequest(cs, epoch, s, fmt.Sprintf("%s:order-%d", benchDC, i))
	}
	m.add("memory.record", (heapBytes()-before)/float64(records), "bytes", "a settled record in the owner, payload dropped")
	runtime.KeepAlive(cs)
	list := m.workers(workers)
	before = heapBytes()
	q := newCoreSystem(epoch, m.cfg, list)
	m.add("memory.worker", (heapBytes()-before)/float64(workers), "bytes", "in the owner's core, without its agent")
	runtime.KeepAlive(q)
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
