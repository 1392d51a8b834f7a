package retry

import "github.com/teaselseam/teaselseam/internal/request"

const (
	// maxEndpoints bounds the endpoints tried for one call. Each attempt that a node
	// refuses without forwarding it to its backend server costs a round trip.
	maxEndpoints = 4
	// maxRateRefusals is how many further endpoints are tried because backend servers have
	// named a rate limit. Others of the service may have room, however many have named one.
	maxRateRefusals = 4
	// maxRejections is how many further endpoints are tried because backend servers that
	// are not full have rejected the call. At another one it may pass, whatever the load.
	maxRejections = 4
	// maxOverloadRefusals bounds the nodes and full backend servers that may refuse one
	// call for overload: repeating it for want of room takes room from other calls.
	maxOverloadRefusals = 2
)

// Call is what the decision needs to know of a call.
type Call struct {
	Idempotent  bool
	Repeatable  bool // its body can be sent again, also after a backend server has received it
	BodyLost    bool // part of its body was passed on and is not held any more
	MaxAttempts int  // backend servers that may run it
}

// Attempt is an attempt that has ended.
type Attempt struct {
	Outcome        request.Outcome
	Reason         request.Reason // of the refusal; empty for a backend server's response
	ReachedBackend bool           // a backend server received the call, even if it rejected it
	Elsewhere      bool           // the refusal concerns this endpoint only
	// Failed is set if the backend server responded that it has failed.
	Failed bool
	// Final is set if a failure would repeat elsewhere, or repeating it would repeat the
	// work of further services: an internal call failed, or the backend server gave up at
	// the deadline. The hop next to the failure has already retried.
	Final bool
}

// Progress describes the attempts of a call so far.
type Progress struct {
	Endpoints        int // endpoints tried
	Arrivals         int // backend servers that received the call
	Runs             int // backend servers that ran it or may have run it
	Rejections       int // backend servers that rejected it without reporting that they are full
	OverloadRefusals int // nodes and backend servers that refused it for overload
	RateRefusals     int // nodes that refused it for the rate limit of their backend server
	Evacuations      int // nodes that refused it because their data centre is evacuated
}

// Record adds an attempt.
func (p *Progress) Record(a Attempt) {
	p.Endpoints++
	switch {
	case a.ReachedBackend:
		p.Arrivals++
		if a.Outcome != request.NotRun {
			p.Runs++
		}
		switch a.Reason {
		case request.ReasonRejected:
			p.Rejections++
		case request.ReasonOverload:
			p.OverloadRefusals++
		}
	case a.Reason == request.ReasonOverload:
		p.OverloadRefusals++
	case a.Reason == request.ReasonRateLimited:
		p.RateRefusals++
	case a.Reason == request.ReasonEvacuated:
		p.Evacuations++
	}
}

// EndpointsLeft reports whether another endpoint may be tried. Evacuations are not bounded
// here: callers leave out the whole data centre after one.
func (p *Progress) EndpointsLeft() bool {
	return p.Endpoints < maxEndpoints+min(p.RateRefusals, maxRateRefusals)+min(p.Rejections, maxRejections)+p.Evacuations
}

// Verdict is the decision on a call whose last attempt has ended.
type Verdict uint8

// Verdicts.
const (
	End     Verdict = iota // the last response is final
	Free                   // retry: no backend server has received the call yet, so none gets more load
	Charged                // retry if the account of the service allows it
)

// Next decides whether a call is sent to another endpoint after its last attempt, which
// has been recorded.
func (p *Progress) Next(c Call, last Attempt) Verdict {
	switch {
	case c.BodyLost: // what is left of it must not be taken for the whole
		return End
	case p.Runs >= c.MaxAttempts, !p.EndpointsLeft(), p.OverloadRefusals >= maxOverloadRefusals:
		return End
	case !c.Repeatable && (last.ReachedBackend || last.Outcome != request.NotRun):
		return End
	case last.Outcome == request.NotRun:
		if !last.Elsewhere {
			return End
		}
	case !c.Idempotent, last.Outcome == request.Completed && (!last.Failed || last.Final):
		return End
	}
	if p.Arrivals == 0 {
		return Free
	}
	return Charged
}

// MayAbandon reports whether a call may be sent to another endpoint while its attempt at
// an unresponsive node, which is not recorded yet, may still run.
func (p *Progress) MayAbandon(c Call) bool {
	return c.Idempotent && c.Repeatable && p.Runs+1 < c.MaxAttempts && p.Endpoints+1 < maxEndpoints
}
