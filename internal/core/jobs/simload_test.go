package jobs

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// dispatchLoad is a load of about 80% for 48 workers with 32 cores.
func dispatchLoad(scale float64) (int, model.Size, []simClass) {
	return 48, model.Size{MilliCPU: 32_000, MemMB: 131_072}, []simClass{
		{queue: Queue{Name: "plan", Service: "s", Priority: 1, MaxAttempts: 2, Slack: 2.2, Target: 1200 * time.Millisecond,
			Advice: &AdviceConfig{450 * time.Millisecond, 6500 * time.Microsecond, 2 * time.Second}},
			perSecond: 1.45 * scale, steps: 1.2, meanTasks: 6.4, tasksSpread: 0.6, maxTasks: 32, cpu: 9000, cpuSpread: 0.4, mem: 33_000,
			work: 6200 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 16 * time.Second, estimateSpread: 0.9, gangShare: 1,
			checkpointShare: 0.5, failing: 0.005, poison: 0.03, allowedShare: 0.3, jobCredit: 15.6, lateJobCredit: 3.12},
		{queue: Queue{Name: "print", Service: "s", Priority: 2, MaxAttempts: 4, Slack: 4, Target: 3 * time.Second,
			Advice: &AdviceConfig{58 * time.Millisecond, 820 * time.Microsecond, 2 * time.Second}},
			perSecond: 5.44 * scale, steps: 1.5, meanTasks: 10, tasksSpread: 0.8, maxTasks: 60, cpu: 2000, cpuSpread: 0.45, mem: 7200,
			work: 2700 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 6800 * time.Millisecond, estimateSpread: 0.5,
			checkpointShare: 0.8, failing: 0.05, allowedShare: 0.45, jobCredit: 2.59, lateJobCredit: 0.518, limitedShare: 0.12, cancel: 0.05},
		{queue: Queue{Name: "confirm", Service: "s", Priority: 0, MaxAttempts: 3, Slack: 1.5, Target: 300 * time.Millisecond,
			Advice: &AdviceConfig{6500 * time.Microsecond, 93 * time.Microsecond, 2 * time.Second}},
			perSecond: 48.2 * scale, steps: 1, meanTasks: 2, tasksSpread: 0.8, maxTasks: 12, cpu: 2800, cpuSpread: 0.45, mem: 5700,
			work: 640 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 1600 * time.Millisecond, estimateSpread: 0.2, gangShare: 0.3,
			failing: 0.05, poison: 0.01, allowedShare: 0.7, jobCredit: 0.41, lateJobCredit: 0.082},
	}
}

