package text

import (
	"slices"
	"strings"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/jsonc"
)

// Upper limits. They ensure that products such as tasks times size, and sums
// over a cell, do not overflow 64 bits.
const (
	maxNameBytes = 63
	maxAmount    = 1_000_000_000           // of any dimension of a size or quota
	maxTasks     = 100_000                 // of one request, and instances of one service
	maxQueue     = 10_000_000              // tasks
	maxAttempts  = 10                      // of one request
	maxMS        = 366 * 24 * 3_600 * 1000 // one year
)

// check checks one rule and reports violations to the document.
type check func(cfg *Config, doc *jsonc.Document)

// checks lists all rules. Each is checked and reported independently.
var checks = []check{
	checkCellName,
	checkDataCentrePresent,
	checkDataCentreNames,
	checkDataCentreRegions,
	checkDataCentresUnique,
	checkWeights,
	checkQueueLimits,
	checkHeadroom,
	checkWaitLimits,
	checkRetryAttempts,
	checkRetryBudget,
	checkRetryBackoff,
	checkTeamNames,
	checkTeamsUnique,
	checkQuotaRange,
	checkQuotaUsable,
	checkOldSystemSlots,
	checkServiceNames,
	checkServicesUnique,
	checkKnownTeam,
	checkKnownClass,
	checkSizes,
	checkSlots,
	checkRunTime,
	checkTasks,
	checkInstances,
	checkServiceClassIdempotent,
	checkNewPercent,
	checkOnDeadline,
	checkFitsQuota,
	checkKnownDependencies,
	checkDependenciesUnique,
	checkDependencyCycles,
	checkDependencyShares,
}

func validate(cfg *Config, doc *jsonc.Document) {
	for _, c := range checks {
		c(cfg, doc)
	}
}

func checkName(doc *jsonc.Document, path, name string) {
	switch {
	case name == "":
		doc.Report(path, "state a name", "%s is missing or empty", path)
	case len(name) > maxNameBytes:
		doc.Report(path, "shorten the name", "%s has %d bytes, more than %d", path, len(name), maxNameBytes)
	case strings.ContainsFunc(name, isInvalidNameRune) || strings.ContainsRune("-_.", rune(name[0])):
		doc.Report(path, "use a to z, 0 to 9, '-', '_' and '.', starting with a letter or digit", "%s %q is not a valid name", path, name)
	}
}

func isInvalidNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
}

// checkUnique reports each of n items that has the name of an earlier one. It ignores
// items without a name, which checkName reports.
func checkUnique(doc *jsonc.Document, kind string, n int, name, path func(i int) string) {
	first := map[string]int{}
	for i := range n {
		j, seen := first[name(i)]
		if seen && name(i) != "" {
			doc.Report(path(i), "rename or remove one of them", "%s %q is listed before as number %d", kind, name(i), j+1)
		}
		if !seen {
			first[name(i)] = i
		}
	}
}

func checkCellName(cfg *Config, doc *jsonc.Document) { checkName(doc, "cell", cfg.Cell) }

func checkDataCentrePresent(cfg *Config, doc *jsonc.Document) {
	if len(cfg.DataCentres) == 0 {
		doc.Report("data_centres", "list the data centres of the cell", "there is no data centre")
	}
}

// checkDataCentreNames rejects colons as well as invalid names: a key can start
// with "<data centre>:", so a colon would make its home ambiguous.
func checkDataCentreNames(cfg *Config, doc *jsonc.Document) {
	for i, dc := range cfg.DataCentres {
		path := dataCentrePath(i, "name")
		if strings.Contains(string(dc.Name), ":") {
			doc.Report(path, "remove the colon; it ends the prefix of a key", "data centre %q contains a colon", dc.Name)
			continue
		}
		checkName(doc, path, string(dc.Name))
	}
}

func checkDataCentreRegions(cfg *Config, doc *jsonc.Document) {
	for i, dc := range cfg.DataCentres {
		checkName(doc, dataCentrePath(i, "region"), dc.Region)
	}
}

func checkDataCentresUnique(cfg *Config, doc *jsonc.Document) {
	checkUnique(doc, "data centre", len(cfg.DataCentres),
		func(i int) string { return string(cfg.DataCentres[i].Name) },
		func(i int) string { return dataCentrePath(i, "name") })
}

