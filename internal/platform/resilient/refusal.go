package resilient

import (
	"fmt"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// Reason says why a call was not sent.
type Reason int

const (
	// BreakerOpen means that recent calls failed or were slow.
	BreakerOpen Reason = iota
	// QueueFull means that Config.MaxWaiting calls were waiting already.
	QueueFull
	// WaitedTooLong means that Config.MaxWait passed before the call could be sent.
	WaitedTooLong
	// CallerGone means that the caller's context ended before the call was sent.
	CallerGone
	numReasons
)

func (r Reason) String() string {
	switch r {
	case BreakerOpen:
		return "circuit breaker is open"
	case QueueFull:
		return "too many calls are waiting"
	case WaitedTooLong:
		return "waited too long for other calls to end"
	default:
		return "caller gave up before the call was sent"
	}
}

// Refusal is the error of a call that was not sent. It is platform.ErrUnavailable
// to errors.Is, and also the error of the caller's context if that is the reason.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time until the breaker allows a read as a trial; 0 if that
	// is not known or not the reason.
	RetryAfter time.Duration
	// Cause is the error of the caller's context, or nil.
	Cause error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.RetryAfter > 0 {
		return fmt.Sprintf("%v: %v, next trial in %v", platform.ErrUnavailable, r.Reason, r.RetryAfter.Round(time.Millisecond))
	}
	return fmt.Sprintf("%v: %v", platform.ErrUnavailable, r.Reason)
}

// Unwrap returns platform.ErrUnavailable and Cause.
func (r *Refusal) Unwrap() []error {
	if r.Cause == nil {
		return []error{platform.ErrUnavailable}
	}
	return []error{platform.ErrUnavailable, r.Cause}
}
