package guard

import (
	"context"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Open are parts that admit everything.
type Open struct{}

// Take implements RateTokens.
func (Open) Take(context.Context, string) (func(), *request.Refusal) { return func() {}, nil }

// Acquire implements Claims.
func (Open) Acquire(context.Context, request.ID) (Claim, *request.Refusal) {
	return noClaim{}, nil
}

// Start implements Quarantine.
func (Open) Start(*call.Call) (func(bool), *request.Refusal) { return func(bool) {}, nil }
