package retry

import "time"

const (
	// totalFraction is the fraction of the allowed retries that all nodes use. The rest is for
	// nodes that restart and forget what they have used. Traffic that moves between nodes
	// needs none: see RatioLimiter.firstAttempts.
	totalFraction = 0.75
	// afterRunFraction is the fraction that is used for requests that a backend server has
	// run. The internal calls of a repeated run count as retries too, at each downstream
	// service: with a fraction of 0.5, a service downstream of two others (forgedesk) got
	// 2288 retries where 2235 were allowed.
	afterRunFraction = 0.2
	// notRunFraction is the fraction that is used for requests that a backend server has
	// refused as not run, spread over the window. The rest of totalFraction is kept for
	// requests that have run: those come all at once, when a backend server or a node fails.
	notRunFraction = 0.65
)

// Bounds are the bounds on the retries to one service that hold for all nodes together.
type Bounds struct {
	Ratio  float64       // retries per first attempt
	Cap    float64       // highest retries per first attempt of one kind
	Extra  float64       // retries per window whatever the number of first attempts
	Nodes  int           // nodes that share Extra, at least 1
	Window time.Duration // over which both hold
}

// Account holds one node's part of the retries to one service. It is not safe for
// concurrent use.
type Account struct {
	total, afterRun, notRun *RatioLimiter
}

// NewAccount returns an account without recorded attempts.
func NewAccount(now time.Time, b Bounds) *Account {
	return &Account{
		total:    NewRatioLimiter(b.part(totalFraction, false), now),
		afterRun: NewRatioLimiter(b.part(afterRunFraction, false), now),
		notRun:   NewRatioLimiter(b.part(notRunFraction, true), now),
	}
}

// SetBounds changes the bounds. The recorded attempts stay, unless the window changes.
func (a *Account) SetBounds(now time.Time, b Bounds) {
	a.total.SetConfig(now, b.part(totalFraction, false))
	a.afterRun.SetConfig(now, b.part(afterRunFraction, false))
	a.notRun.SetConfig(now, b.part(notRunFraction, true))
}

// part returns a node's part of a fraction of the bounds.
func (b Bounds) part(fraction float64, spread bool) RatioConfig {
	return RatioConfig{
		Fraction: min(fraction*b.Ratio, b.Cap), Floor: int(fraction * b.Extra / float64(b.Nodes)),
		Window: b.Window, Spread: spread,
	}
}

// RecordFirst records the first attempt of a call.
func (a *Account) RecordFirst(now time.Time) {
	for _, r := range []*RatioLimiter{a.total, a.afterRun, a.notRun} {
		r.RecordFirst(now)
	}
}

// Take records a retry and returns true if it is within the bounds. afterRun is set if a
// backend server has run the call or may have run it.
func (a *Account) Take(now time.Time, afterRun bool) bool {
	kind := a.notRun
	if afterRun {
		kind = a.afterRun
	}
	if !a.total.Allows(now) || !kind.Allows(now) {
		return false
	}
	a.total.Record(now)
	kind.Record(now)
	return true
}
