package rates

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/quota"
	"github.com/teaselseam/teaselseam/internal/request"
)

// borrower holds the tokens of one workspace and the calls that wait for the
// answer of a lender.
type borrower struct {
	*quota.Borrower
	workspace string
	used      time.Time // last demand
	inFlight  int
	waiting   []*waiter
	// refusal is the answer to a call when no request is in flight or due.
	refusal *request.Refusal
	refused time.Time
}

// waiter is a call that waits for a token. It gets one result.
type waiter struct {
	result chan result
	gone   bool
}

type result struct {
	token   quota.Token
	refusal *request.Refusal
}

// Take implements guard.RateTokens. A call waits for at most one round trip to a
// lender; if that brings no token, the call is refused at once.
func (s *Service) Take(ctx context.Context, workspace string) (refund func(), refusal *request.Refusal) {
	now := time.Now()
	s.mu.Lock()
	b := s.borrower(workspace, now)
	b.used = now
	s.inUse(now)
	if token, ok := b.Take(now); ok {
		s.mu.Unlock()
		return func() { s.refund(b, token) }, nil
	}
	w := &waiter{result: make(chan result, 1)}
	b.waiting = append(b.waiting, w)
	s.pumpBorrower(b, now)
	s.mu.Unlock()
	select {
	case r := <-w.result:
		if r.refusal != nil {
			return nil, r.refusal
		}
		return func() { s.refund(b, r.token) }, nil
	case <-ctx.Done():
		return nil, s.leave(b, w)
	}
}

// leave ends the wait of a call whose context ended.
func (s *Service) leave(b *borrower, w *waiter) *request.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.gone = true
	select {
	case r := <-w.result:
		if r.refusal == nil {
			b.Refund(time.Now(), r.token)
		}
	default:
	}
	return request.Refused(request.ReasonDeadline, 0)
}

func (s *Service) refund(b *borrower, t quota.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Refund(time.Now(), t)
}

func (s *Service) borrower(workspace string, now time.Time) *borrower {
	b, ok := s.borrowers[workspace]
	if !ok {
		b = &borrower{
			Borrower: quota.NewBorrower(quota.BorrowerConfig{
				Workspace: workspace, DataCentre: s.self.DataCentre, Borrower: s.self.Node + "/" + s.self.Incarnation,
			}),
			workspace: workspace,
			refusal:   request.Refused(request.ReasonShareUnavailable, unavailableRetry),
			refused:   now,
		}
		b.SetLenders(s.lendersOf(workspace))
		s.borrowers[workspace] = b
	}
	return b
}

// pumpBorrower sends the requests that are due. If none is in flight then, calls
// that wait are refused.
func (s *Service) pumpBorrower(b *borrower, now time.Time) {
	for {
		r, due := b.Need(now)
		if !due {
			break
		}
		b.inFlight++
		go s.borrow(b, r)
	}
	if b.inFlight > 0 {
		return
	}
	for _, w := range b.waiting {
		if !w.gone {
			w.result <- result{refusal: b.refusalAt(now)}
		}
	}
	b.waiting = nil
}

// refusalAt returns the last refusal with the time that remains of it.
func (b *borrower) refusalAt(now time.Time) *request.Refusal {
	return request.Refused(b.refusal.Reason, max(0, b.refusal.RetryAfter-now.Sub(b.refused)))
}

// borrow sends one request and serves the calls that wait with its answer.
func (s *Service) borrow(b *borrower, r quota.Borrow) {
	grant, err := s.ask(r)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b.inFlight--
	b.refused = now
	switch {
	case err != nil:
		b.Failed(now, r)
		b.refusal = request.Refused(request.ReasonShareUnavailable, unavailableRetry)
	case grant.NotLender:
		b.Granted(now, r, grant)
		b.refusal = request.Refused(request.ReasonShareUnavailable, unavailableRetry)
	default:
		b.Granted(now, r, grant)
		b.refusal = request.Refused(request.ReasonOverShare, grant.RetryAfter)
	}
	b.serve(now)
	s.pumpBorrower(b, now)
}

// serve gives tokens to the calls that wait, in their order.
func (b *borrower) serve(now time.Time) {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if !w.gone {
			token, ok := b.TakeWaiting(now)
			if !ok {
				return
			}
			w.result <- result{token: token}
		}
		b.waiting = b.waiting[1:]
	}
}
