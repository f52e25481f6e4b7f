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

// cell is the cluster of a run and the faults that are in effect.
type cell struct {
	cluster *testbed.Cluster
	ids     []string
	clients []*api.Client

	// mu guards the processes and all that follows.
	mu sync.Mutex
	// lives counts the starts of each daemon. A restarted daemon keeps nothing.
	restartCounts map[string]int
	// links counts the cuts from one data centre to another.
	partitions map[[2]string]int
	// noLog and noList count the cuts of daemons from the log and the list.
	logPartitions, listPartitions map[string]int
	paused                        map[string]bool
	crashedWorkers                map[model.WorkerID]bool
}

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

// dcOf returns the daemons of a data centre.
func (c *cell) daemonsIn(dc string) []string {
	var out []string
	for _, id := range c.ids {
		if c.cluster.Daemons[id].DataCentre == dc {
			out = append(out, id)
		}
	}
	return out
}

// pick returns the owner of a data centre or a standby, as the fault asks for.
func (c *cell) pickDaemon(ctx context.Context, f Fault) string {
	c.mu.Lock()
	owner, _ := c.cluster.Owner(ctx, f.DC)
	c.mu.Unlock()
	localPeers := c.daemonsIn(f.DC)
	for _, id := range localPeers {
		if (id == owner) == targetsOwner(f) {
			return id
		}
	}
	return localPeers[f.Param%len(localPeers)]
}

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
		if err := c.waitFaultPort(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// waitFaultPort applies the present cuts to a new process as soon as it listens.
func (c *cell) waitFaultPort(ctx context.Context, id string) error {
	if len(c.partitions) == 0 {
		return nil
	}
	return testbed.WaitFor(ctx, startTimeout, "fault port of "+id, func() bool { return c.applyPartitions(ctx, id) == nil })
}

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

// life identifies the present process of a daemon.
func (c *cell) restarts(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restartCounts[id]
}

// cut changes the number of cuts from one data centre to another.
func (c *cell) changePartition(ctx context.Context, from, to string, delta int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{from, to}] += delta
	var last error
	for _, id := range append(c.daemonsIn(from), c.daemonsIn(to)...) {
		// A paused daemon sends nothing, and the daemons at the other end
		// enforce the cut as well.
		if !c.cluster.Daemons[id].Alive() || c.paused[id] {
			continue
		}
		if err := c.applyPartitions(ctx, id); err != nil {
			last = err
		}
	}
	return last
}

// applyLinks sends a daemon all cuts that concern it. The caller holds mu.
func (c *cell) applyPartitions(ctx context.Context, id string) error {
	own := c.cluster.Daemons[id].DataCentre
	f := daemon.LinkFault{BlockOut: []string{}, BlockIn: []string{}}
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

// cutFrom changes the number of cuts of a daemon from the log or the list.
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
	return c.cluster.Fault(ctx, addr, standinapi.GateFault{Partition: &p})
}

// setState changes a worker's state in the instance list.
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

// heal ends all faults and restarts what is down.
func (c *cell) endFaults(ctx context.Context) error {
	off, none, zero := false, 0, int64(0)
	gate := standinapi.GateFault{Outage: &off, DelayMS: &zero, LoseNextAnswers: &none, Partition: &standinapi.Partition{}}
	for _, addr := range []string{c.cluster.Log.Admin, c.cluster.List.Admin, c.cluster.Old.Admin} {
		if err := c.cluster.Fault(ctx, addr, gate); err != nil {
			return err
		}
	}
	if err := c.cluster.Fault(ctx, c.cluster.List.Admin, standinapi.ListFault{LagMS: &zero}); err != nil {
		return err
	}
	for _, dc := range topology {
		f := standinapi.WorkerFault{GateFault: gate, FailAll: &off, DuplicateEvents: &off, ReorderEvents: &off}
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

// shortly bounds one call to a daemon.
func withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+callTimeout)
}
