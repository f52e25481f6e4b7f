package split

// maxSpans bounds the spans kept for one service. Beyond it the two oldest are
// joined, which can only widen a band and so ask the old system more often.
const maxSpans = 64

// span is a share, or a range of shares, in effect from a revision on.
type span struct {
	from            uint64
	lowest, highest int
	// absent marks that the service was not in the text.
	absent bool
}

// History holds the new shares of services over the retained revisions of the
// configuration text.
type History struct {
	services map[string][]span
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: map[string][]span{}} }

// Add records the new shares of all services in a revision. Revisions are
// added in rising order.
func (h *History) Add(revision uint64, newPercent map[string]int) {
	for service, percent := range newPercent {
		h.append(service, span{from: revision, lowest: percent, highest: percent})
	}
	for service := range h.services {
		if _, ok := newPercent[service]; !ok {
			h.append(service, span{from: revision, absent: true})
		}
	}
}

// Restore records the band that a snapshot or a peer carries for a service, so
// that a daemon that did not read the earlier revisions asks the old system as
// often as one that did. Call it before Add.
func (h *History) Restore(revision uint64, service string, lowest, highest int) {
	h.append(service, span{from: revision, lowest: lowest, highest: highest})
}

func (h *History) append(service string, s span) {
	spans := h.services[service]
	if n := len(spans); n > 0 {
		last := spans[n-1]
		last.from = s.from
		if last == s {
			return
		}
	}
	spans = append(spans, s)
	if len(spans) > maxSpans {
		spans[1] = join(spans[0], spans[1])
		spans = append(spans[:0], spans[1:]...)
	}
	h.services[service] = spans
}

// join covers both spans. It keeps the later start, so that trimming drops the
// joined span no earlier than either.
func join(a, b span) span {
	switch {
	case a.absent:
		return b
	case b.absent:
		a.from = b.from
		return a
	}
	return span{from: b.from, lowest: min(a.lowest, b.lowest), highest: max(a.highest, b.highest)}
}

// Trim forgets what was in effect only before the oldest retained revision.
func (h *History) Trim(oldest uint64) {
	for service, spans := range h.services {
		for len(spans) > 1 && spans[1].from <= oldest {
			spans = spans[1:]
		}
		h.services[service] = spans
		if len(spans) == 1 && spans[0].absent && spans[0].from <= oldest {
			delete(h.services, service)
		}
	}
}

// Band returns the lowest and highest new share of a service over the retained
// revisions; both are 0 for an unknown service.
func (h *History) Band(service string) (lowest, highest int) {
	var band span
	band.absent = true
	for _, s := range h.services[service] {
		band = join(band, s)
	}
	return band.lowest, band.highest
}

// NeedsLookup reports whether a key without a record may be known to either
// side, because the share crossed its hash. The old system is then asked first.
func (h *History) NeedsLookup(key, service string) bool {
	lowest, highest := h.Band(service)
	b := bucket(key)
	return lowest <= b && b < highest
}
