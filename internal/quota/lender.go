package quota

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/ring"
)

// settleWait is how long a change must have been known as settled before nodes
// without it neither lend nor hold what they lent.
const settleWait = ring.FreshnessBound + Life

const (
	// minAhead covers two round trips between data centres and the delay of the
	// owner's loop.
	minAhead = 20 * time.Millisecond
	// maxAhead is well below Life, so that most tokens are used before they expire.
	maxAhead = 250 * time.Millisecond
	// aheadShare is the share of the burst that may be held at borrowers at full rate.
	aheadShare = 0.2
	// sweepInterval is how often expired loans are looked for.
	sweepInterval = 10 * time.Millisecond
	// idleBorrower is how long a borrower without loans is remembered.
	idleBorrower = 5 * time.Second
	// maxRetryAfter limits Grant.RetryAfter.
	maxRetryAfter = time.Second
	// minRetryAfter is a little more than a round trip between data centres, the time
	// in which a lender that is short can borrow.
	minRetryAfter = 4 * time.Millisecond
	// relayRetryAfter is minRetryAfter for lenders. It limits the traffic between
	// lenders when all tokens are lent to another data centre.
	relayRetryAfter = 10 * time.Millisecond
)

// LenderConfig configures a Lender.
type LenderConfig struct {
	Workspace string
	Self      LenderID
	Since     int64 // change log entry of the epoch that made this node the lender
	Part      Limit // as of that entry
}

// Lender lends the tokens of one workspace in one data centre. It is not safe for
// concurrent use.
type Lender struct {
	cfg        LenderConfig
	state      lenderState
	startAt    time.Time // set while starting
	freshUntil time.Time
	layouts    []layout // parts that may be in force somewhere, oldest first
	part       Limit    // smallest of the layouts
	level      float64
	refilled   time.Time
	lent       int64 // outstanding tokens of the own bucket
	inherited  int64 // outstanding tokens of the predecessor
	inheritEnd time.Time
	borrowers  map[string]*debtor
	order      []*debtor // the same in a fixed order, so that sums of floats are reproducible
	swept      time.Time
	relay      relay
}

type lenderState uint8

const (
	waiting  lenderState = iota // for the epoch to settle, or for a hand-over
	starting                    // at startAt
	lending
	closed
)

// layout is the lender's part as of a change log entry.
type layout struct {
	seq     int64
	part    Limit
	settled bool
	since   time.Time // when it was known to be settled
}

// debtor is what the lender knows of a borrower.
type debtor struct {
	name     string
	sequence uint64
	answer   Grant
	demand   float64
	short    int64 // tokens wanted and not granted by the newest request
	relay    bool
	seen     time.Time
	loans    []loan
}

// loan is a granted lot.
type loan struct {
	sequence uint64
	used     int64 // reported as used
	ends     time.Time
	sources  []source
}

// source is where tokens of a loan come from.
type source struct {
	from *account // nil for the own bucket
	lot  uint64   // sequence of the lot of that account
	held int64    // tokens that the borrower may hold
}

// held returns the tokens of the loan that the borrower may hold.
func (n *loan) held() (sum int64) {
	for _, s := range n.sources {
		sum += s.held
	}
	return sum
}

// NewLender returns a lender that has not started. The lender starts by Settled or
// HandedOver.
func NewLender(cfg LenderConfig) *Lender {
	return &Lender{
		cfg: cfg, part: cfg.Part, layouts: []layout{{seq: cfg.Since, part: cfg.Part}},
		borrowers: make(map[string]*debtor),
	}
}

// SetFreshUntil sets the time until which the node is fresh with the evidence it
// has now. The owner first applies the change log entries that this evidence
// covers, with Layout and Close.
func (l *Lender) SetFreshUntil(t time.Time) { l.freshUntil = t }

