package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/daemon"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/testbed"
)

// cell is the cluster under test and the faults that are in effect in it.
type cell struct {
	cluster *testbed.Cluster
	ids     []string
	clients []*api.Client

	// mu guards the processes of cluster and the fields below.
	mu sync.Mutex
	// restartCounts holds the number of restarts of each daemon. A restarted
	// daemon has no state left of its previous process.
	restartCounts map[string]int
	// partitions counts the active partitions from one data centre to another;
	// those of several faults add up.
	partitions map[[2]string]int
	// logPartitions and listPartitions count the active partitions of each daemon
	// from the log and from the instance list.
	logPartitions, listPartitions map[string]int
	// paused holds the daemons whose processes are suspended. crashedWorkers holds all
	// workers that crashed during the run.
	paused         map[string]bool
	crashedWorkers map[model.WorkerID]bool
}

// startCell starts the cluster and returns it with one API client for each daemon.
func startCell(ctx context.Context, bin, dir string) (*cell, error) {
	cluster, err := testbed.Start(ctx, testbed.Options{
		Bin: bin, Dir: dir, DCs: topology, Capacity: workerCapacity,
		LeaseTTL: leaseTTL, TaskGrace: taskGrace, UsageLag: usageLag,
	})
	if err != nil {
		return nil, err
	}
	c := &cell{
		cluster: cluster, ids: cluster.DaemonIDs, restartCounts: map[string]int{}, partitions: map[[2]string]int{},
		logPartitions: map[string]int{}, listPartitions: map[string]int{}, paused: map[string]bool{}, crashedWorkers: map[model.WorkerID]bool{},
	}
	for _, id := range c.ids {
		cl, err := cluster.Client(id)
		if err != nil {
			_ = cluster.Stop()
			return nil, err
		}
		c.clients = append(c.clients, cl)
	}
	return c, nil
}

// daemonsIn returns the IDs of the daemons of a data centre.
func (c *cell) daemonsIn(dc string) []string {
	var out []string
	for _, id := range c.ids {
		if c.cluster.Daemons[id].DataCentre == dc {
			out = append(out, id)
		}
	}
	return out
}

// pickDaemon returns the owner of the fault's data centre or one of its standbys,
// whichever the fault targets. If none fits, it returns any daemon there.
func (c *cell) pickDaemon(ctx context.Context, f Fault) string {
	c.mu.Lock()
	owner, _ := c.cluster.Owner(ctx, f.DC)
	c.mu.Unlock()
	candidates := c.daemonsIn(f.DC)
	for _, id := range candidates {
		if (id == owner) == targetsOwner(f) {
			return id
		}
	}
	return candidates[f.Param%len(candidates)]
}

// kill kills the given daemons.
func (c *cell) kill(ids ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if err := c.cluster.Daemons[id].Kill(); err != nil {
			return err
		}
	}
	return nil
}

