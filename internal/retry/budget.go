package retry

// DefaultBudget is the number of extra attempts of one request over its call
// tree. At depth 23 it bounds the amplification of a chain at 1 + 3/24.
const DefaultBudget = 3

// MaxBudget bounds a budget received from outside.
const MaxBudget = 64

// keepDivisor sets the part that a parent keeps when it lends: one in four.
const keepDivisor = 4

// Budget holds the extra attempts left in one part of a call tree. The zero
// value has none.
type Budget struct {
	left        int
	outstanding int // lent and not settled
	closed      bool
}

// NewBudget returns a budget of n extra attempts, limited to 0..MaxBudget. The root
// opens it with its configured number, a child with the number lent to it.
func NewBudget(n int) *Budget {
	return &Budget{left: min(max(n, 0), MaxBudget)}
}

// Remaining returns the extra attempts that are neither used nor lent.
func (b *Budget) Remaining() int {
	return b.left
}

// Take uses one extra attempt. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Allocate moves a share of the budget into a loan for one child call. The argument
// is the number of children that are still to be called in parallel, this one
// included; 1 stands for sequential calls or an unknown number. For k parallel
// children, call Allocate(k), Allocate(k-1), ... Allocate(1). Each loan must be settled by
// Return.
func (b *Budget) Allocate(parallel int) *Allocation {
	n := b.share(max(parallel, 1))
	b.left -= n
	b.outstanding += n
	return &Allocation{from: b, attempts: n}
}

// share computes the size of the next loan. What is kept depends on the attempts
// before any outstanding loan, so parallel children get equal parts.
func (b *Budget) share(parallel int) int {
	lendable := b.left - keep(b.left+b.outstanding)
	if lendable <= 0 {
		return 0
	}
	return (lendable + parallel - 1) / parallel
}

// keep returns how many of total attempts stay with the parent.
func keep(total int) int {
	if total <= 1 {
		return 0
	}
	return (total + keepDivisor - 1) / keepDivisor
}

// Close ends this part of the tree and returns the unused attempts, to be
// reported in the response. Loans that are still outstanding are gone: a
// response to them arriving later no longer adds anything.
func (b *Budget) Close() int {
	n := b.left
	b.left, b.closed = 0, true
	return n
}

// Allocation is the share of a budget that was lent to one child call.
type Allocation struct {
	from     *Budget
	attempts int
	settled  bool
}

// Attempts returns the number lent, to be sent with the child call.
func (l *Allocation) Attempts() int {
	return l.attempts
}

// Release settles the loan with the number that the child's response reports as
// unused; 0 if the response is lost or reports nothing. Only the first call
// counts, and never for more than was lent, so a duplicate or wrong response
// cannot add attempts.
func (l *Allocation) Release(unused int) {
	if l.settled {
		return
	}
	l.settled = true
	l.from.outstanding -= l.attempts
	if !l.from.closed {
		l.from.left += min(max(unused, 0), l.attempts)
	}
}
