// Package memory bounds what a node holds of the bodies of requests and responses, over all its
// connections.
//
// Every body is buffered up to a size, so that it can be checked whole or sent again. A few hundred
// slow readers of long answers would hold more than a small VM has. A body takes what it buffers
// from the Budget. When that is short, a body is buffered less and streamed, which costs its sender
// time and no memory here; long bodies are the first to which that happens, so that the many short
// ones pass on whole. When nothing is left, new requests are to be refused before they run.
package memory

import "sync/atomic"

const (
	// Floor is the part of a body, in bytes, that is held whether there is room for it or not.
	Floor = 4 << 10
	// longBody is the size in bytes from which a body counts as long.
	longBody = 64 << 10
	// Long bodies may use longPercent of the budget, and all that is held beyond the floors
	// grownPercent. The rest is for the floors of further requests.
	longPercent  = 50
	grownPercent = 75
)

// Budget is the number of bytes that may be held. It is safe for concurrent use. A nil Budget has
// no limit.
type Budget struct {
	limit atomic.Int64 // 0 for none
	used  atomic.Int64
	peak  atomic.Int64
	short atomic.Uint64
}

// New returns a budget of a number of bytes; 0 stands for no limit.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the number of bytes. What is held beyond it stays held.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Limit returns the number of bytes; 0 for no limit.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns how many bytes were held at most.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Short returns how often there was no room for a body or a request.
func (b *Budget) Short() uint64 { return b.short.Load() }

// Full reports whether no further request is to be taken.
func (b *Budget) Full() bool {
	if b == nil || b.Limit() == 0 || b.Used() < b.Limit() {
		return false
	}
	b.short.Add(1)
	return true
}

// take adds n bytes if the total stays within limit; 0 stands for no limit.
func (b *Budget) take(n, limit int64) bool {
	used := b.used.Load() + n
	for ; ; used = b.used.Load() + n {
		if limit > 0 && used > limit {
			b.short.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used-n, used) {
			break
		}
	}
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); {
		peak = b.peak.Load()
	}
	return true
}

// Reservation is what one body holds of a budget. It is not safe for concurrent use but for
// Release. A nil Reservation has no limit.
type Reservation struct {
	budget *Budget
	held   atomic.Int64
}

// Reserve returns a reservation of Floor bytes. Release must be called when the body is not
// held any more.
func (b *Budget) Reserve() *Reservation {
	if b == nil {
		return nil
	}
	r := &Reservation{budget: b}
	b.take(Floor, 0)
	r.held.Store(Floor)
	return r
}

// GrowTo reserves n bytes altogether. It returns false if there is no room for them.
func (r *Reservation) GrowTo(n int64) bool {
	if r == nil {
		return true
	}
	more := n - r.held.Load()
	if more <= 0 {
		return true
	}
	percent := int64(grownPercent)
	if n >= longBody {
		percent = longPercent
	}
	limit := r.budget.Limit() * percent / 100
	if !r.budget.take(more, limit) {
		return false
	}
	r.held.Add(more)
	return true
}

// Release gives everything back.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.used.Add(-r.held.Swap(0))
	}
}
