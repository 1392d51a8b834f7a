package guard

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

// fixedLimiter runs a fixed number of calls and queues the others.
type fixedLimiter struct{ slots chan struct{} }

// NewFixedLimiter returns a limiter with n slots.
func NewFixedLimiter(n int) Limiter { return fixedLimiter{slots: make(chan struct{}, n)} }

func (l fixedLimiter) Acquire(ctx context.Context, _ *call.Call) (func(Result), *request.Refusal) {
	select {
	case l.slots <- struct{}{}:
		return func(Result) { <-l.slots }, nil
	case <-ctx.Done():
		return nil, refuse(request.ReasonDeadline, time.Second)
	}
}

func (fixedLimiter) Load() call.Load { return call.Load{} }

// Open are parts that admit everything.
type Open struct{}

// Take implements RateTokens.
func (Open) Take(context.Context, string) *request.Refusal { return nil }

// Refund implements RateTokens.
func (Open) Refund(string) {}

// Acquire implements Claims.
func (Open) Acquire(context.Context, request.ID) (Claim, *request.Refusal) {
	return noClaim{}, nil
}

// Start implements Quarantine.
func (Open) Start(*call.Call) (func(bool), *request.Refusal) { return func(bool) {}, nil }
