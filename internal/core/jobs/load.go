package jobs

// Load summarizes what a leader has to do.
type Load struct {
	// Workers counts the workers that accept tasks.
	Workers int
	// UsedMilliCPU is the part of CapacityMilliCPU, the capacity of these workers, that
	// runs use.
	UsedMilliCPU, CapacityMilliCPU int64
	// UnfinishedJobs counts the accepted jobs that have not ended.
	UnfinishedJobs int
	// WaitingGangs and WaitingSteps count the steps that could start tasks, gangs and
	// others.
	WaitingGangs, WaitingSteps int
	// AdviceCalls counts the calls to the advice service in flight.
	AdviceCalls int
}

// Load returns the current load.
func (c *Core) Load() Load {
	l := Load{UnfinishedJobs: c.unfinishedJobs, AdviceCalls: len(c.relays.calls)}
	for _, p := range c.pools {
		l.Workers += len(p.workers)
		for _, w := range p.workers {
			l.UsedMilliCPU += w.resources.used.MilliCPU
			l.CapacityMilliCPU += w.resources.capacity.MilliCPU
		}
	}
	for _, s := range c.ready {
		if s.def.Gang {
			l.WaitingGangs++
		} else {
			l.WaitingSteps++
		}
	}
	return l
}
