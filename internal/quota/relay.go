package quota

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/ring"
)

// relay is the lender as a borrower of the lenders of other data centres. It works
// also before the lender has started and while its node is not fresh, because
// these tokens are outstanding at the other lenders.
type relay struct {
	accounts []*account
	lenders  int // accounts that may be asked for tokens
	sequence uint64
}

// minLife is the shortest life of a lot that is lent on.
const minLife = 50 * time.Millisecond

// minNeed is the smallest shortage, in tokens, for which other lenders are asked.
const minNeed = 0.5

// SetPeers sets the lenders of the other data centres.
func (l *Lender) SetPeers(lenders []LenderID) {
	l.relay.accounts, l.relay.lenders = setLenders(l.relay.accounts, rankLenders(l.cfg.Workspace, lenders))
}

// Need returns the next request to another lender, if one is due. The owner calls
// it until it reports false: after each Borrow, and every few ms.
func (l *Lender) Need(now time.Time) (Borrow, bool) {
	l.update(now)
	l.relay.expire(now)
	need := l.shortage(now)
	open := l.relay.open(now)
	for i, a := range l.relay.accounts {
		ask := int64(0)
		if i < l.relay.lenders && need > 0 && a.open(now) {
			ask = int64(math.Ceil(need / float64(open)))
		}
		if a.busy(now) || ask == 0 && !a.due(now) {
			continue
		}
		l.relay.sequence++
		r := a.request(now, l.relay.sequence, ask, 0)
		r.Workspace, r.DataCentre, r.Relay = l.cfg.Workspace, l.cfg.Self.DataCentre, true
		r.Borrower = l.cfg.Self.Node + "/" + l.cfg.Self.Incarnation
		return r, true
	}
	return Borrow{}, false
}

// shortage returns how many tokens to ask the other lenders for.
func (l *Lender) shortage(now time.Time) float64 {
	if l.state == closed {
		return 0
	}
	need := math.Floor(l.localDemand(now)*l.ahead().Seconds()) - l.level
	for _, d := range l.order {
		if !d.relay && now.Sub(d.seen) < minAhead {
			need += float64(d.short)
		}
	}
	for _, a := range l.relay.accounts {
		need -= float64(a.held(now) + a.asking)
	}
	if need < minNeed {
		return 0
	}
	return need
}

// Granted takes the answer of another lender.
func (l *Lender) Granted(now time.Time, r Borrow, g Grant) {
	if a := findAccount(l.relay.accounts, r.Lender); a != nil {
		a.granted(now, g)
	}
}

// Failed takes the failure of a request to another lender.
func (l *Lender) Failed(now time.Time, r Borrow) {
	if a := findAccount(l.relay.accounts, r.Lender); a != nil {
		a.failed(now, r.Sequence)
	}
}

func (r *relay) expire(now time.Time) {
	for _, a := range r.accounts {
		a.expire(now)
	}
}

// open reports whether tokens may be asked for.
func (a *account) open(now time.Time) bool {
	return !a.busy(now) && !a.suspect && !now.Before(a.notBefore)
}

// open returns the number of lenders that may be asked for tokens.
func (r *relay) open(now time.Time) (n int) {
	for _, a := range r.accounts[:r.lenders] {
		if a.open(now) {
			n++
		}
	}
	return n
}

// wait returns how long it takes until a lender may be asked or has answered.
func (r *relay) wait(now time.Time) time.Duration {
	wait := maxRetryAfter
	for _, a := range r.accounts[:r.lenders] {
		switch {
		case a.suspect:
		case a.asking > 0:
			wait = 0
		default:
			wait = min(wait, max(0, a.notBefore.Sub(now)))
		}
	}
	return wait
}

// lend adds tokens of borrowed lots to a loan, those that expire first first. It
// returns when the loan expires: with the first of these lots. Lots that expire
// within minLife are left to expire, and their tokens return.
func (r *relay) lend(want int64, n *loan, now time.Time) (expires time.Time) {
	expires = now.Add(Life)
	for want > 0 {
		var from *account
		var first *lot
		for _, a := range r.accounts {
			if l := a.next(now.Add(minLife)); l != nil && (first == nil || l.expires.Before(first.expires)) {
				from, first = a, l
			}
		}
		if first == nil {
			break
		}
		held := min(want, first.held)
		n.sources = append(n.sources, source{from: from, lot: first.sequence, held: held})
		first.held -= held
		first.out += held
		want -= held
		if first.expires.Before(expires) {
			expires = first.expires
		}
	}
	return expires
}

// settle accounts for tokens that were lent on.
func (a *account) settle(now time.Time, sequence uint64, givenUp, used int64) {
	l := a.lot(sequence)
	if l == nil {
		return
	}
	l.out -= givenUp + used
	l.used += used
	if !ring.After(now, l.expires) {
		l.held += givenUp
	}
	a.changed = true
}
