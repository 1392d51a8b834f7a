package admission

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// Delays at which the shed level rises and falls, as parts of MaxWait. The
	// gap between them and the times below keep the level from flapping.
	raiseAtPart = 0.6
	lowerAtPart = 0.2

	// A delay must last this long before it counts, so that a burst that the
	// queue absorbs sheds nothing.
	raiseAfter = 20 * time.Millisecond
	// Three levels fall in 300 ms, within the second allowed for recovery.
	lowerAfter = 100 * time.Millisecond
)

// shedder derives the shed level from the queue delay. Calls less important
// than the level are refused if they would have to wait.
type shedder struct {
	raiseAt, lowerAt time.Duration
	level            request.Importance
	highSince        time.Time // zero while the delay is below raiseAt
	lowSince         time.Time // zero while the delay is above lowerAt
}

func newShedder(maxWait time.Duration) shedder {
	return shedder{
		raiseAt: time.Duration(raiseAtPart * float64(maxWait)),
		lowerAt: time.Duration(lowerAtPart * float64(maxWait)),
	}
}

func (s *shedder) update(now time.Time, delay time.Duration) {
	if lasted(&s.highSince, now, delay >= s.raiseAt, raiseAfter) && s.level < request.Critical {
		s.level++
	}
	if lasted(&s.lowSince, now, delay <= s.lowerAt, lowerAfter) && s.level > request.Sheddable {
		s.level--
	}
}

// lasted tells whether a condition has held for the period, and then starts a
// new period.
func lasted(since *time.Time, now time.Time, holds bool, period time.Duration) bool {
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