// restart starts the given daemons that are not running and applies the active
// partitions to all of the given ones.
func (c *cell) restart(ctx context.Context, ids ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if c.cluster.Daemons[id].Alive() {
			continue
		}
		if err := c.cluster.Restart(id); err != nil {
			return err
		}
		c.restartCounts[id]++
	}
	for _, id := range ids {
		if err := c.applyPartitionsAfterStart(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// applyPartitionsAfterStart waits until a new process listens on its fault port and
// sends it the active partitions. The caller holds mu.
func (c *cell) applyPartitionsAfterStart(ctx context.Context, id string) error {
	if len(c.partitions) == 0 {
		return nil
	}
	return testbed.WaitFor(ctx, startTimeout, "fault port of "+id, func() bool { return c.applyPartitions(ctx, id) == nil })
}

// pause suspends (on) or resumes a daemon's process. A daemon that is not running
// is left as it is.
func (c *cell) pause(id string, on bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.cluster.Daemons[id]
	if !d.Alive() {
		return nil
	}
	c.paused[id] = on
	if on {
		return d.Signal(syscall.SIGSTOP)
	}
	return d.Signal(syscall.SIGCONT)
}

// restarts returns the number of restarts of a daemon, which identifies its
// current process.
func (c *cell) restarts(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restartCounts[id]
}

// changePartition adds delta to the number of partitions from one data centre to
// another and updates the daemons on both sides. It returns the last error.
func (c *cell) changePartition(ctx context.Context, from, to string, delta int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{from, to}] += delta
	var last error
	for _, id := range append(c.daemonsIn(from), c.daemonsIn(to)...) {
		// A paused daemon sends nothing, and the daemons on the other side
		// enforce the partition as well.
		if !c.cluster.Daemons[id].Alive() || c.paused[id] {
			continue
		}
		if err := c.applyPartitions(ctx, id); err != nil {
			last = err
		}
	}
	return last
}

// applyPartitions sends a daemon the active partitions that concern its data
// centre. The caller holds mu.
func (c *cell) applyPartitions(ctx context.Context, id string) error {
	own := c.cluster.Daemons[id].DataCentre
	f := daemon.LinkFaultRequest{BlockOut: []string{}, BlockIn: []string{}}
	for link, n := range c.partitions {
		if n > 0 && link[0] == own {
			f.BlockOut = append(f.BlockOut, c.daemonsIn(link[1])...)
		}
		if n > 0 && link[1] == own {
			f.BlockIn = append(f.BlockIn, c.daemonsIn(link[0])...)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cluster.Fault(ctx, c.cluster.Daemons[id].Fault, f)
}

// changeDaemonPartition adds delta to the number of partitions of a daemon from the
// stand-in with the admin address addr (the log or the instance list). partitions
// holds the counts for that stand-in.
func (c *cell) changeDaemonPartition(ctx context.Context, addr string, partitions map[string]int, id string, delta int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	partitions[id] += delta
	p := standinapi.Partition{}
	for d, n := range partitions {
		if n > 0 {
			p.Daemons = append(p.Daemons, d)
		}
	}
	return c.cluster.Fault(ctx, addr, standinapi.CommonFault{Partition: &p})
}

// setWorkerState changes a worker's state in the instance list. It does nothing for
// a worker that is not listed.
func (c *cell) setWorkerState(ctx context.Context, worker string, s ports.InstanceState) error {
	var list standinapi.InstancesReply
	if err := c.cluster.Admin(ctx, "GET", c.cluster.List.Listen, "/v1/instances", nil, &list); err != nil {
		return err
	}
	for _, in := range list.Instances {
		if in.ID == worker {
			in.State = s
			return c.cluster.SetInstance(ctx, in)
		}
	}
	return nil
}

// endFaults ends all faults, resumes paused daemons and restarts those that are down.
func (c *cell) endFaults(ctx context.Context) error {
	off, none, zero := false, 0, int64(0)
	gate := standinapi.CommonFault{Outage: &off, DelayMS: &zero, LoseNextAnswers: &none, Partition: &standinapi.Partition{}}
	for _, addr := range []string{c.cluster.Log.Admin, c.cluster.List.Admin, c.cluster.Old.Admin} {
		if err := c.cluster.Fault(ctx, addr, gate); err != nil {
			return err
		}
	}
	if err := c.cluster.Fault(ctx, c.cluster.List.Admin, standinapi.ListFault{LagMS: &zero}); err != nil {
		return err
	}
	for _, dc := range topology {
		f := standinapi.WorkerFault{CommonFault: gate, FailAll: &off, DuplicateEvents: &off, ReorderEvents: &off}
		if err := c.cluster.Fault(ctx, c.cluster.Workers[dc.Name].Admin, f); err != nil {
			return err
		}
	}
	for _, id := range c.ids {
		if err := c.pause(id, false); err != nil {
			return err
		}
	}
	if err := c.restart(ctx, c.ids...); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions)
	for _, id := range c.ids {
		if err := testbed.WaitFor(ctx, startTimeout, "fault port of "+id, func() bool { return c.applyPartitions(ctx, id) == nil }); err != nil {
			return err
		}
	}
	return nil
}

// withCallTimeout bounds one call to a daemon that may wait for the given time on
// the server side.
func withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+callTimeout)
}
