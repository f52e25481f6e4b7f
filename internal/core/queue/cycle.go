package queue

import (
	"time"
)

// maxShapes is the maximum number of shapes of one team and class that a cycle
// visits. Callers choose sizes freely, so without a bound a cycle could visit every
// item. A team with more shapes delays only its own items of the same class: the next
// cycle begins with the shapes that were left out.
const maxShapes = 32

// Tiers of offers, in the order in which they are offered.
const (
	tierUrgent      = iota // interactive item that has waited for half of MaxInteractiveWait
	tierWithinQuota        // the team stays within its quota
	tierBorrowed           // the team exceeds its quota
)

// agedRank is the rank of items that ageing has raised above the most urgent class.
// Within it the oldest item is offered first regardless of its team's share, because
// a team with long-running tasks could otherwise be starved by other teams.
const agedRank = -1

// offerOrder is the sort key of an offer within a cycle: tier, class rank, share of
// the team, time of admission and sequence number.
type offerOrder struct {
	tier, rank int
	share      float64
	enqueuedAt time.Time
	seq        uint64
}

// before reports whether an offer with key a comes before one with key b.
func (a offerOrder) before(b offerOrder) bool {
	switch {
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.share != b.share:
		return a.share < b.share
	}
	if c := a.enqueuedAt.Compare(b.enqueuedAt); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// cursor iterates over the shapes of one group during a cycle. Each group keeps its
// cursor, because allocating one in each cycle would be the largest share of all
// allocations.
type cursor struct {
	group *group
	// seenShapes counts the shapes that were withheld or moved to borrowing.
	seenShapes int
	// borrowing holds the shapes that can start only on borrowed quota.
	borrowing indexedHeap[*shape]
	// withheld and skipped hold the shapes and single items that are not offered
	// again in this cycle.
	withheld []*shape
	skipped  []*node
	// shape is the current candidate; order is the sort key of its offer.
	shape *shape
	order offerOrder
	pos   int
}

// cycle is the state of a run of Queue.RunCycle.
type cycle struct {
	queue *Queue
	now   time.Time
	// cursors orders the cursors that have a candidate by the sort key of their
	// offer; all holds the cursors of all groups.
	cursors indexedHeap[*cursor]
	all     []*cursor
}

// RunCycle offers the ready items to try in policy order until no further item can
// start or try returns StopCycle. try may call every method of q; a nested RunCycle
// returns without effect, and items that try adds are offered in a later cycle.
//
// Urgent items come first, the oldest of them before the others. They are followed
// by items that start within their team's quota, ordered by class (raised by ageing),
// then by the team's share of its quota, then first in, first out. Items that start
// on borrowed quota come last, in the same order, so that a team borrows only
// capacity that no team within its quota is waiting for. A team without Quota.Borrow
// never exceeds its quota, not even with urgent items.
//
// RunCycle reports whether it left out shapes that the next cycle begins with.
func (q *Queue) RunCycle(now time.Time, try func(Item) OfferResult) (leftOut bool) {
	if q.inCycle {
		return false
	}
	q.markDueReady(now)
	c := &q.cycle
	c.begin(now)
	for cur := c.firstOffer(); cur != nil; cur = c.firstOffer() {
		if !c.offer(cur, try) {
			break
		}
	}
	return c.end()
}

func newCycle(q *Queue) cycle {
	return cycle{queue: q, cursors: indexedHeap[*cursor]{
		less: func(a, b *cursor) bool { return a.order.before(b.order) },
		pos:  func(cur *cursor) *int { return &cur.pos },
	}}
}

// begin starts the cycle and finds the first candidate of each group.
func (c *cycle) begin(now time.Time) {
	c.now, c.queue.inCycle = now, true
	for _, g := range c.queue.groups {
		c.all = append(c.all, &g.cursor)
		if c.findCandidate(&g.cursor) {
			c.cursors.push(&g.cursor)
		}
	}
}

// firstOffer returns the cursor of the next offer, or nil. During a cycle the sort
// key of a cursor only moves backwards, so it is enough to recompute that of the first
// one.
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

// findCandidate sets the cursor's candidate and reports whether there is one.
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

// findBorrowing sets the candidate among the shapes that need borrowed quota, and
// reports whether there is one.
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

// tier returns the tier of the first item of a shape.
func (c *cycle) tier(g *group, s *shape) int {
	withinQuota := g.team.withinQuota(s.totalSize)
	if (withinQuota || g.team.quota.Borrow) && c.isUrgent(g, s.fifo.top()) {
		return tierUrgent
	}
	if withinQuota {
		return tierWithinQuota
	}
	return tierBorrowed
}

// isUrgent reports whether an interactive item has waited for half of
// MaxInteractiveWait.
func (c *cycle) isUrgent(g *group, n *node) bool {
	maxWait := c.queue.config.MaxInteractiveWait
	return maxWait > 0 && g.rank == 0 && c.now.Sub(n.item.EnqueuedAt) >= maxWait/2
}

// setCandidate makes the first item of s the candidate of the cursor. Urgent items
// are ordered by age only.
func (c *cycle) setCandidate(cur *cursor, s *shape, tier int) {
	n := s.fifo.top()
	cur.shape = s
	cur.order = offerOrder{tier: tier, enqueuedAt: n.item.EnqueuedAt, seq: n.seq}
	if tier == tierUrgent {
		return
	}
	cur.order.rank = c.rank(cur.group, n)
	if cur.order.rank != agedRank {
		cur.order.share = cur.group.team.share()
	}
}

// rank returns the class rank of n, raised by one for each AgeingInterval of waiting.
func (c *cycle) rank(g *group, n *node) int {
	interval, waited := c.queue.config.AgeingInterval, c.now.Sub(n.item.EnqueuedAt)
	if interval <= 0 || waited < interval {
		return g.rank
	}
	return max(agedRank, g.rank-int(min(waited/interval, time.Duration(g.rank+1))))
}

// offer passes the cursor's candidate to try and reports whether the cycle continues.
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

// withhold prevents a shape from being offered until the cycle ends.
func (cur *cursor) withhold(s *shape) {
	cur.seenShapes++
	s.moveTo(nil)
	cur.withheld = append(cur.withheld, s)
}

// skip prevents one item from being offered until the cycle ends.
func (cur *cursor) skip(n *node) {
	if n.group == nil {
		return // try has removed the item
	}
	cur.group.unmarkReady(n)
	cur.skipped = append(cur.skipped, n)
}

// end makes all items that still wait available to the next cycle, and reports whether
// shapes were left out.
func (c *cycle) end() (leftOut bool) {
	for c.cursors.len() > 0 {
		c.cursors.remove(c.cursors.items[c.cursors.len()-1])
	}
	for _, cur := range c.all {
		leftOut = cur.restore() || leftOut
	}
	clear(c.all)
	c.all, c.queue.inCycle = c.all[:0], false
	return leftOut
}

// restore returns withheld shapes and skipped items to the group, and reports whether shapes
// were left out. These come before the withheld ones in the next cycle; otherwise shapes that
// fit nowhere would keep them from being offered for ever.
func (cur *cursor) restore() (leftOut bool) {
	g := cur.group
	leftOut = cur.seenShapes >= maxShapes && g.shapesByAge.len() > 0
	for cur.borrowing.len() > 0 {
		cur.borrowing.top().moveTo(&cur.group.shapesByAge)
	}
	for _, s := range cur.withheld {
		if leftOut {
			s.turn++
		}
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
	if leftOut {
		g.takesTurns = true
	} else {
		g.resetTurns()
	}
	return leftOut
}
