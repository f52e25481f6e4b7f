package cellpb

import "catkinvalve/internal/core/jobs"

// FromRunTimes returns the message of a record of run times.
func FromRunTimes(r *jobs.RunTimeRecord) *StoredRunTimes {
	return &StoredRunTimes{Queue: r.Queue, Token: r.Token, Format: r.Format, Model: r.Model}
}

// ToRunTimes returns the record of a message. Whether its model can be used is checked by the core.
func (m *StoredRunTimes) ToRunTimes() jobs.RunTimeRecord {
	return jobs.RunTimeRecord{Queue: m.Queue, Token: m.Token, Format: m.Format, Model: m.Model}
}
