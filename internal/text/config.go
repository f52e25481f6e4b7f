// Package text defines the operators' configuration text: one document in JSON
// with comments that lists data centres, teams and services, what each service
// depends on and which share of it runs on the new system.
package text

import (
	"catkinvalve/internal/core/model"
)

// Config is the parsed and canonicalized text. All defaults are filled in.
type Config struct {
	// Cell names the cell that the text describes.
	Cell        string       `json:"cell"`
	DataCentres []DataCentre `json:"data_centres"`
	Weights     Weights      `json:"weigh"`
	Limits      Limits       `json:"limits"`
	Retry       Retry        `json:"retry"`
	Teams       []Team       `json:"teams"`
	Services    []Service    `json:"services"`
	OldSystem   OldSystem    `json:"old"`
}

// DataCentre is a data centre of the cell.
type DataCentre struct {
	Name   model.DataCentre `json:"name"`
	Region string           `json:"region"`
}

// Weigh sets how much waiting time counts against packing; both are 0 to 100.
type Weights struct {
	Waiting int `json:"waiting"`
	Packing int `json:"packing"`
}

// Limits bounds queues and reserves room.
type Limits struct {
	// QueuePerTeam bounds the waiting tasks of one team and class.
	QueuePerTeam int `json:"queue_per_team"`
	// QueueTotal bounds the waiting tasks of one data centre.
	QueueTotal int `json:"queue_total"`
	// InteractiveHeadroomPercent of the slots is kept for interactive requests.
	InteractiveHeadroomPercent int `json:"interactive_headroom_percent"`
	// RackSpare keeps a rack's worth of room for services.
	RackSpare bool `json:"rack_spare"`
	// UrgentWaitMS is the bound on the wait of urgent work, in milliseconds.
	UrgentWaitMS int64 `json:"urgent_wait_ms"`
	// DrainMS is how long a leaving worker's tasks may run on, in milliseconds.
	DrainMS int64 `json:"drain_ms"`
}

// Retry bounds the attempts that the system makes by itself.
type Retry struct {
	MaxAttempts   int   `json:"max_attempts"`
	BudgetPercent int   `json:"budget_percent"`
	BackoffMS     int64 `json:"backoff_ms"`
	BackoffMaxMS  int64 `json:"backoff_max_ms"`
}

// Team is a tenant with a quota.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota is a team's guaranteed share of each data centre. A team may borrow
// what others leave idle unless Borrow is false.
type Quota struct {
	MilliCPU int64 `json:"milli_cpu"`
	Slots    int64 `json:"slots"`
	Borrow   bool  `json:"borrow"`
}

// Service is a kind of work that callers request or, for class service, that
// the system keeps running.
type Service struct {
	Name       string      `json:"name"`
	Team       string      `json:"team"`
	Class      model.Class `json:"class"`
	Size       model.Size  `json:"size"`
	Idempotent bool        `json:"idempotent"`
	// RunMS is the declared run time of one task in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Instances is how many long-running instances of a service class are kept
	// over all data centres.
	Instances int `json:"instances"`
	// Tasks is the default number of tasks of an all-at-once request, and 1 for
	// other classes.
	Tasks     int      `json:"tasks"`
	DependsOn []string `json:"depends_on"`
	// NewPercent of the keys run on the new system, the rest on the old one.
	NewPercent int `json:"new_percent"`
	// OnDeadline is what happens to a running task whose deadline passes:
	// "continue" or "stop".
	OnDeadline string `json:"on_deadline"`
}

// Old describes the old system's part of shared workers.
type OldSystem struct {
	// SlotsPerWorker are reserved for the old system on each worker.
	SlotsPerWorker int64 `json:"slots_per_worker"`
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Values of Service.OnDeadline.
const (
	DeadlineContinue = "continue"
	DeadlineStop     = "stop"
)
