package scheduler

import (
	"time"

	"catkinvalve/internal/core/retry"
)

const (
	// retryBurst is the number of retries that a team starts with and the most
	// that it can save up. A rack of 8 workers with 8 slots has to fit in.
	retryBurst = 100
	// retryTeams bounds the teams with a budget of their own; the target scale
	// has 110 teams.
	retryTeams = 1024
)

// healthConfig sets workers aside that fail everything. Attempts parks requests
// of many tasks that keep failing; the attempts of each task are bounded by the
// text. Keys bounds the memory to a few hundred kilobytes.
var healthConfig = retry.HealthConfig{
	FailureThreshold: 5, BaseQuarantine: 10 * time.Second, MaxQuarantine: 10 * time.Minute, MaxQuarantinedPercent: 10, MaxAttempts: 16, MaxKeys: 4096,
}

func budgetConfig(percent int) retry.BudgetConfig {
	return retry.BudgetConfig{Percent: percent, Burst: retryBurst, MaxNames: retryTeams}
}
