package queue

import (
	"time"
)

// maxShapes bounds the shapes of one team and class that a cycle looks at.
// Callers choose sizes freely, so without a bound a cycle could visit every
// item. Beyond it a team delays only its own work of the same class.
const maxShapes = 32

// Tiers of offers, first to last.
const (
	tierUrgent      = iota // interactive work that waited half of its bound
	tierWithinQuota        // starts within the team's quota
	tierBorrowed           // starts on borrowed quota
)

// overdue is the rank of work that ageing raised above the most urgent class.
// There the oldest item goes first whatever its team's share, because a team
// with long-running work could otherwise lose to others without end.
const agedRank = -1

// order is the place of an offer within a cycle.
type offerOrder struct {
	tier, rank int
	share      float64
	enqueued   time.Time
	seq        uint64
}

func (a offerOrder) before(b offerOrder) bool {
	switch {
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.share != b.share:
		return a.share < b.share
	}
	if c := a.enqueued.Compare(b.enqueued); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// cursor walks over the shapes of one group during a cycle. Each group keeps
// its cursor, because a new one for each cycle would be the main allocation.
type cursor struct {
	group *group
	// seen counts the shapes that were withheld or moved to over.
	seenShapes int
	// over holds shapes that can start on borrowed quota only.
	borrowing indexedHeap[*shape]
	withheld  []*shape
	skipped   []*node
	// shape is the present candidate, at place.
	shape *shape
	order offerOrder
	pos   int
}

type cycle struct {
	queue   *Queue
	now     time.Time
	cursors indexedHeap[*cursor]
	all     []*cursor
}

// Next offers ready items in policy order until nothing more can start or try
// returns Stop. During the cycle, try may call every method but Next; items
// that it adds are offered in a later cycle.
//
// Order: urgent items first, oldest first. Then what starts within its team's
// quota: by class raised by ageing, then by the team's share, then first in
// first out. Then, in the same order, what starts on borrowed quota, so that a
// team borrows only what no team under its quota waits for. A team without
// Borrow never exceeds its quota, not even by urgent work.
func (q *Queue) RunCycle(now time.Time, try func(Item) OfferResult) {
	if q.inCycle {
		return
	}
	q.markDueReady(now)
	c := &q.cycle
	c.begin(now)
	defer c.end()
	for cur := c.firstOffer(); cur != nil; cur = c.firstOffer() {
		if !c.offer(cur, try) {
			return
		}
	}
}

func newCycle(q *Queue) cycle {
	return cycle{queue: q, cursors: indexedHeap[*cursor]{
		less: func(a, b *cursor) bool { return a.order.before(b.order) },
		pos:  func(cur *cursor) *int { return &cur.pos },
	}}
}

func (c *cycle) begin(now time.Time) {
	c.now, c.queue.inCycle = now, true
	for _, g := range c.queue.groups {
		c.all = append(c.all, &g.cursor)
		if c.findCandidate(&g.cursor) {
			c.cursors.push(&g.cursor)
		}
	}
}

// best returns the cursor of the first offer, or nil. Places change only for
// the worse during a cycle, so it is enough to look again at the first one.
func (c *cycle) firstOffer() *cursor {
	for c.cursors.len() > 0 {
		cur := c.cursors.top()
		before := cur.order
		switch {
		case !c.findCandidate(cur):
			c.cursors.remove(cur)
		case before.before(cur.order):
			c.cursors.fix(cur)
		default:
			return cur
		}
	}
	return nil
}

// find sets the cursor's candidate and reports whether there is one.
func (c *cycle) findCandidate(cur *cursor) bool {
	for cur.seenShapes < maxShapes && cur.group.shapesByAge.len() > 0 {
		s := cur.group.shapesByAge.top()
		n := s.fifo.top()
		switch tier := c.tier(cur.group, s); {
		case n.expired(c.now):
			cur.skip(n)
		case tier < tierBorrowed:
			c.setCandidate(cur, s, tier)
			return true
		case cur.group.team.quota.Borrow:
			cur.seenShapes++
			s.moveTo(&cur.borrowing)
		default:
			cur.withhold(s)
		}
	}
	return c.findBorrowing(cur)
}

// findOver chooses among the shapes that need borrowed quota.
func (c *cycle) findBorrowing(cur *cursor) bool {
	for cur.borrowing.len() > 0 {
		s := cur.borrowing.top()
		if n := s.fifo.top(); n.expired(c.now) {
			cur.skip(n)
			continue
		}
		c.setCandidate(cur, s, tierBorrowed)
		return true
	}
	return false
}

func (c *cycle) tier(g *group, s *shape) int {
	withinQuota := g.team.withinQuota(s.need)
	if (withinQuota || g.team.quota.Borrow) && c.urgent(g, s.fifo.top()) {
		return tierUrgent
	}
	if withinQuota {
		return tierWithinQuota
	}
	return tierBorrowed
}

func (c *cycle) urgent(g *group, n *node) bool {
	bound := c.queue.config.MaxInteractiveWait
	return bound > 0 && g.rank == 0 && c.now.Sub(n.item.EnqueuedAt) >= bound/2
}

func (c *cycle) setCandidate(cur *cursor, s *shape, tier int) {
	n := s.fifo.top()
	cur.shape = s
	cur.order = offerOrder{tier: tier, enqueued: n.item.EnqueuedAt, seq: n.seq}
	if tier == tierUrgent {
		return
	}
	cur.order.rank = c.rank(cur.group, n)
	if cur.order.rank != agedRank {
		cur.order.share = cur.group.team.share()
	}
}

// rank returns the class rank raised by ageing.
func (c *cycle) rank(g *group, n *node) int {
	step, waited := c.queue.config.AgeingInterval, c.now.Sub(n.item.EnqueuedAt)
	if step <= 0 || waited < step {
		return g.rank
	}
	return max(agedRank, g.rank-int(min(waited/step, time.Duration(g.rank+1))))
}

// offer asks try about the cursor's candidate and reports whether to go on.
func (c *cycle) offer(cur *cursor, try func(Item) OfferResult) bool {
	s := cur.shape
	n := s.fifo.top()
	switch try(n.item) {
	case Placed:
		if n.group != nil {
			c.queue.drop(n)
		}
		c.queue.AddUsage(n.item.Team, n.item.TotalSize())
	case NoFit:
		cur.withhold(s)
	case SkipItem:
		cur.skip(n)
	default:
		return false
	}
	return true
}

// withhold keeps a shape from being offered until the cycle ends.
func (cur *cursor) withhold(s *shape) {
	cur.seenShapes++
	s.moveTo(nil)
	cur.withheld = append(cur.withheld, s)
}

// skip keeps one item from being offered until the cycle ends.
func (cur *cursor) skip(n *node) {
	if n.group == nil {
		return // removed by try
	}
	cur.group.unmarkReady(n)
	cur.skipped = append(cur.skipped, n)
}

// end makes everything that still waits available to the next cycle.
func (c *cycle) end() {
	for c.cursors.len() > 0 {
		c.cursors.remove(c.cursors.items[c.cursors.len()-1])
	}
	for _, cur := range c.all {
		cur.restore()
	}
	clear(c.all)
	c.all, c.queue.inCycle = c.all[:0], false
}

func (cur *cursor) restore() {
	for cur.borrowing.len() > 0 {
		cur.borrowing.top().moveTo(&cur.group.shapesByAge)
	}
	for _, s := range cur.withheld {
		if s.fifo.len() > 0 {
			s.moveTo(&cur.group.shapesByAge)
		}
	}
	for _, n := range cur.skipped {
		if n.group != nil {
			cur.group.markReady(n)
		}
	}
	clear(cur.withheld)
	clear(cur.skipped)
	cur.withheld, cur.skipped = cur.withheld[:0], cur.skipped[:0]
	cur.seenShapes, cur.shape = 0, nil
}
