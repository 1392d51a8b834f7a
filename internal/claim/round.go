package claim

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// Status is the state of a Round.
type Status uint8

const (
	// Pending means that replies are missing.
	Pending Status = iota
	// Holding means that the attempt holds the claim and has not started.
	Holding
	// Started means that Start was called; the call may have run from then on.
	Started
	// Refused means that the attempt must not run. Refusal tells why.
	Refused
	// Released means that the claim was held and given up without a start.
	Released
)

// Attempt identifies an attempt to run a request.
type Attempt struct {
	ID       request.ID
	Claimant string // guard name and incarnation
	Token    string // unique to this attempt
}

// Ask is an acquire to be sent to a holder.
type Ask struct {
	Holder  ring.Member
	Acquire Acquire
}

// AskRelease is a release to be sent to a holder.
type AskRelease struct {
	Holder  ring.Member
	Release Release
}

// Round is a guard's side of acquiring the claim of one attempt. It is not safe
// for concurrent use.
//
// The owner sends what Asks returns, passes in each reply (Replied) or failure
// (Failed, also for a time-out), and looks at Status. If Behind returns an epoch,
// the owner fetches the change log up to that epoch, calls Learned, and sends
// what Asks returns. It calls GiveUp when the call's deadline leaves no more time.
type Round struct {
	attempt Attempt
	history ring.History
	quorums []quorum
	holders []holder
	behind  int64 // newest epoch that a holder named
	status  Status
	refusal request.Refusal
}

// quorum is the majority rule of one epoch.
type quorum struct {
	holders []int // indices into Round.holders
	need    int
}

type holder struct {
	member ring.Member
	asked  bool // an acquire was sent at some time
	state  holderState
}

type holderState uint8

const (
	unasked holderState = iota
	waiting             // for a reply, or for the guard to learn a newer epoch
	granted
	taken
	tooOld
	failed
)

// NewRound starts a round. The clock is the one of the guard's node and serves
// all its rounds. The round may be refused from the start.
func NewRound(now time.Time, clock *Clock, h ring.History, a Attempt) *Round {
	r := &Round{attempt: a, history: h}
	clock.Observe(now)
	created, ok := a.ID.CreatedAt()
	switch {
	case !ok:
		r.refuse(request.Refuse(request.ReasonBadRequest, 0))
	case !clock.InTime(now, created):
		r.refuse(request.Unknown(request.ReasonIDTooOld))
	case h.Newest() == nil:
		r.refuse(request.Unknown(request.ReasonClaimUnavailable))
	default:
		r.build()
		r.decide()
	}
	return r
}

// Status returns the round's state.
func (r *Round) Status() Status { return r.status }

// Refusal returns the answer to the caller if the round is Refused.
func (r *Round) Refusal() request.Refusal { return r.refusal }

// Asks returns the acquires to be sent now. Each holder is listed once, also if
// it is a holder in several epochs.
func (r *Round) Asks() []Ask {
	if r.status != Pending || r.behind > r.epoch() {
		return nil
	}
	var asks []Ask
	for i := range r.holders {
		h := &r.holders[i]
		if h.state != unasked {
			continue
		}
		h.state, h.asked = waiting, true
		asks = append(asks, Ask{Holder: h.member, Acquire: Acquire{
			ID: r.attempt.ID, Claimant: r.attempt.Claimant, Token: r.attempt.Token,
			Epoch: r.epoch(), HolderIncarnation: h.member.Incarnation,
		}})
	}
	return asks
}

// Replied takes a holder's reply to an ask.
func (r *Round) Replied(a Ask, reply Reply) {
	h := r.holder(a.Holder)
	if h == nil || h.state == granted || r.status != Pending {
		return
	}
	switch reply.Result {
	case Granted:
		h.state = granted
	case Taken:
		h.state = taken
	case TooOld:
		h.state = tooOld
	case WrongEpoch:
		r.behind = max(r.behind, reply.Epoch)
		if a.Acquire.Epoch == r.epoch() && reply.Epoch <= r.epoch() {
			h.state = failed // another incarnation
		}
	default:
		h.state = failed
	}
	r.decide()
}

// Failed takes the failure to get a reply to an ask. An ask from before the guard
// learned a newer epoch has been replaced by another one.
func (r *Round) Failed(a Ask) {
	h := r.holder(a.Holder)
	if h == nil || h.state != waiting || r.status != Pending || a.Acquire.Epoch < r.epoch() {
		return
	}
	h.state = failed
	r.decide()
}

