// Package text defines the configuration text that operators publish: a document
// in JSON with comments that lists the data centres, teams and services of a
// cell, the dependencies of each service and the share of its keys that runs on
// the new system.
package text

import (
	"catkinvalve/internal/core/model"
)

// Config is the parsed and canonicalized text, with all defaults filled in.
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

// Weights are the relative weights of waiting time and packing in scheduling
// decisions, each from 0 to 100.
type Weights struct {
	Waiting int `json:"waiting"`
	Packing int `json:"packing"`
}

// Limits bounds queues and waiting times and reserves capacity.
type Limits struct {
	// QueuePerTeam bounds the number of queued tasks of one team and class.
	QueuePerTeam int `json:"queue_per_team"`
	// QueueTotal bounds the number of queued tasks of one data centre.
	QueueTotal int `json:"queue_total"`
	// InteractiveHeadroomPercent is the share of the slots that is reserved for
	// interactive requests.
	InteractiveHeadroomPercent int `json:"interactive_headroom_percent"`
	// RackSpare reserves the capacity of one rack for services.
	RackSpare bool `json:"rack_spare"`
	// UrgentWaitMS bounds the waiting time of urgent work, in milliseconds.
	UrgentWaitMS int64 `json:"urgent_wait_ms"`
	// DrainMS is how long tasks on a leaving worker may continue to run, in
	// milliseconds.
	DrainMS int64 `json:"drain_ms"`
}

// Retry bounds automatic retries.
type Retry struct {
	// MaxAttempts is the number of failed attempts after which there is no further one.
	MaxAttempts int `json:"max_attempts"`
	// BudgetPercent is the share of first attempts that may be retried.
	BudgetPercent int `json:"budget_percent"`
	// BackoffMS and BackoffMaxMS bound the exponential delay before a retry, in
	// milliseconds.
	BackoffMS    int64 `json:"backoff_ms"`
	BackoffMaxMS int64 `json:"backoff_max_ms"`
}

// Team owns services and has a quota.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota is a team's guaranteed capacity in each data centre. If Borrow is true,
// the team may also use capacity that other teams leave idle.
type Quota struct {
	MilliCPU int64 `json:"milli_cpu"`
	Slots    int64 `json:"slots"`
	Borrow   bool  `json:"borrow"`
}

// Service is a type of work that callers request or, for class service, whose
// instances the system keeps running.
type Service struct {
	Name       string      `json:"name"`
	Team       string      `json:"team"`
	Class      model.Class `json:"class"`
	Size       model.Size  `json:"size"`
	Idempotent bool        `json:"idempotent"`
	// RunMS is the declared run time of one task in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Instances is the number of instances of a service of class service that are
	// kept running in all data centres together; 0 for other classes.
	Instances int `json:"instances"`
	// Tasks is the default number of tasks of a request of class all_at_once; 1 for
	// other classes.
	Tasks     int      `json:"tasks"`
	DependsOn []string `json:"depends_on"`
	// NewPercent is the share of the keys that runs on the new system; the rest runs
	// on the old one.
	NewPercent int `json:"new_percent"`
	// OnDeadline is what happens to a running task at its deadline: "continue" or
	// "stop".
	OnDeadline string `json:"on_deadline"`
}

// OldSystem describes the old system's share of the workers that both systems use.
type OldSystem struct {
	// SlotsPerWorker is the number of slots of each worker that are reserved for the
	// old system.
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