func checkWeights(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "weigh.waiting", cfg.Weights.Waiting, 0, 100)
	jsonc.CheckRange(doc, "weigh.packing", cfg.Weights.Packing, 0, 100)
	if cfg.Weights.Waiting == 0 && cfg.Weights.Packing == 0 && !doc.InvalidWithin("weigh") {
		doc.Report("weigh", "give at least one of waiting and packing a weight", "weigh.waiting and weigh.packing are both 0")
	}
}

func checkQueueLimits(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "limits.queue_per_team", cfg.Limits.QueuePerTeam, 1, maxQueue)
	jsonc.CheckRange(doc, "limits.queue_total", cfg.Limits.QueueTotal, 1, maxQueue)
	if cfg.Limits.QueuePerTeam > cfg.Limits.QueueTotal && !doc.InvalidWithin("limits") {
		doc.Report("limits.queue_per_team", "lower it or raise queue_total",
			"limits.queue_per_team %d exceeds limits.queue_total %d", cfg.Limits.QueuePerTeam, cfg.Limits.QueueTotal)
	}
}

func checkHeadroom(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "limits.interactive_headroom_percent", cfg.Limits.InteractiveHeadroomPercent, 0, 100)
}

func checkWaitLimits(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "limits.urgent_wait_ms", cfg.Limits.UrgentWaitMS, 1, maxMS)
	jsonc.CheckRange(doc, "limits.drain_ms", cfg.Limits.DrainMS, 0, maxMS)
}

func checkRetryAttempts(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "retry.max_attempts", cfg.Retry.MaxAttempts, 1, maxAttempts)
}

func checkRetryBudget(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "retry.budget_percent", cfg.Retry.BudgetPercent, 0, 100)
}

func checkRetryBackoff(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "retry.backoff_ms", cfg.Retry.BackoffMS, 1, maxMS)
	jsonc.CheckRange(doc, "retry.backoff_max_ms", cfg.Retry.BackoffMaxMS, 1, maxMS)
	if cfg.Retry.BackoffMaxMS < cfg.Retry.BackoffMS && !doc.InvalidWithin("retry") {
		doc.Report("retry.backoff_max_ms", "raise it or lower backoff_ms",
			"retry.backoff_max_ms %d is below retry.backoff_ms %d", cfg.Retry.BackoffMaxMS, cfg.Retry.BackoffMS)
	}
}

func checkTeamNames(cfg *Config, doc *jsonc.Document) {
	for i, t := range cfg.Teams {
		checkName(doc, teamPath(i, "name"), t.Name)
	}
}

func checkTeamsUnique(cfg *Config, doc *jsonc.Document) {
	checkUnique(doc, "team", len(cfg.Teams),
		func(i int) string { return cfg.Teams[i].Name },
		func(i int) string { return teamPath(i, "name") })
}

func checkQuotaRange(cfg *Config, doc *jsonc.Document) {
	for i, t := range cfg.Teams {
		jsonc.CheckRange(doc, teamPath(i, "quota.milli_cpu"), t.Quota.MilliCPU, 0, maxAmount)
		jsonc.CheckRange(doc, teamPath(i, "quota.slots"), t.Quota.Slots, 0, maxAmount)
	}
}

func checkQuotaUsable(cfg *Config, doc *jsonc.Document) {
	for i, t := range cfg.Teams {
		if !t.Quota.Borrow && (t.Quota.MilliCPU == 0 || t.Quota.Slots == 0) && !doc.InvalidWithin(teamPath(i, "quota")) {
			doc.Report(teamPath(i, "quota"), "state milli_cpu and slots, or allow borrowing",
				"team %q may not borrow and lacks a quota of processors or slots, so nothing of it can run", t.Name)
		}
	}
}

func checkOldSystemSlots(cfg *Config, doc *jsonc.Document) {
	jsonc.CheckRange(doc, "old.slots_per_worker", cfg.OldSystem.SlotsPerWorker, 0, maxAmount)
}

func checkServiceNames(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		checkName(doc, servicePath(i, "name"), s.Name)
	}
}

func checkServicesUnique(cfg *Config, doc *jsonc.Document) {
	checkUnique(doc, "service", len(cfg.Services),
		func(i int) string { return cfg.Services[i].Name },
		func(i int) string { return servicePath(i, "name") })
}

