// Package attempt limits the attempts, that is the deliveries to backend servers, that
// one caller's request may cause across its whole call tree, and registers the calls in
// flight whose backend servers may make onward calls.
package attempt

import "sync/atomic"

// closedBudget is the value of Budget.left after Close.
const closedBudget = -1

// Budget is a number of attempts that is divided over a call tree. The attempts given to
// a child are deducted first, so the budgets of a tree never add up to more than that of
// its root. Budget is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of n attempts, or of 0 if n is negative.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.left.Store(int64(max(n, 0)))
	return b
}

// Split deducts up to n attempts and returns the number deducted: the smaller of n and
// what is left, or 0 after Close.
func (b *Budget) Split(n int) int {
	for {
		left := b.left.Load()
		given := min(int64(n), left)
		if given <= 0 {
			return 0
		}
		if b.left.CompareAndSwap(left, left-given) {
			return int(given)
		}
	}
}

// Return adds n unused attempts of an earlier Split. It has no effect after Close:
// attempts that have not been returned by then count as used.
func (b *Budget) Return(n int) {
	if n <= 0 {
		return
	}
	for {
		left := b.left.Load()
		if left == closedBudget || b.left.CompareAndSwap(left, left+int64(n)) {
			return
		}
	}
}

// Left returns the number of remaining attempts.
func (b *Budget) Left() int { return int(max(b.left.Load(), 0)) }

// Close sets the budget to 0 for good and returns the attempts that were left. Later
// calls return 0.
func (b *Budget) Close() int { return int(max(b.left.Swap(closedBudget), 0)) }
