package text

import (
	"cmp"
	"encoding/json"
	"slices"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/jsonc"
)

// Problem is one error in a text.
type Problem = jsonc.Problem

// Problems is a list of problems, sorted by position.
type Problems = jsonc.Problems

// Defaults of fields that are absent from a text.
const (
	DefaultWaitingWeight              = 50
	DefaultPackingWeight              = 50
	DefaultQueuePerTeam               = 10_000  // tasks
	DefaultQueueTotal                 = 100_000 // tasks
	DefaultInteractiveHeadroomPercent = 10
	DefaultRackSpare                  = true
	DefaultUrgentWaitMS               = 9_500 // urgent work must start within this time (section 1 of the design page)
	DefaultDrainMS                    = 60_000
	DefaultMaxAttempts                = 3
	DefaultBudgetPercent              = 10
	DefaultBackoffMS                  = 100
	DefaultBackoffMaxMS               = 10_000
	DefaultBorrow                     = true
	DefaultSlots                      = 1
	DefaultTasks                      = 1
	DefaultNewPercent                 = 0 // a service runs on the old system until an operator moves it
	DefaultOnDeadline                 = DeadlineContinue
)

// Parse parses, canonicalizes and validates a text. Problems refer to the text by
// name. The configuration is nil if there is any problem.
func Parse(name string, data []byte) (*Config, Problems) {
	doc := jsonc.Parse(name, data)
	cfg := &Config{}
	if doc.Problems() == nil {
		doc.Decode(cfg)
		fillDefaults(cfg, doc)
		validate(cfg, doc)
	}
	if ps := doc.Problems(); len(ps) > 0 {
		return nil, ps
	}
	sortLists(cfg)
	return cfg, nil
}

// Canonical returns a configuration from Parse as JSON without comments, with all
// defaults and with sorted lists. Texts with equal meaning give equal bytes.
func Canonical(cfg *Config) ([]byte, error) {
	return json.MarshalIndent(cfg, "", "  ")
}

// setDefault sets a field that is absent from the text.
func setDefault[T any](doc *jsonc.Document, path string, field *T, value T) {
	if !doc.Has(path) {
		*field = value
	}
}

func fillDefaults(cfg *Config, doc *jsonc.Document) {
	setDefault(doc, "weigh.waiting", &cfg.Weights.Waiting, DefaultWaitingWeight)
	setDefault(doc, "weigh.packing", &cfg.Weights.Packing, DefaultPackingWeight)
	setDefault(doc, "limits.queue_per_team", &cfg.Limits.QueuePerTeam, DefaultQueuePerTeam)
	setDefault(doc, "limits.queue_total", &cfg.Limits.QueueTotal, DefaultQueueTotal)
	setDefault(doc, "limits.interactive_headroom_percent", &cfg.Limits.InteractiveHeadroomPercent, DefaultInteractiveHeadroomPercent)
	setDefault(doc, "limits.rack_spare", &cfg.Limits.RackSpare, DefaultRackSpare)
	setDefault(doc, "limits.urgent_wait_ms", &cfg.Limits.UrgentWaitMS, DefaultUrgentWaitMS)
	setDefault(doc, "limits.drain_ms", &cfg.Limits.DrainMS, DefaultDrainMS)
	setDefault(doc, "retry.max_attempts", &cfg.Retry.MaxAttempts, DefaultMaxAttempts)
	setDefault(doc, "retry.budget_percent", &cfg.Retry.BudgetPercent, DefaultBudgetPercent)
	setDefault(doc, "retry.backoff_ms", &cfg.Retry.BackoffMS, DefaultBackoffMS)
	setDefault(doc, "retry.backoff_max_ms", &cfg.Retry.BackoffMaxMS, DefaultBackoffMaxMS)
	for i := range cfg.Teams {
		setDefault(doc, teamPath(i, "quota.borrow"), &cfg.Teams[i].Quota.Borrow, DefaultBorrow)
	}
	for i := range cfg.Services {
		fillServiceDefaults(&cfg.Services[i], i, doc)
	}
}

func fillServiceDefaults(s *Service, i int, doc *jsonc.Document) {
	setDefault(doc, servicePath(i, "size.slots"), &s.Size.Slots, DefaultSlots)
	setDefault(doc, servicePath(i, "new_percent"), &s.NewPercent, DefaultNewPercent)
	setDefault(doc, servicePath(i, "on_deadline"), &s.OnDeadline, DefaultOnDeadline)
	// Services of class service are idempotent by default, because the system
	// restarts their instances. Other services are idempotent only if their owners
	// say so.
	setDefault(doc, servicePath(i, "idempotent"), &s.Idempotent, s.Class == model.Service)
	if s.Class != model.AllAtOnce {
		setDefault(doc, servicePath(i, "tasks"), &s.Tasks, DefaultTasks)
	}
}

func sortLists(cfg *Config) {
	slices.SortFunc(cfg.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	for i := range cfg.Services {
		s := &cfg.Services[i]
		slices.Sort(s.DependsOn)
		// An absent list and an empty one have the same meaning and get the same form.
		s.DependsOn = append([]string{}, s.DependsOn...)
	}
	cfg.Teams = append([]Team{}, cfg.Teams...)
	cfg.Services = append([]Service{}, cfg.Services...)
}

func dataCentrePath(i int, field string) string {
	return jsonc.FieldPath(jsonc.ElementPath("data_centres", i), field)
}
func teamPath(i int, field string) string {
	return jsonc.FieldPath(jsonc.ElementPath("teams", i), field)
}
func servicePath(i int, field string) string {
	return jsonc.FieldPath(jsonc.ElementPath("services", i), field)
}