// Layout sets the lender's part as of a change log entry: a change of the limit,
// or a ring epoch that changes the data centres.
func (l *Lender) Layout(now time.Time, seq int64, part Limit) {
	if seq <= l.layouts[len(l.layouts)-1].seq {
		return
	}
	l.layouts = append(l.layouts, layout{seq: seq, part: part})
	l.update(now)
}

// Settled tells the lender that the change log up to the given entry is known to
// be settled.
func (l *Lender) Settled(now time.Time, seq int64) {
	for i := range l.layouts {
		if lay := &l.layouts[i]; lay.seq <= seq && !lay.settled {
			lay.settled, lay.since = true, now
		}
	}
	if l.state == waiting && seq >= l.cfg.Since {
		l.state, l.startAt = starting, now.Add(settleWait)
	}
}

// update starts the lender when it is time, drops layouts that are no longer in
// force at any lender, refills the bucket, and drops expired loans.
func (l *Lender) update(now time.Time) {
	if l.state == starting && now.After(l.startAt) {
		l.state, l.refilled = lending, now
	}
	l.refill(now)
	for len(l.layouts) > 1 && l.layouts[1].settled && now.Sub(l.layouts[1].since) > settleWait {
		l.layouts = l.layouts[1:]
	}
	l.part = l.layouts[0].part
	for _, lay := range l.layouts[1:] {
		l.part = smaller(l.part, lay.part)
	}
	l.refill(now) // applies a smaller burst
	if now.Sub(l.swept) > sweepInterval {
		l.sweep(now)
	}
}

// refill adds the tokens since the last call, so that level and outstanding tokens
// stay within the burst.
func (l *Lender) refill(now time.Time) {
	if l.state != lending {
		return
	}
	if elapsed := now.Sub(l.refilled); elapsed > 0 {
		l.level += l.part.Rate * elapsed.Seconds()
		l.refilled = now
	}
	l.level = max(0, min(l.level, l.part.Burst-float64(l.outstanding(now))))
}

func (l *Lender) outstanding(now time.Time) int64 {
	if l.inherited > 0 && now.After(l.inheritEnd) {
		l.inherited = 0
	}
	return l.lent + l.inherited
}

// sweep drops loans that the borrower no longer reports on. Their tokens count as
// used.
func (l *Lender) sweep(now time.Time) {
	l.swept = now
	remembered := l.order[:0]
	for _, d := range l.order {
		l.dropEnded(now, d)
		if len(d.loans) == 0 && now.Sub(d.seen) > idleBorrower {
			delete(l.borrowers, d.name)
			continue
		}
		remembered = append(remembered, d)
	}
	clear(l.order[len(remembered):])
	l.order = remembered
	l.relay.expire(now)
}

// dropEnded drops the loans of a borrower that have ended or have nothing left.
func (l *Lender) dropEnded(now time.Time, d *debtor) {
	kept := d.loans[:0]
	for _, n := range d.loans {
		switch {
		case now.After(n.ends):
			l.settle(now, &n, 0, n.held())
		case n.held() > 0:
			kept = append(kept, n)
		}
	}
	clear(d.loans[len(kept):])
	d.loans = kept
}

// settle accounts for tokens of a loan that are given up or used. It does not
// matter which source they are assigned to, because the borrower could take any
// of them until the same time.
func (l *Lender) settle(now time.Time, n *loan, givenUp, used int64) {
	n.used += used
	for i := range n.sources {
		s := &n.sources[i]
		u := min(used, s.held)
		g := min(givenUp, s.held-u)
		used, givenUp = used-u, givenUp-g
		s.held -= u + g
		if s.from != nil {
			s.from.settle(now, s.lot, g, u)
			continue
		}
		l.lent -= u + g
		l.level += float64(g)
	}
}