func teamIndex(cfg *Config) map[string]*Team {
	index := make(map[string]*Team, len(cfg.Teams))
	for i := range cfg.Teams {
		index[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	return index
}

func checkKnownTeam(cfg *Config, doc *jsonc.Document) {
	// If a team's name could not be decoded, its services would be reported as well.
	if doc.InvalidWithin("teams") {
		return
	}
	teams := teamIndex(cfg)
	for i, s := range cfg.Services {
		if s.Team == "" {
			doc.Report(servicePath(i, "team"), "state the team that owns the service", "service %q has no team", s.Name)
		} else if teams[s.Team] == nil {
			doc.Report(servicePath(i, "team"), "correct the name or add the team to teams", "service %q names the unknown team %q", s.Name, s.Team)
		}
	}
}

func checkKnownClass(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		if !slices.Contains(model.Classes, s.Class) {
			doc.Report(servicePath(i, "class"), "use interactive, service, all_at_once or batch", "service %q has the unknown class %q", s.Name, s.Class)
		}
	}
}

func checkSizes(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		jsonc.CheckRange(doc, servicePath(i, "size.milli_cpu"), s.Size.MilliCPU, 1, maxAmount)
		jsonc.CheckRange(doc, servicePath(i, "size.mem_mb"), s.Size.MemMB, 1, maxAmount)
		jsonc.CheckRange(doc, servicePath(i, "size.accel"), s.Size.Accel, 0, maxAmount)
		jsonc.CheckRange(doc, servicePath(i, "size.conns"), s.Size.Conns, 0, maxAmount)
	}
}

func checkSlots(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		jsonc.CheckRange(doc, servicePath(i, "size.slots"), s.Size.Slots, 1, maxAmount)
	}
}

// checkRunTime requires a run time for all classes but service, whose tasks do
// not end: backfill and quotas need it.
func checkRunTime(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		low := int64(1)
		if s.Class == model.Service {
			low = 0
		}
		jsonc.CheckRange(doc, servicePath(i, "run_ms"), s.RunMS, low, maxMS)
	}
}

func checkTasks(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		path := servicePath(i, "tasks")
		if s.Class != model.AllAtOnce {
			if s.Tasks != DefaultTasks {
				doc.Report(path, "remove tasks or use class all_at_once", "service %q of class %q has %d tasks", s.Name, s.Class, s.Tasks)
			}
			continue
		}
		if s.Tasks < 2 || s.Tasks > maxTasks {
			doc.Report(path, "state the number of tasks, or use class batch for a single one",
				"service %q of class all_at_once has %d tasks, outside of 2 to %d", s.Name, s.Tasks, maxTasks)
		}
	}
}

func checkInstances(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		path := servicePath(i, "instances")
		if s.Class != model.Service {
			if s.Instances != 0 {
				doc.Report(path, "remove instances or use class service", "service %q of class %q has %d instances", s.Name, s.Class, s.Instances)
			}
			continue
		}
		if s.Instances < 1 || s.Instances > maxTasks {
			doc.Report(path, "state how many instances are kept", "service %q of class service has %d instances, outside of 1 to %d", s.Name, s.Instances, maxTasks)
		}
	}
}

func checkServiceClassIdempotent(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		if s.Class == model.Service && !s.Idempotent {
			doc.Report(servicePath(i, "idempotent"), "set it to true, or use another class",
				"service %q of class service is not idempotent, but its instances are restarted when a worker fails", s.Name)
		}
	}
}

func checkNewPercent(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		jsonc.CheckRange(doc, servicePath(i, "new_percent"), s.NewPercent, 0, 100)
	}
}

func checkOnDeadline(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		if s.OnDeadline != DeadlineContinue && s.OnDeadline != DeadlineStop {
			doc.Report(servicePath(i, "on_deadline"), `use "continue" or "stop"`, "service %q has the unknown on_deadline %q", s.Name, s.OnDeadline)
		}
	}
}

// checkFitsQuota rejects services that exceed the quota of a team that may not
// borrow, because such requests can never run. A request may specify another
// size, but one with the size in the text must be able to run.
func checkFitsQuota(cfg *Config, doc *jsonc.Document) {
	teams := teamIndex(cfg)
	for i, s := range cfg.Services {
		t := teams[s.Team]
		if t == nil || t.Quota.Borrow || s.Tasks < 1 || s.Tasks > maxTasks {
			continue
		}
		quota, need := t.Quota, s.Size
		if s.Class == model.AllAtOnce {
			need = need.Times(int64(s.Tasks))
		}
		if need.MilliCPU > quota.MilliCPU || need.Slots > quota.Slots {
			doc.Report(servicePath(i, "size"), "lower the size or tasks, raise the quota or allow borrowing",
				"service %q needs %d milli_cpu and %d slots, more than the quota of team %q, which may not borrow", s.Name, need.MilliCPU, need.Slots, s.Team)
		}
	}
}
