package retry

// DefaultBudget is the number of extra attempts of one request over its call tree. In a
// chain of depth 23, which has 24 calls, it limits the amplification of load to 1 + 3/24.
const DefaultBudget = 3

// MaxBudget is the upper limit of a budget received from another process.
const MaxBudget = 64

// reserveDivisor sets the fraction that a parent reserves when it allocates: one quarter.
const reserveDivisor = 4

// Budget holds the extra attempts that remain in one subtree of a call tree. The zero
// value has none.
type Budget struct {
	remaining   int
	outstanding int // allocated and not yet released
	closed      bool
}

// NewBudget returns a budget of n extra attempts, limited to 0..MaxBudget. For the root,
// n is the configured number; for a child, it is the number allocated to it.
func NewBudget(n int) *Budget {
	return &Budget{remaining: min(max(n, 0), MaxBudget)}
}

// Remaining returns the number of extra attempts that are neither used nor allocated.
func (b *Budget) Remaining() int {
	return b.remaining
}

// Take uses one extra attempt. It returns false if none remains.
func (b *Budget) Take() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Allocate moves a part of the budget into an allocation for one child call. The
// argument is the number of children that are still to be called in parallel, including
// this one; use 1 if the calls are sequential or their number is unknown. For k parallel
// children, call Allocate(k), Allocate(k-1), ... Allocate(1). Each allocation must be
// released.
func (b *Budget) Allocate(parallel int) *Allocation {
	n := b.allocationSize(max(parallel, 1))
	b.remaining -= n
	b.outstanding += n
	return &Allocation{budget: b, attempts: n}
}

// allocationSize returns the size of the next allocation. The reserve is computed from
// the attempts before any outstanding allocation, so that parallel children get equal
// parts.
func (b *Budget) allocationSize(parallel int) int {
	available := b.remaining - reservedAttempts(b.remaining+b.outstanding)
	if available <= 0 {
		return 0
	}
	return (available + parallel - 1) / parallel
}

// reservedAttempts returns how many of the total attempts the parent reserves for
// itself.
func reservedAttempts(total int) int {
	if total <= 1 {
		return 0
	}
	return (total + reserveDivisor - 1) / reserveDivisor
}

// Close closes the budget of a finished subtree and returns the unused attempts, which
// are to be reported in the response. Outstanding allocations are lost: releasing them
// later has no effect.
func (b *Budget) Close() int {
	n := b.remaining
	b.remaining, b.closed = 0, true
	return n
}

// Allocation is the part of a budget that is allocated to one child call.
type Allocation struct {
	budget   *Budget
	attempts int
	released bool
}

// Attempts returns the number of allocated attempts, to be sent with the child call.
func (a *Allocation) Attempts() int {
	return a.attempts
}

// Release returns unused attempts to the budget. Pass the number reported in the child's
// response, or 0 if the response is lost or reports none. Only the first call has an
// effect, and no more is returned than was allocated, so a duplicate or wrong response
// cannot add attempts.
func (a *Allocation) Release(unused int) {
	if a.released {
		return
	}
	a.released = true
	a.budget.outstanding -= a.attempts
	if !a.budget.closed {
		a.budget.remaining += min(max(unused, 0), a.attempts)
	}
}
