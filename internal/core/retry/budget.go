// Package retry bounds what the system does again by itself: a budget for
// retries, the delay before them, and the health of workers that fail tasks.
// It does no I/O and takes time and randomness as arguments.
package retry

// costPercent is the price of one retry in budget credits. A first attempt
// earns Percent credits, so that the arithmetic stays in integers.
const retryCost = 100

// BudgetConfig sets the size of budgets.
type BudgetConfig struct {
	// Percent of the admitted first attempts may be retried.
	Percent int
	// Burst is the number of retries that a new name starts with, and the most
	// that a name can save up.
	Burst int
	// Names bounds the names with a budget of their own. Further names share one
	// budget: evicting a name would give it a new burst on its return.
	MaxNames int
}

// Budget bounds retries per name (a team or a worker). For each name, retries
// never exceed Burst + Percent of the admitted first attempts.
type Budget struct {
	config       BudgetConfig
	credit       map[string]int
	sharedCredit int
}

// NewBudget returns a budget without names.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, credit: map[string]int{}, sharedCredit: c.Burst * retryCost}
}

// Configure replaces the limits. Saved credit above a smaller burst is lost.
func (b *Budget) Configure(c BudgetConfig) { b.config = c }

// Admitted counts a first attempt that was admitted. Refused requests must not
// be counted, or an overload would raise the number of retries.
func (b *Budget) RecordAdmission(name string) { b.addCredit(name, b.config.Percent) }

// Allow takes one retry from the budget and reports whether it was there.
func (b *Budget) Allow(name string) bool {
	if b.creditOf(name) < retryCost {
		return false
	}
	b.addCredit(name, -retryCost)
	return true
}

// Forget frees the place of a name that is gone.
func (b *Budget) RemoveName(name string) { delete(b.credit, name) }

// of returns the credit of a name, cut to the present burst.
func (b *Budget) creditOf(name string) int {
	maxCredit := b.config.Burst * retryCost
	if credit, ok := b.credit[name]; ok {
		return min(credit, maxCredit)
	}
	if len(b.credit) < b.config.MaxNames {
		return maxCredit
	}
	return min(b.sharedCredit, maxCredit)
}

func (b *Budget) addCredit(name string, credit int) {
	balance := min(b.creditOf(name)+credit, b.config.Burst*retryCost)
	if _, ok := b.credit[name]; ok || len(b.credit) < b.config.MaxNames {
		b.credit[name] = balance
	} else {
		b.sharedCredit = balance
	}
}
