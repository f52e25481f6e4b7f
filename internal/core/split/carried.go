package split

import "time"

// Retention is how long a share counts as recent. It equals the retention of
// key records: an older key is not remembered by anybody.
const Retention = 24 * time.Hour

// Carried is what a configuration revision has to know of earlier ones. It is
// kept beside the revision in the log, so that every daemon has the same.
type Carried struct {
	Services map[string]Band `json:"services,omitempty"`
	// Reserve is the old system's reserve of slots on each worker.
	Reserve Band `json:"reserve"`
}

// Band holds a value and the range that it had recently.
type Band struct {
	Value   int       `json:"value"`
	Lowest  int       `json:"lowest"`
	Highest int       `json:"highest"`
	Changed time.Time `json:"changed"`
	// Removed is when the service left the text; zero while it is listed.
	Removed time.Time `json:"removed"`
}

// next returns the band after the value was set at a time. Ranges that have
// not changed for the retention collapse.
func (b Band) next(at time.Time, value int) Band {
	if b.Changed.IsZero() {
		return Band{Value: value, Lowest: value, Highest: value, Changed: at}
	}
	if at.Sub(b.Changed) > Retention {
		b.Lowest, b.Highest = b.Value, b.Value
	}
	if value != b.Value {
		b.Changed = at
	}
	b.Removed = time.Time{}
	b.Value, b.Lowest, b.Highest = value, min(b.Lowest, value), max(b.Highest, value)
	return b
}

// Next returns what the revision accepted at a time carries. A service that is
// not in the revision keeps its band until the retention has passed, because it
// may come back with another share.
func (c Carried) Next(at time.Time, newPercent map[string]int, reserve int) Carried {
	out := Carried{Services: make(map[string]Band, len(newPercent)), Reserve: c.Reserve.next(at, reserve)}
	for service, percent := range newPercent {
		out.Services[service] = c.Services[service].next(at, percent)
	}
	for service, band := range c.Services {
		if _, ok := newPercent[service]; ok {
			continue
		}
		if band.Removed.IsZero() {
			band.Removed = at
		}
		if at.Sub(band.Removed) <= Retention {
			out.Services[service] = band
		}
	}
	return out
}

// NeedsLookup reports whether a key without a record may be known to either
// side, because the share crossed its hash recently. The old system is then
// asked first.
func (c Carried) NeedsLookup(now time.Time, key, service string) bool {
	b, ok := c.Services[service]
	if !ok || now.Sub(b.Changed) > Retention {
		return false
	}
	n := bucket(key)
	return b.Lowest <= n && n < b.Highest
}
