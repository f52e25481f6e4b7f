package cell

import (
	"time"
)

const (
	// plansPerSecond limits the plans of one leader, which take time of its loop.
	plansPerSecond = 5
	// planRetryAfter is the time after which a plan that was refused may be requested again.
	planRetryAfter = time.Second
)

// replyWithPlan answers with what would happen to the job in the call.
func (l *leader) replyWithPlan(now time.Time, m callMsg) {
	spec := l.decodeSpec(m)
	switch {
	case spec == nil:
	case !l.plans.AllowN(now, 1):
		l.reply(m.origin, Reply{Verdict: VerdictOverloaded, Reason: "too_many_plans", RetryAfter: planRetryAfter})
	default:
		plan := l.core.Plan(now, spec)
		l.goroutines.Go(func() { l.replyWithReport(m.origin, func() ([]byte, error) { return encodeReport(plan) }) })
	}
}
