package cell

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// maxRoundTime is the time without the end of a round from which the leader counts as stalled: its
// process lives, but it decides nothing. It is far above that of a round under overload.
const maxRoundTime = 3 * time.Second

// recordRound records that the loop has ended a round.
func (l *leader) recordRound() { l.roundEnd.Now() }

// silence returns how long the leader is to be taken as silent by other daemons: since the end of
// its last round if it is stalled, otherwise 0.
func (l *leader) silence() time.Duration {
	if silence := l.roundEnd.Age(); silence > maxRoundTime {
		return silence
	}
	return 0
}

// logLoad logs the leader's load if that is due.
func (l *leader) logLoad(now time.Time) {
	if now.Sub(l.lastLoadAt) < loadInterval {
		return
	}
	load := l.core.Load()
	l.metrics.jobBytes.Update(l.core.MemoryUsed())
	l.runTimes.update(l.core.RunTimes())
	l.metrics.recoveryDelay.Update(l.core.RecoveryDelay(now).Milliseconds())
	l.log.WithFields(logrus.Fields{"event": "leader_load", "workers": load.Workers, "used_milli_cpu": load.UsedMilliCPU,
		"capacity_milli_cpu": load.CapacityMilliCPU, "jobs": load.UnfinishedJobs, "gangs_waiting": load.WaitingGangs,
		"steps_waiting": load.WaitingSteps, "advice_calls": load.AdviceCalls, "relayed_calls": len(l.relayed.inFlight),
		"job_bytes": l.core.MemoryUsed(), "rounds_ms": l.roundTime.Milliseconds()}).Info("load of the leader")
	l.updateTenantMetrics(now)
	l.lastLoadAt, l.roundTime = now, 0
}

// leaderMetrics are the leader's counters and histograms.
type leaderMetrics struct {
	starts, ends, refused, advice metrics.Counter
	round                         metrics.Histogram
	// recoveryDelay is by how much the recovery has outlasted the leases of earlier leaders,
	// in ms.
	recoveryDelay metrics.Gauge
	// jobBytes is the estimated memory of the jobs.
	jobBytes metrics.Gauge
}
