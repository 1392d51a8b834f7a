package resilient

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// Poll gives the waits of a caller that polls the platform. It is not safe for
// concurrent use.
type Poll struct {
	interval time.Duration
	backoff  Backoff
}

// NewPoll returns a Poll. While polls succeed they follow each other after half to
// all of interval.
func NewPoll(interval time.Duration, cfg BackoffConfig) Poll {
	return Poll{interval: interval, backoff: NewBackoff(cfg)}
}

// Next returns the wait after a poll that ended with err. A poll that was refused
// because the breaker is open waits for the next trial, so that the waits of
// breaker and poller do not add up; other failures wait for the backoff.
func (p *Poll) Next(err error, rnd *rand.Rand) time.Duration {
	if answered(err) {
		p.backoff.Reset()
		return Jitter(p.interval, rnd)
	}
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		return refusal.RetryAfter
	}
	return p.backoff.Next(rnd)
}

// answered tells whether the platform gave a definite answer.
func answered(err error) bool {
	return err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound)
}
