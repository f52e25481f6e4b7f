// Package retry limits automatic retries: a budget for retries, the delay before
// them, and a health check that stops sending work to workers that fail tasks.
// It does no I/O and takes time and randomness as arguments.
package retry

// retryCost is the cost of one retry in credits. A first attempt earns
// BudgetConfig.Percent credits, which keeps the arithmetic in integers.
const retryCost = 100

// BudgetConfig holds the limits of a Budget.
type BudgetConfig struct {
	// Percent is the share of the admitted first attempts that may be retried.
	Percent int
	// Burst is the number of retries that a new name starts with, and the maximum
	// that a name can accumulate.
	Burst int
	// MaxNames bounds the number of names with a separate budget. Further names
	// share one budget: if names were evicted instead, a name would get a new
	// burst each time it returned.
	MaxNames int
}

// Budget limits retries per name (a team or a worker). The retries of a name
// never exceed Burst plus Percent of its admitted first attempts.
type Budget struct {
	config       BudgetConfig
	credit       map[string]int // by name
	sharedCredit int            // of the names beyond MaxNames
}

// NewBudget returns a budget in which all names start with a full burst.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, credit: map[string]int{}, sharedCredit: c.Burst * retryCost}
}

// Configure replaces the limits. Credit above a smaller burst is lost.
func (b *Budget) Configure(c BudgetConfig) { b.config = c }

// RecordAdmission counts an admitted first attempt. Refused requests must not be
// counted, or an overload would increase the number of retries.
func (b *Budget) RecordAdmission(name string) { b.addCredit(name, b.config.Percent) }

// Allow reports whether a retry is within the budget, and deducts it if so.
func (b *Budget) Allow(name string) bool {
	if b.creditOf(name) < retryCost {
		return false
	}
	b.addCredit(name, -retryCost)
	return true
}

// RemoveName removes the budget of a name that no longer exists, which makes
// room for another name.
func (b *Budget) RemoveName(name string) { delete(b.credit, name) }

// creditOf returns the credit of a name, limited to the current burst.
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

// addCredit changes the credit of a name, or the shared credit if there is no
// room for another name.
func (b *Budget) addCredit(name string, credit int) {
	balance := min(b.creditOf(name)+credit, b.config.Burst*retryCost)
	if _, ok := b.credit[name]; ok || len(b.credit) < b.config.MaxNames {
		b.credit[name] = balance
	} else {
		b.sharedCredit = balance
	}
}
