package quota

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/ring"
)

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	Workspace  string
	DataCentre string
	Borrower   string // name and incarnation of the node
}

// Token identifies a taken token for a refund.
type Token struct {
	lender   LenderID
	sequence uint64 // of the lot
	request  uint64 // newest request to the lender when the token was taken
}

// Borrower holds the borrowed tokens of one workspace at one guard. It is not
// safe for concurrent use.
//
// When Take fails, the owner may let the call wait: it sends what Need returns,
// passes the answer to Granted, and then calls TakeWaiting for each waiting call.
// If calls still wait, it calls Need again after Grant.RetryAfter.
type Borrower struct {
	cfg      BorrowerConfig
	accounts []*account // in order of preference; after lenders come dropped ones with lots
	lenders  int        // number of accounts that may be asked for tokens
	sequence uint64
	demand   demand
	waiting  int64 // calls that found no token since the last answer
}

// NewBorrower returns a borrower without lenders.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg}
}

// SetLenders sets the lenders of all data centres. Lenders of other data centres
// are asked only while the own one fails.
func (b *Borrower) SetLenders(lenders []LenderID) {
	ranked := rankLenders(b.cfg.Workspace, lenders)
	own := func(id LenderID) bool { return id.DataCentre == b.cfg.DataCentre }
	if i := slices.IndexFunc(ranked, own); i > 0 {
		id := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, id)
	}
	b.accounts, b.lenders = setLenders(b.accounts, ranked)
}

// Take takes a token for a call that is about to run. It reports false if there
// is none.
func (b *Borrower) Take(now time.Time) (Token, bool) {
	b.demand.add(now, 1)
	return b.TakeWaiting(now)
}

// TakeWaiting is Take for a call that was counted as demand before.
func (b *Borrower) TakeWaiting(now time.Time) (Token, bool) {
	for _, a := range b.accounts {
		if l := a.next(now); l != nil {
			l.held--
			l.used++
			a.changed = true
			return Token{lender: a.lender, sequence: l.sequence, request: a.sequence}, true
		}
	}
	b.waiting++
	return Token{}, false
}

// Refund gives back a token of a call that is known not to have run. It reports
// whether the token can be taken again. That is not so once the lot has expired or
// a request has reported the use, because the lender may have refilled for it.
func (b *Borrower) Refund(now time.Time, t Token) bool {
	for _, a := range b.accounts {
		if !sameLender(a.lender, t.lender) {
			continue
		}
		l := a.lot(t.sequence)
		if l == nil || a.sequence != t.request || l.used <= l.reported || ring.After(now, l.expires) {
			return false
		}
		l.used--
		l.held++
		return true
	}
	return false
}

// Need returns the next request to send, if one is due. The owner calls it until
// it reports false: after a failed Take, and every few ms while there is demand
// or a token is held.
func (b *Borrower) Need(now time.Time) (Borrow, bool) {
	asked := b.asked(now)
	want := b.want(now, asked)
	for i, a := range b.accounts {
		a.expire(now)
		ask := int64(0)
		if i == asked && !now.Before(a.notBefore) {
			ask = want
		}
		if a.busy(now) || ask == 0 && !a.due(now) {
			continue
		}
		b.sequence++
		r := a.request(now, b.sequence, ask, b.demand.at(now))
		r.Workspace, r.DataCentre, r.Borrower = b.cfg.Workspace, b.cfg.DataCentre, b.cfg.Borrower
		return r, true
	}
	return Borrow{}, false
}

// asked returns the index of the account to ask for tokens: the first that
// answers.
func (b *Borrower) asked(now time.Time) int {
	for i, a := range b.accounts[:b.lenders] {
		if !a.slow(now) {
			return i
		}
	}
	return -1
}

// want returns the number of tokens to ask for. It is zero while the borrower
// holds half of what it wants to hold.
func (b *Borrower) want(now time.Time, asked int) int64 {
	if asked < 0 {
		return 0
	}
	held := int64(0)
	for _, a := range b.accounts {
		held += a.held(now)
	}
	target := b.demand.at(now) * max(b.accounts[asked].ahead, minAhead).Seconds()
	if b.waiting == 0 && float64(held) >= target/2 {
		return 0
	}
	return max(0, int64(target)+b.waiting-held)
}

// Granted takes the answer to a request.
func (b *Borrower) Granted(now time.Time, r Borrow, g Grant) {
	if a := findAccount(b.accounts, r.Lender); a != nil && a.granted(now, g) {
		b.waiting = 0
	}
}

// Failed takes the failure of a request, also a time-out. The next lender is asked
// for a while.
func (b *Borrower) Failed(now time.Time, r Borrow) {
	if a := findAccount(b.accounts, r.Lender); a != nil {
		a.failed(now, r.Sequence)
	}
}
