package bench

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/workerclient"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/testbed"
)

const (
	callWorkers = 200
	callRounds  = 4000
	startBatch  = 16
)

// measureWorkerCalls measures the CPU time and the memory that a daemon needs for
// calls to workers in another process. It returns no figures if Options.Bin is
// empty.
func measureWorkerCalls(o Options) []Figure {
	if o.Bin == "" {
		return nil
	}
	figures, err := runWorkerCalls(o)
	if err != nil {
		return []Figure{{Name: "sync.http", Unit: "us", Note: "not measured: " + err.Error()}}
	}
	return figures
}

func runWorkerCalls(o Options) ([]Figure, error) {
	dir, err := os.MkdirTemp("", "bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	n, rounds := callWorkers, callRounds
	if o.Quick {
		n, rounds = n/10, rounds/10
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	c, err := testbed.Start(ctx, testbed.Options{Bin: o.Bin, Dir: dir, DCs: []testbed.DC{{Name: benchDC, Region: "klang", Workers: n}}, Capacity: users[0].capacity})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	client, err := jsonhttp.New(jsonhttp.Options{Daemon: "bench"})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return measureCalls(ctx, workerclient.New(client), c, rounds)
}

var benchLease = ports.Lease{Holder: "bench", Term: 1}

func measureCalls(ctx context.Context, d *workerclient.Dialer, c *testbed.Cluster, rounds int) ([]Figure, error) {
	var workers []ports.Worker
	for _, addr := range c.Workers[benchDC].Workers {
		workers = append(workers, d.Worker(addr))
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, w := range workers {
		if _, err := w.Acquire(ctx, benchLease, time.Minute, time.Minute); err != nil {
			return nil, err
		}
	}
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	memory := float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
	out := []Figure{{"memory.connection", memory / float64(len(workers)), "bytes", "an idle HTTP connection to a worker, heap and stacks"}}
	syncs, err := cpuMicrosPerCall(rounds, func(i int) error {
		_, err := workers[i%len(workers)].Sync(ctx, benchLease, time.Minute, 0, 0)
		return err
	})
	if err != nil {
		return out, err
	}
	out = append(out, Figure{"sync.http", syncs, "us", "processor time of the daemon's side of a sync without events"})
	for _, batch := range []int{1, startBatch} {
		cost, err := cpuMicrosPerStartCall(ctx, workers, rounds/batch, batch)
		if err != nil {
			return out, err
		}
		out = append(out, Figure{fmt.Sprintf("start.http.batch%d", batch), cost / float64(batch), "us", "processor time of the daemon's side for each start"})
	}
	return out, nil
}

func cpuMicrosPerStartCall(ctx context.Context, workers []ports.Worker, rounds, batch int) (float64, error) {
	return cpuMicrosPerCall(rounds, func(i int) error {
		tasks := make([]ports.StartTask, batch)
		for k := range tasks {
			tasks[k] = ports.StartTask{ID: model.TaskID{Key: fmt.Sprintf("%s:b%d-%d", benchDC, batch, i), Index: k}, Attempt: 1,
				Service: "slot-confirmation", Size: model.Size{MilliCPU: 1, MemMB: 1}, RunTime: time.Millisecond, Payload: make([]byte, 200)}
		}
		_, err := workers[i%len(workers)].Start(ctx, benchLease, tasks)
		return err
	})
}

// cpuMicrosPerCall returns the CPU time of this process per call in microseconds.
func cpuMicrosPerCall(rounds int, call func(i int) error) (float64, error) {
	startTime := processorTime()
	for i := range rounds {
		if err := call(i); err != nil {
			return 0, err
		}
	}
	return micros(processorTime()-startTime) / float64(rounds), nil
}

// processorTime returns the user and system time of this process, or 0 if it is
// not available.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
