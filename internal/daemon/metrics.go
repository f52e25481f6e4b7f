package daemon

import (
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/telemetry"
)

// registerStateGauges registers gauges that read the published state of the owner
// loop.
func (d *Daemon) registerStateGauges() {
	for name, value := range map[string]func(s *state) int64{
		"owner.term":       func(s *state) int64 { return int64(s.term) },
		"owner.in_doubt":   func(s *state) int64 { return boolGauge(s.inDoubt) },
		"config.revision":  func(s *state) int64 { return int64(s.revision) },
		"records":          func(s *state) int64 { return int64(s.records) },
		"standby.synced":   func(s *state) int64 { return boolGauge(s.synced) },
		"peers.local":      func(s *state) int64 { return int64(len(s.localPeers)) },
		"requests.waiting": func(s *state) int64 { return s.load.Queued },
		"tasks.running":    func(s *state) int64 { return s.load.Running },
	} {
		telemetry.RegisterGauge(d.registry, name, func() int64 { return value(d.state.Load()) })
	}
	for name, value := range map[string]func(c *scheduler.Counters) int64{
		"scheduler.admitted":        func(c *scheduler.Counters) int64 { return c.Admitted },
		"scheduler.refused":         func(c *scheduler.Counters) int64 { return c.Refused },
		"scheduler.started":         func(c *scheduler.Counters) int64 { return c.Started },
		"scheduler.finished":        func(c *scheduler.Counters) int64 { return c.Finished },
		"scheduler.failed":          func(c *scheduler.Counters) int64 { return c.Failed },
		"scheduler.retried":         func(c *scheduler.Counters) int64 { return c.Retried },
		"scheduler.preempted":       func(c *scheduler.Counters) int64 { return c.Preempted },
		"scheduler.lost":            func(c *scheduler.Counters) int64 { return c.Lost },
		"scheduler.not_started":     func(c *scheduler.Counters) int64 { return c.NotStarted },
		"scheduler.stale_answers":   func(c *scheduler.Counters) int64 { return c.StaleReports },
		"scheduler.delegated_out":   func(c *scheduler.Counters) int64 { return c.DelegatedOut },
		"scheduler.delegated_in":    func(c *scheduler.Counters) int64 { return c.DelegatedIn },
		"scheduler.records_dropped": func(c *scheduler.Counters) int64 { return c.RecordsDropped },
	} {
		telemetry.RegisterGauge(d.registry, name, func() int64 { return value(&d.state.Load().counters) })
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