// Borrow answers a request of a borrower.
func (l *Lender) Borrow(now time.Time, r Borrow) Grant {
	l.update(now)
	if !sameLender(r.Lender, l.cfg.Self) {
		return Grant{Sequence: r.Sequence, NotLender: true}
	}
	d := l.borrowers[r.Borrower]
	if d == nil {
		d = &debtor{name: r.Borrower}
		l.borrowers[r.Borrower] = d
		l.order = append(l.order, d)
	}
	if r.Sequence == d.sequence {
		return d.answer
	}
	if r.Sequence < d.sequence {
		return Grant{Sequence: r.Sequence}
	}
	d.sequence, d.seen, d.demand, d.relay = r.Sequence, now, r.Demand, r.Relay
	l.apply(now, d, r.Reports)
	l.refill(now)
	d.answer = l.grant(now, d, r)
	d.short = r.Want - d.answer.Granted
	return d.answer
}

// apply takes the reports of a borrower.
func (l *Lender) apply(now time.Time, d *debtor, reports []Report) {
	for _, r := range reports {
		for i := range d.loans {
			n := &d.loans[i]
			if n.sequence != r.Sequence || now.After(n.ends) {
				continue
			}
			held := n.held()
			used := max(0, min(r.Used-n.used, held))
			l.settle(now, n, max(0, held-used-r.Held), used)
		}
	}
}

func (l *Lender) grant(now time.Time, d *debtor, r Borrow) Grant {
	g := Grant{Sequence: r.Sequence, Life: Life, Ahead: l.ahead()}
	switch {
	case l.state == closed:
		return Grant{Sequence: r.Sequence, NotLender: true}
	case r.Want <= 0:
		return g
	}
	n := loan{sequence: r.Sequence}
	expires := now.Add(Life)
	if !r.Relay {
		expires = l.relay.lend(r.Want, &n, now)
	}
	if own := min(r.Want-n.held(), l.available(now, r.Relay)); own > 0 {
		l.level -= float64(own)
		l.lent += own
		n.sources = append(n.sources, source{held: own})
	}
	if g.Granted = n.held(); g.Granted > 0 {
		g.Life = expires.Sub(now)
		n.ends = expires.Add(reportGrace)
		d.loans = append(d.loans, n)
	}
	if g.Granted < r.Want {
		g.RetryAfter = l.retryAfter(now)
		if r.Relay {
			g.RetryAfter = max(g.RetryAfter, relayRetryAfter)
		}
	}
	return g
}

// available returns the tokens that may be lent from the own bucket. Lenders of
// other data centres get what the own data centre does not need soon.
func (l *Lender) available(now time.Time, relay bool) int64 {
	if l.state != lending || ring.After(now, l.freshUntil) {
		return 0
	}
	level := l.level
	if relay {
		level -= l.localDemand(now) * l.ahead().Seconds()
	}
	return max(0, int64(level))
}

// ahead returns the time whose demand borrowers should hold. Tokens held at one
// node are missing at the others, so it is a fraction of the time in which the
// burst is refilled.
func (l *Lender) ahead() time.Duration {
	if l.part.Rate <= 0 {
		return minAhead
	}
	refill := l.part.Burst / l.part.Rate * aheadShare
	return max(minAhead, time.Duration(min(refill, maxAhead.Seconds())*float64(time.Second)))
}

// localDemand returns the demand of the own data centre in tokens per second.
func (l *Lender) localDemand(now time.Time) (sum float64) {
	for _, d := range l.order {
		if !d.relay {
			sum += d.demand * math.Exp(-max(0, now.Sub(d.seen).Seconds())/demandWindow.Seconds())
		}
	}
	return sum
}

// retryAfter returns when a borrower that got too few tokens should ask again.
func (l *Lender) retryAfter(now time.Time) time.Duration {
	wait := maxRetryAfter
	if l.state == lending && l.part.Rate > 0 {
		missing := max(0, 1-l.level)
		wait = min(wait, time.Duration(missing/l.part.Rate*float64(time.Second)))
	}
	return max(minRetryAfter, min(wait, l.relay.wait(now)))
}
