package admission

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// Queue delays at which the shed level rises and falls, as fractions of MaxWait.
	// The gap between them and the periods below prevent the level from oscillating.
	raiseFraction = 0.6
	lowerFraction = 0.2

	// raiseAfter is how long the delay must be high before the level rises by one. Thus
	// a short burst that fits into the queue causes no refusals.
	raiseAfter = 20 * time.Millisecond
	// lowerAfter is how long the delay must be low before the level falls by one. From
	// the highest level it takes 300 ms, well within the second allowed for recovery.
	lowerAfter = 100 * time.Millisecond
)

// shedder derives the shed level from the queue delay. Requests less important than the
// level are refused if they would have to wait.
type shedder struct {
	raiseDelay, lowerDelay time.Duration
	level                  request.Importance
	highSince              time.Time // zero while the delay is below raiseDelay
	lowSince               time.Time // zero while the delay is above lowerDelay
}

func newShedder(maxWait time.Duration) shedder {
	return shedder{
		raiseDelay: time.Duration(raiseFraction * float64(maxWait)),
		lowerDelay: time.Duration(lowerFraction * float64(maxWait)),
	}
}

func (s *shedder) update(now time.Time, delay time.Duration) {
	if heldFor(&s.highSince, now, delay >= s.raiseDelay, raiseAfter) && s.level < request.Critical {
		s.level++
	}
	if heldFor(&s.lowSince, now, delay <= s.lowerDelay, lowerAfter) && s.level > request.Sheddable {
		s.level--
	}
}

// heldFor tells whether a condition has held for a period. If so, it starts a new period.
// since is when the current period began, or zero if the condition does not hold.
func heldFor(since *time.Time, now time.Time, holds bool, period time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
		return false
	}
	if now.Sub(*since) < period {
		return false
	}
	*since = now
	return true
}
