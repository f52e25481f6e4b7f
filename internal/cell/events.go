package cell

import (
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/jobs"
)

// logEvent logs an event of the scheduling core. Fields without a value are left out.
func logEvent(log *logrus.Entry, e *jobs.Event) {
	fields := make(logrus.Fields, 8)
	fields["event"] = string(e.Name)
	if e.Job != "" {
		fields["job"] = e.Job
	}
	if e.Queue != "" {
		fields["queue"] = e.Queue
	}
	if e.Task != nil {
		fields["task"] = e.Task.String()
	}
	if e.Run != 0 {
		fields["run"] = e.Run
	}
	if e.Worker != "" {
		fields["worker"] = string(e.Worker)
	}
	if e.Tenant != "" {
		fields["tenant"] = e.Tenant
	}
	if e.Reason != "" {
		fields["reason"] = string(e.Reason)
	}
	if e.Detail != "" {
		fields["detail"] = e.Detail
	}
	if e.Age != 0 {
		fields["age_ms"] = e.Age.Milliseconds()
	}
	if e.Count != 0 {
		fields["count"] = e.Count
	}
	log.WithFields(fields).Info()
}