// Behind returns the epoch that the guard has to learn before the round can go
// on.
func (r *Round) Behind() (epoch int64, ok bool) {
	return r.behind, r.status == Pending && r.behind > r.epoch()
}

// Learned continues the round with a newer history. Grants stay valid, because a
// holder grants regardless of the epoch in which it was chosen.
func (r *Round) Learned(h ring.History) {
	if r.status != Pending || h.Newest() == nil || h.Newest().Number() <= r.epoch() {
		return
	}
	r.history = h
	for i := range r.holders {
		if r.holders[i].state == waiting {
			r.holders[i].state = unasked
		}
	}
	r.build()
	r.decide()
}

// GiveUp ends a pending round.
func (r *Round) GiveUp() {
	if r.status == Pending {
		r.refuse(r.cause())
	}
}

// Start reports whether the attempt may run. It does so once; the guard calls it
// immediately before it sends the call to the backend server.
func (r *Round) Start() bool {
	if r.status != Holding {
		return false
	}
	r.status = Started
	return true
}

// NotRun records that a started attempt is known not to have run, for example
// because the backend server refused the connection. The claim is held as before
// Start, so the round may be released.
func (r *Round) NotRun() {
	if r.status == Started {
		r.status = Holding
	}
}

// Release ends a round that was not started and returns the releases to be sent.
// If held is true, the caller may be told that the request did not run, after the
// releases have been sent. A refused round also releases what it got, so that
// another attempt may get the claim.
func (r *Round) Release() (asks []AskRelease, held bool) {
	if r.status == Started || r.status == Released {
		return nil, false
	}
	r.GiveUp()
	held = r.status == Holding
	r.status = Released
	for _, h := range r.holders {
		if !h.asked {
			continue
		}
		asks = append(asks, AskRelease{Holder: h.member, Release: Release{
			ID: r.attempt.ID, Claimant: r.attempt.Claimant, Token: r.attempt.Token,
			HolderIncarnation: h.member.Incarnation,
		}})
	}
	return asks, held
}

func (r *Round) epoch() int64 {
	if r.history.Newest() == nil {
		return 0
	}
	return r.history.Newest().Number()
}

// build sets the quorums of the epochs in force, and adds their holders.
func (r *Round) build() {
	r.quorums = r.quorums[:0]
	for _, e := range r.history.InForce() {
		var q quorum
		for _, m := range e.ClaimHolders(string(r.attempt.ID)) {
			q.holders = append(q.holders, r.index(m))
		}
		q.need = len(q.holders)/2 + 1
		r.quorums = append(r.quorums, q)
	}
}

// index returns the index of a member, and adds it if it is new.
func (r *Round) index(m ring.Member) int {
	for i := range r.holders {
		if same(r.holders[i].member, m) {
			return i
		}
	}
	r.holders = append(r.holders, holder{member: m})
	return len(r.holders) - 1
}

func (r *Round) holder(m ring.Member) *holder {
	for i := range r.holders {
		if same(r.holders[i].member, m) {
			return &r.holders[i]
		}
	}
	return nil
}

func same(a, b ring.Member) bool {
	return a.Node == b.Node && a.Incarnation == b.Incarnation
}

// decide sets the status once every epoch has its majority, or one epoch cannot
// get it any more.
func (r *Round) decide() {
	all := true
	for _, q := range r.quorums {
		have, open := 0, 0
		for _, i := range q.holders {
			switch r.holders[i].state {
			case granted:
				have++
			case unasked, waiting:
				open++
			}
		}
		if have+open < q.need {
			r.refuse(r.cause())
			return
		}
		all = all && have >= q.need
	}
	if all {
		r.status = Holding
	}
}

// cause returns the refusal that fits the replies so far.
func (r *Round) cause() request.Refusal {
	reason := request.ReasonClaimUnavailable
	for _, h := range r.holders {
		switch h.state {
		case taken:
			return request.Unknown(request.ReasonDuplicate)
		case tooOld:
			reason = request.ReasonIDTooOld
		}
	}
	return request.Unknown(reason)
}

func (r *Round) refuse(refusal request.Refusal) {
	r.status, r.refusal = Refused, refusal
}