// voiceLoad is the load for 48 workers with 16 cores.
func voiceLoad(scale float64) (int, model.Size, []simClass) {
	return 48, model.Size{MilliCPU: 16_000, MemMB: 32_768}, []simClass{
		{queue: Queue{Name: "retrain", Service: "s", Priority: 1, MaxAttempts: 4, Slack: 2.2, Target: 1200 * time.Millisecond,
			Advice: &AdviceConfig{470 * time.Millisecond, 6800 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 1.18 * scale, steps: 1.2, meanTasks: 8, tasksSpread: 0.8, maxTasks: 48, cpu: 4500, cpuSpread: 0.4, mem: 6400,
			work: 6200 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 16 * time.Second, estimateSpread: 0.9, gangShare: 1,
			checkpointShare: 0.5, failing: 0.05, poison: 0.03, allowedShare: 0.3, jobCredit: 13.7, lateJobCredit: 2.74},
		{queue: Queue{Name: "lexfix", Service: "s", Priority: 2, MaxAttempts: 4, Slack: 4, Target: 3 * time.Second,
			Advice: &AdviceConfig{42 * time.Millisecond, 600 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 6.8 * scale, steps: 1.5, meanTasks: 10, tasksSpread: 0.8, maxTasks: 60, cpu: 980, cpuSpread: 0.45, mem: 1400,
			work: 2200 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 5400 * time.Millisecond, estimateSpread: 0.9,
			checkpointShare: 0.8, failing: 0.005, poison: 0.03, allowedShare: 0.45, jobCredit: 1.49, lateJobCredit: 0.298, limitedShare: 0.12, cancel: 0.05},
		{queue: Queue{Name: "preview", Service: "s", Priority: 0, MaxAttempts: 4, Slack: 1.5, Target: 400 * time.Millisecond,
			Advice: &AdviceConfig{8700 * time.Microsecond, 120 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 30.8 * scale, steps: 1, meanTasks: 2, tasksSpread: 0.8, maxTasks: 12, cpu: 1400, cpuSpread: 0.45, mem: 1400,
			work: time.Second, workSpread: 500 * time.Millisecond, workMax: 2500 * time.Millisecond, estimateSpread: 0.2, gangShare: 0.3,
			failing: 0.02, poison: 0.01, allowedShare: 0.7, jobCredit: 0.459, lateJobCredit: 0.0918},
	}
}

// grownLoad is the load for 350 workers with 32 cores.
func grownLoad(scale float64) (int, model.Size, []simClass) {
	return 350, model.Size{MilliCPU: 32_000, MemMB: 65_536}, []simClass{
		{queue: Queue{Name: "plan", Service: "s", Priority: 1, MaxAttempts: 3, Slack: 2.2, Target: 1200 * time.Millisecond,
			Advice: &AdviceConfig{340 * time.Millisecond, 4900 * time.Microsecond, 2 * time.Second}},
			perSecond: 5.42 * scale, steps: 1.2, meanTasks: 20, tasksSpread: 0.8, maxTasks: 120, cpu: 9000, cpuSpread: 0.4, mem: 17_000,
			work: 4 * time.Second, workSpread: 500 * time.Millisecond, workMax: 10 * time.Second, estimateSpread: 0.9, gangShare: 1,
			checkpointShare: 0.5, failing: 0.02, poison: 0.03, allowedShare: 0.3, jobCredit: 8.44, lateJobCredit: 1.69},
		{queue: Queue{Name: "print", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 4, Target: 3 * time.Second,
			Advice: &AdviceConfig{120 * time.Millisecond, 1800 * time.Microsecond, 2 * time.Second}},
			perSecond: 7.17 * scale, steps: 1.5, meanTasks: 25, tasksSpread: 0.8, maxTasks: 150, cpu: 3500, cpuSpread: 0.45, mem: 5000,
			work: 3400 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 8400 * time.Millisecond, estimateSpread: 0.2,
			checkpointShare: 0.8, failing: 0.05, poison: 0.01, allowedShare: 0.45, jobCredit: 3.99, lateJobCredit: 0.798, limitedShare: 0.12, cancel: 0.05},
		{queue: Queue{Name: "confirm", Service: "s", Priority: 0, MaxAttempts: 2, Slack: 1.5, Target: 300 * time.Millisecond,
			Advice: &AdviceConfig{9 * time.Millisecond, 130 * time.Microsecond, 2 * time.Second}},
			perSecond: 100 * scale, steps: 1, meanTasks: 3.2, tasksSpread: 0.8, maxTasks: 19, cpu: 5000, cpuSpread: 0.45, mem: 9100,
			work: 800 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 2 * time.Second, estimateSpread: 0.5, gangShare: 0.3,
			failing: 0.005, allowedShare: 0.7, jobCredit: 0.401, lateJobCredit: 0.0802},
	}
}

// grownVoiceLoad is the load for 350 workers with 16 cores.
func grownVoiceLoad(scale float64) (int, model.Size, []simClass) {
	return 350, model.Size{MilliCPU: 16_000, MemMB: 65_536}, []simClass{
		{queue: Queue{Name: "retrain", Service: "s", Priority: 1, MaxAttempts: 4, Slack: 2.2, Target: 1200 * time.Millisecond,
			Advice: &AdviceConfig{550 * time.Millisecond, 7800 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 3.42 * scale, steps: 1.2, meanTasks: 20, tasksSpread: 0.8, maxTasks: 120, cpu: 4500, cpuSpread: 0.4, mem: 9100,
			work: 6200 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 16 * time.Second, estimateSpread: 0.5, gangShare: 1,
			checkpointShare: 0.5, failing: 0.05, poison: 0.03, allowedShare: 0.3, jobCredit: 10.8, lateJobCredit: 2.16},
		{queue: Queue{Name: "lexfix", Service: "s", Priority: 2, MaxAttempts: 3, Slack: 4, Target: 3 * time.Second,
			Advice: &AdviceConfig{120 * time.Millisecond, 1800 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 7.16 * scale, steps: 1.5, meanTasks: 25, tasksSpread: 0.8, maxTasks: 150, cpu: 1700, cpuSpread: 0.45, mem: 3600,
			work: 3400 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 8400 * time.Millisecond, estimateSpread: 0.9,
			checkpointShare: 0.8, failing: 0.05, poison: 0.03, allowedShare: 0.45, jobCredit: 3.21, lateJobCredit: 0.642, limitedShare: 0.12, cancel: 0.05},
		{queue: Queue{Name: "preview", Service: "s", Priority: 0, MaxAttempts: 2, Slack: 1.5, Target: 400 * time.Millisecond,
			Advice: &AdviceConfig{11 * time.Millisecond, 160 * time.Microsecond, 1500 * time.Millisecond}},
			perSecond: 80.2 * scale, steps: 1, meanTasks: 3.2, tasksSpread: 0.8, maxTasks: 19, cpu: 2500, cpuSpread: 0.45, mem: 5100,
			work: time.Second, workSpread: 500 * time.Millisecond, workMax: 2500 * time.Millisecond, estimateSpread: 0.5, gangShare: 0.3,
			failing: 0.05, poison: 0.03, allowedShare: 0.7, jobCredit: 0.402, lateJobCredit: 0.0804},
	}
}

// largeLoad is a load of about 80% for 1,100 workers with 32 cores, half of it in wide
// gangs.
func largeLoad(scale float64) (int, model.Size, []simClass) {
	return 1100, model.Size{MilliCPU: 32_000, MemMB: 65_536}, []simClass{
		{queue: Queue{Name: "plan", Service: "s", Priority: 1, MaxAttempts: 3, Slack: 2.2, Target: 1200 * time.Millisecond,
			Advice: &AdviceConfig{390 * time.Millisecond, 5600 * time.Microsecond, 2 * time.Second}},
			perSecond: 8.3 * scale, steps: 1.2, meanTasks: 40, tasksSpread: 0.8, maxTasks: 240, cpu: 9000, cpuSpread: 0.4, mem: 17_000,
			work: 4 * time.Second, workSpread: 500 * time.Millisecond, workMax: 10 * time.Second, estimateSpread: 0.9, gangShare: 1,
			checkpointShare: 0.5, failing: 0.02, poison: 0.03, allowedShare: 0.3, jobCredit: 7.68, lateJobCredit: 1.54},
		{queue: Queue{Name: "print", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 4, Target: 3 * time.Second,
			Advice: &AdviceConfig{140 * time.Millisecond, 2 * time.Millisecond, 2 * time.Second}},
			perSecond: 11.2 * scale, steps: 1.5, meanTasks: 32, tasksSpread: 0.6, maxTasks: 160, cpu: 5500, cpuSpread: 0.45, mem: 7800,
			work: 3400 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 8400 * time.Millisecond, estimateSpread: 0.2,
			checkpointShare: 0.8, failing: 0.05, poison: 0.01, allowedShare: 0.45, jobCredit: 3.56, lateJobCredit: 0.712, limitedShare: 0.12, cancel: 0.05},
		{queue: Queue{Name: "confirm", Service: "s", Priority: 0, MaxAttempts: 2, Slack: 1.5, Target: 300 * time.Millisecond,
			Advice: &AdviceConfig{11 * time.Millisecond, 160 * time.Microsecond, 2 * time.Second}},
			perSecond: 142 * scale, steps: 1, meanTasks: 4.5, tasksSpread: 0.8, maxTasks: 27, cpu: 7800, cpuSpread: 0.45, mem: 14_000,
			work: 800 * time.Millisecond, workSpread: 500 * time.Millisecond, workMax: 2 * time.Second, estimateSpread: 0.5, gangShare: 0.3,
			failing: 0.005, allowedShare: 0.7, jobCredit: 0.393, lateJobCredit: 0.0786},
	}
}

var simLoads = map[string]func(float64) (int, model.Size, []simClass){"dispatch": dispatchLoad, "voice": voiceLoad, "grown": grownLoad, "grownvoice": grownVoiceLoad, "large": largeLoad}

// report logs the results of a run, reports its violations and returns the
// share of the possible credit that was earned.
func (s *sim) report(t testing.TB, name string, d time.Duration) float64 {
	byQueue, all := s.creditShare(2*time.Second, d-20*time.Second)
	t.Logf("%-10s credit share %.3f %v; %d jobs, %d starts, %d syncs, %d advice calls, %d appends, %d rounds, %.0f core-s wasted",
		name, all, formatShares(byQueue), len(s.submitted), s.startCount, s.syncCount, s.adviceCalls, s.store.appends, s.rounds, s.wastedCoreSeconds)
	for _, b := range s.violations {
		t.Error(b)
	}
	return all
}

func formatShares(m map[string]float64) string {
	out := ""
	for _, q := range []string{"plan", "print", "confirm", "retrain", "lexfix", "preview"} {
		if v, ok := m[q]; ok {
			out += fmt.Sprintf(" %s %.3f", q, v)
		}
	}
	return out
}

// envFloat returns a number from the environment, so that a simulation can be
// varied.
func envFloat(name string, fallback float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return fallback
}

// simLoadTail is how long a load goes on after the time for which it is judged, so that
// the last jobs of that time can end.
const simLoadTail = 20 * time.Second

// minQuietShare is the share of the possible credit that each class must get on a day
// without faults.
const minQuietShare = 0.9

// TestSimLargeCellServesEveryClass simulates the load of a large cell, with a burst of
// wide gangs. Guards against gangs that do not start although there is room for them.
func TestSimLargeCellServesEveryClass(t *testing.T) {
	const length = 60 * time.Second
	workers, capacity, classes := largeLoad(1)
	s := newSim(1, workers, capacity, classes)
	s.burst(&s.classes[0], 1.8)
	s.run(length + simLoadTail)
	s.report(t, "large", length)
	byQueue, _ := s.creditShare(2*time.Second, length-20*time.Second)
	for queue, share := range byQueue {
		assert.Assert(t, share >= minQuietShare, "%s got %.3f of its possible credit", queue, share)
	}
}

// TestSimLoads simulates each load without faults and logs the share of the
// possible credit that was earned. SIM_SCALE scales the load, SIM_SEEDS sets
// the number of runs, SIM_LOAD selects one load, SIM_BURST multiplies the first
// class's traffic from 20 to 24 s, SIM_GREY is the share of workers that fail
// every run that they start from 7 to 13 s.
func TestSimLoads(t *testing.T) {
	scale, seeds := envFloat("SIM_SCALE", 0.9), int(envFloat("SIM_SEEDS", 1))
	const length = 60 * time.Second
	loads := []string{"dispatch", "voice", "grown", "grownvoice"}
	if only := os.Getenv("SIM_LOAD"); only != "" {
		loads = []string{only}
	}
	for _, name := range loads {
		t.Run(name, func(t *testing.T) {
			sum := make([]float64, seeds)
			t.Run("seeds", func(t *testing.T) {
				for i := range seeds {
					t.Run(fmt.Sprint(i), func(t *testing.T) {
						t.Parallel()
						workers, capacity, classes := simLoads[name](scale)
						s := newSim(uint64(i)+1, workers, capacity, classes)
						s.burst(&s.classes[0], envFloat("SIM_BURST", 1))
						s.failWorkers(envFloat("SIM_GREY", 0))
						s.run(length + simLoadTail)
						sum[i] = s.report(t, name, length)
					})
				}
			})
			mean := 0.0
			for _, v := range sum {
				mean += v / float64(seeds)
			}
			t.Logf("%s at %.2f of the load: mean credit share %.3f", name, scale, mean)
		})
	}
}
