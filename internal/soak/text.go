package soak

import (
	"encoding/json"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// Services of the published configuration text.
const (
	confirmService   = "confirm" // interactive, not idempotent
	previewService   = "preview" // interactive
	planService      = "plan"    // batch
	packService      = "pack"    // batch, not idempotent
	routeService     = "route"   // all at once
	directoryService = "directory"
)

// oldSlots is the number of slots that the old system may use. Its stand-in runs so
// many keys at once in the whole cell. It has to carry the load of the old side: at
// most 14 keys a second that take 0.15 s on average, and a few long ones.
const oldSlots = 4

// configText returns a configuration text with the given percentages of the confirm
// and plan services on the new system.
func configText(confirm, plan int) string {
	quota := text.Quota{MilliCPU: 16000, Slots: 16, Borrow: true}
	small := model.Size{MilliCPU: 500, MemMB: 256, Slots: 1, Conns: 1}
	large := model.Size{MilliCPU: 2000, MemMB: 2048, Slots: 1}
	cfg := text.Config{
		Cell:    "soak",
		Weights: text.Weights{Waiting: 60, Packing: 40},
		Limits: text.Limits{QueuePerTeam: 5000, QueueTotal: 20000, InteractiveHeadroomPercent: 10,
			RackSpare: false, UrgentWaitMS: 9500, DrainMS: 1500},
		Retry: text.Retry{MaxAttempts: 3, BudgetPercent: 20, BackoffMS: 50, BackoffMaxMS: 1000},
		Teams: []text.Team{{Name: "front", Quota: quota}, {Name: "back", Quota: quota}},
		Services: []text.Service{
			{Name: confirmService, Team: "front", Class: model.Interactive, Size: small, RunMS: 100, Tasks: 1, NewPercent: confirm, OnDeadline: text.DeadlineContinue},
			{Name: previewService, Team: "front", Class: model.Interactive, Size: small, RunMS: 150, Tasks: 1, Idempotent: true, NewPercent: 100, OnDeadline: text.DeadlineContinue},
			{Name: planService, Team: "back", Class: model.Batch, Size: large, RunMS: 400, Tasks: 1, Idempotent: true, NewPercent: plan, OnDeadline: text.DeadlineStop},
			{Name: packService, Team: "back", Class: model.Batch, Size: large, RunMS: 300, Tasks: 1, NewPercent: 100, OnDeadline: text.DeadlineContinue},
			{Name: routeService, Team: "back", Class: model.AllAtOnce, Size: large, RunMS: 300, Tasks: 3, Idempotent: true, NewPercent: 100, OnDeadline: text.DeadlineContinue},
			{Name: directoryService, Team: "back", Class: model.Service, Size: small, Instances: 3, Tasks: 1, Idempotent: true, NewPercent: 100, OnDeadline: text.DeadlineContinue},
		},
		OldSystem: text.OldSystem{SlotsPerWorker: oldSlots},
	}
	for _, dc := range topology {
		cfg.DataCentres = append(cfg.DataCentres, text.DataCentre{Name: model.DataCentre(dc.Name), Region: dc.Region})
	}
	for i := range cfg.Services {
		cfg.Services[i].DependsOn = []string{}
	}
	data, err := json.Marshal(cfg)
	if err != nil {
		panic(err) // The type has only fields that JSON can encode.
	}
	return string(data)
}
