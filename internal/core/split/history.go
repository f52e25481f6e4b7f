package split

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Retention is how long a replaced value counts as recent. It equals the retention of
// records: no system still knows a key that is older.
const Retention = 24 * time.Hour

// History holds the recent values of settings that were changed by configuration
// revisions. It is stored with each revision in the log, so that all daemons have the
// same history.
type History struct {
	// Services maps a service to the recent range of the new system's share in
	// percent.
	Services map[string]RecentRange `json:"services,omitempty"`
	// OldSlotsPerWorker is the recent range of the number of slots reserved for the
	// old system on each worker.
	OldSlotsPerWorker RecentRange `json:"reserve"`
	// DataCentres is the current set of data centres; EarlierSets are the recent
	// sets before it, oldest first.
	DataCentres []model.DataCentre `json:"data_centres,omitempty"`
	EarlierSets []EarlierSet       `json:"earlier,omitempty"`
}

// EarlierSet is a set of data centres that was in use before Until. A key without a
// data centre prefix may have had a different home under it.
type EarlierSet struct {
	DataCentres []model.DataCentre `json:"data_centres"`
	Until       time.Time          `json:"until"`
}

// Revision holds the values of a configuration revision that enter the History.
// NewPercent maps a service to the new system's share in percent.
type Revision struct {
	NewPercent        map[string]int
	OldSlotsPerWorker int
	DataCentres       []model.DataCentre
}

// RecentRange holds the current value of a setting and the range of its recent values.
type RecentRange struct {
	Value     int       `json:"value"`
	Lowest    int       `json:"lowest"`
	Highest   int       `json:"highest"`
	ChangedAt time.Time `json:"changed"`
	// RemovedAt is when the service was removed from the configuration; zero while
	// it is configured.
	RemovedAt time.Time `json:"removed"`
}

// withValue returns the range after the value was set at the given time. When the
// value has not changed for longer than Retention, the range is first reduced to it.
func (r RecentRange) withValue(at time.Time, value int) RecentRange {
	if r.ChangedAt.IsZero() {
		return RecentRange{Value: value, Lowest: value, Highest: value, ChangedAt: at}
	}
	if at.Sub(r.ChangedAt) > Retention {
		r.Lowest, r.Highest = r.Value, r.Value
	}
	if value != r.Value {
		r.ChangedAt = at
	}
	r.RemovedAt = time.Time{}
	r.Value, r.Lowest, r.Highest = value, min(r.Lowest, value), max(r.Highest, value)
	return r
}

// WithRevision returns the history after a revision was accepted at the given time. A
// service that is not in the revision keeps its range until Retention has passed,
// because it may be added again with a different share.
func (h History) WithRevision(at time.Time, r Revision) History {
	out := History{
		Services: make(map[string]RecentRange, len(r.NewPercent)), OldSlotsPerWorker: h.OldSlotsPerWorker.withValue(at, r.OldSlotsPerWorker),
		DataCentres: r.DataCentres, EarlierSets: h.recentSets(at, r.DataCentres),
	}
	for service, percent := range r.NewPercent {
		out.Services[service] = h.Services[service].withValue(at, percent)
	}
	for service, valueRange := range h.Services {
		if _, ok := r.NewPercent[service]; ok {
			continue
		}
		if valueRange.RemovedAt.IsZero() {
			valueRange.RemovedAt = at
		}
		if at.Sub(valueRange.RemovedAt) <= Retention {
			out.Services[service] = valueRange
		}
	}
	return out
}

// recentSets returns the recent sets of data centres before current, which is in use
// from time at.
func (h History) recentSets(at time.Time, current []model.DataCentre) []EarlierSet {
	var out []EarlierSet
	for _, s := range h.EarlierSets {
		if at.Sub(s.Until) <= Retention {
			out = append(out, s)
		}
	}
	if len(h.DataCentres) > 0 && !slices.Equal(h.DataCentres, current) {
		out = append(out, EarlierSet{h.DataCentres, at})
	}
	return out
}

// EarlierHomes returns the data centres other than home that were the home of a key
// within Retention before now. homeOf returns the home of the key under a set of data
// centres.
func (h History) EarlierHomes(now time.Time, home model.DataCentre, homeOf func([]model.DataCentre) model.DataCentre) []model.DataCentre {
	var out []model.DataCentre
	for _, s := range h.EarlierSets {
		if earlierHome := homeOf(s.DataCentres); now.Sub(s.Until) <= Retention && earlierHome != home && !slices.Contains(out, earlierHome) {
			out = append(out, earlierHome)
		}
	}
	return out
}

// NeedsLookup reports whether a key without a record may be known to either side,
// because a recent change of the share moved its bucket to the other side. The old
// system must be asked first in this case.
func (h History) NeedsLookup(now time.Time, key, service string) bool {
	r, ok := h.Services[service]
	if !ok || now.Sub(r.ChangedAt) > Retention {
		return false
	}
	n := bucket(key)
	return r.Lowest <= n && n < r.Highest
}
