package scheduler

import (
	"time"

	"catkinvalve/internal/core/retry"
)

const (
	// retryBurst is the number of retries that a team starts with and the most that
	// it can accumulate. It must cover all tasks of a rack with 8 workers of 8 slots.
	retryBurst = 100
	// retryBudgetTeams bounds the number of teams with a retry budget of their own.
	// The target scale has 110 teams.
	retryBudgetTeams = 1024
)

// healthConfig sets when workers on which every task fails are quarantined. MaxAttempts
// bounds the failures of a whole request, after which none of its tasks is retried;
// the attempts of each task are bounded by the cluster configuration. MaxKeys bounds the
// memory for failure counts to a few hundred kilobytes.
var healthConfig = retry.HealthConfig{
	FailureThreshold: 5, BaseQuarantine: 10 * time.Second, MaxQuarantine: 10 * time.Minute, MaxQuarantinedPercent: 10, MaxAttempts: 16, MaxKeys: 4096,
}

// budgetConfig returns the retry budget of each team: percent retries for 100 admitted
// requests.
func budgetConfig(percent int) retry.BudgetConfig {
	return retry.BudgetConfig{Percent: percent, Burst: retryBurst, MaxNames: retryBudgetTeams}
}
