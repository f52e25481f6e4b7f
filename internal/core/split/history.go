package split

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Retention is how long a share counts as recent. It equals the retention of
// key records: an older key is not remembered by anybody.
const Retention = 24 * time.Hour

// Carried is what a configuration revision has to know of earlier ones. It is
// kept beside the revision in the log, so that every daemon has the same.
type History struct {
	Services map[string]RecentRange `json:"services,omitempty"`
	// Reserve is the old system's reserve of slots on each worker.
	OldSlotsPerWorker RecentRange `json:"reserve"`
	// DataCentres is the set of data centres, and Earlier what it was before.
	DataCentres []model.DataCentre `json:"data_centres,omitempty"`
	EarlierSets []EarlierSet       `json:"earlier,omitempty"`
}

// EarlierSet is a set of data centres that was replaced at a time. A key
// without a prefix may have had another home under it.
type EarlierSet struct {
	DataCentres []model.DataCentre `json:"data_centres"`
	Until       time.Time          `json:"until"`
}

// Revision is what a text contributes to what later ones carry.
type Revision struct {
	NewPercent        map[string]int
	OldSlotsPerWorker int
	DataCentres       []model.DataCentre
}

// Band holds a value and the range that it had recently.
type RecentRange struct {
	Value     int       `json:"value"`
	Lowest    int       `json:"lowest"`
	Highest   int       `json:"highest"`
	ChangedAt time.Time `json:"changed"`
	// Removed is when the service left the text; zero while it is listed.
	RemovedAt time.Time `json:"removed"`
}

// next returns the band after the value was set at a time. Ranges that have
// not changed for the retention collapse.
func (b RecentRange) withValue(at time.Time, value int) RecentRange {
	if b.ChangedAt.IsZero() {
		return RecentRange{Value: value, Lowest: value, Highest: value, ChangedAt: at}
	}
	if at.Sub(b.ChangedAt) > Retention {
		b.Lowest, b.Highest = b.Value, b.Value
	}
	if value != b.Value {
		b.ChangedAt = at
	}
	b.RemovedAt = time.Time{}
	b.Value, b.Lowest, b.Highest = value, min(b.Lowest, value), max(b.Highest, value)
	return b
}

// Next returns what the revision accepted at a time carries. A service that is
// not in the revision keeps its band until the retention has passed, because it
// may come back with another share.
func (c History) WithRevision(at time.Time, r Revision) History {
	out := History{
		Services: make(map[string]RecentRange, len(r.NewPercent)), OldSlotsPerWorker: c.OldSlotsPerWorker.withValue(at, r.OldSlotsPerWorker),
		DataCentres: r.DataCentres, EarlierSets: c.recentSets(at, r.DataCentres),
	}
	for service, percent := range r.NewPercent {
		out.Services[service] = c.Services[service].withValue(at, percent)
	}
	for service, band := range c.Services {
		if _, ok := r.NewPercent[service]; ok {
			continue
		}
		if band.RemovedAt.IsZero() {
			band.RemovedAt = at
		}
		if at.Sub(band.RemovedAt) <= Retention {
			out.Services[service] = band
		}
	}
	return out
}

// earlier returns the recent sets of data centres before the given one.
func (c History) recentSets(at time.Time, now []model.DataCentre) []EarlierSet {
	var out []EarlierSet
	for _, s := range c.EarlierSets {
		if at.Sub(s.Until) <= Retention {
			out = append(out, s)
		}
	}
	if len(c.DataCentres) > 0 && !slices.Equal(c.DataCentres, now) {
		out = append(out, EarlierSet{c.DataCentres, at})
	}
	return out
}

// EarlierHomes returns the data centres other than home that were the home of
// a key recently. homeOf computes the home under a set of data centres.
func (c History) EarlierHomes(now time.Time, home model.DataCentre, homeOf func([]model.DataCentre) model.DataCentre) []model.DataCentre {
	var out []model.DataCentre
	for _, s := range c.EarlierSets {
		if h := homeOf(s.DataCentres); now.Sub(s.Until) <= Retention && h != home && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// NeedsLookup reports whether a key without a record may be known to either
// side, because the share crossed its hash recently. The old system is then
// asked first.
func (c History) NeedsLookup(now time.Time, key, service string) bool {
	b, ok := c.Services[service]
	if !ok || now.Sub(b.ChangedAt) > Retention {
		return false
	}
	n := bucket(key)
	return b.Lowest <= n && n < b.Highest
}
