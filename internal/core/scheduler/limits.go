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
	retryBudgetTeams = 1024
)

// healthConfig sets workers aside that fail everything. Attempts parks requests
// of many tasks that keep failing; the attempts of each task are bounded by the
// text. Keys bounds the memory to a few hundred kilobytes.
var healthConfig = retry.HealthConfig{
	Failures: 5, Base: 10 * time.Second, Max: 10 * time.Minute, Percent: 10, Attempts: 16, Keys: 4096,
}

func budgetConfig(percent int) retry.BudgetConfig {
	return retry.BudgetConfig{Percent: percent, Burst: retryBurst, Names: retryBudgetTeams}
}
