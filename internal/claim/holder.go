package claim

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// DefaultMaxClaims is the default of Config.MaxClaims. The expected number at
// the design size is 15,000.
const DefaultMaxClaims = 100_000

// Result is a holder's decision on an acquire.
type Result uint8

const (
	// Unavailable means that the holder decided nothing: it is not fresh, or it
	// holds too many claims.
	Unavailable Result = iota
	// Granted means that the attempt holds the claim at this holder.
	Granted
	// Taken means that another attempt holds it, or that this attempt released it.
	Taken
	// TooOld means that the ID is too old or too far in the future.
	TooOld
	// WrongEpoch means that the request is for another incarnation, or that
	// Reply.Epoch is newer than the guard's newest epoch.
	WrongEpoch
)

// Acquire asks for the claim on a request ID.
type Acquire struct {
	ID                request.ID
	Claimant          string // guard name and incarnation
	Token             string // unique to this attempt
	Epoch             int64  // newest ring epoch that the guard knows
	HolderIncarnation string // incarnation of the holder that is meant
}

// Reply is a holder's reply to an Acquire.
type Reply struct {
	Result Result
	Epoch  int64 // newest ring epoch that the holder has heard of
}

// Release gives a claim back for a call that was not started.
type Release struct {
	ID                request.ID
	Claimant          string
	Token             string
	HolderIncarnation string
}

// Config configures a Holder.
type Config struct {
	Incarnation string // incarnation of this node
	MaxClaims   int    // claims held at most; DefaultMaxClaims if zero
}

// Holder holds claims in one incarnation of a node. It is not safe for
// concurrent use.
type Holder struct {
	cfg        Config
	clock      Clock
	newest     int64
	freshUntil time.Time
	claims     map[request.ID]claim
	created    map[int64][]request.ID // IDs of claims by the second of their creation
	swept      int64                  // second up to which claims have been forgotten
}

type claim struct {
	claimant string
	token    string
	released bool // kept so that a late acquire of the same attempt is refused
}

// NewHolder returns a holder without claims. It grants nothing before
// SetFreshUntil is called.
func NewHolder(cfg Config) *Holder {
	if cfg.MaxClaims == 0 {
		cfg.MaxClaims = DefaultMaxClaims
	}
	return &Holder{cfg: cfg, claims: make(map[request.ID]claim), created: make(map[int64][]request.ID)}
}

// Learn tells the holder that a ring epoch with this number exists.
func (h *Holder) Learn(epoch int64) {
	h.newest = max(h.newest, epoch)
}

// SetFreshUntil sets the time until which the node is fresh with the evidence it
// has now.
func (h *Holder) SetFreshUntil(t time.Time) {
	h.freshUntil = t
}

// Len returns the number of claims held, released ones included.
func (h *Holder) Len() int { return len(h.claims) }

// Acquire decides on a request for a claim. It repeats its decision for repeated
// requests of one attempt.
func (h *Holder) Acquire(now time.Time, r Acquire) Reply {
	h.Learn(r.Epoch)
	return Reply{Result: h.acquire(now, r), Epoch: h.newest}
}

func (h *Holder) acquire(now time.Time, r Acquire) Result {
	created, inTime := h.observe(now, r.ID)
	switch {
	case r.HolderIncarnation != h.cfg.Incarnation || r.Epoch < h.newest:
		return WrongEpoch
	case !inTime:
		return TooOld
	case ring.After(now, h.freshUntil):
		return Unavailable
	}
	c, ok := h.claims[r.ID]
	switch {
	case !ok && len(h.claims) >= h.cfg.MaxClaims:
		return Unavailable
	case !ok || c.released && !c.of(r.Claimant, r.Token):
		h.put(r.ID, created, claim{claimant: r.Claimant, token: r.Token})
		return Granted
	case c.released || !c.of(r.Claimant, r.Token):
		return Taken
	}
	return Granted
}

// Release gives up the claim of an attempt. It reports whether the attempt holds
// no claim here any more and will get none. A release that arrives before its
// acquire has the same effect.
func (h *Holder) Release(now time.Time, r Release) bool {
	created, inTime := h.observe(now, r.ID)
	if r.HolderIncarnation != h.cfg.Incarnation {
		return false
	}
	c, ok := h.claims[r.ID]
	if !inTime || ok && !c.of(r.Claimant, r.Token) {
		return true // another attempt's claim stays as it is
	}
	if !ok && len(h.claims) >= h.cfg.MaxClaims {
		return false
	}
	h.put(r.ID, created, claim{claimant: r.Claimant, token: r.Token, released: true})
	return true
}

func (c claim) of(claimant, token string) bool {
	return c.claimant == claimant && c.token == token
}

func (h *Holder) put(id request.ID, created time.Time, c claim) {
	if _, ok := h.claims[id]; !ok {
		sec := created.Unix()
		h.created[sec] = append(h.created[sec], id)
	}
	h.claims[id] = c
}

// observe raises the holder's clock, forgets claims on IDs that are too old, and
// checks the age of an ID.
func (h *Holder) observe(now time.Time, id request.ID) (created time.Time, inTime bool) {
	h.clock.Observe(now)
	h.forget()
	created, ok := id.CreatedAt()
	return created, ok && h.clock.InTime(now, created)
}

// forget drops the claims on IDs that InTime refuses from now on.
func (h *Holder) forget() {
	limit := h.clock.highest.Add(-ring.IDLifetime).Unix()
	if limit <= h.swept {
		return
	}
	h.swept = limit
	for sec, ids := range h.created {
		if sec >= limit {
			continue
		}
		for _, id := range ids {
			delete(h.claims, id)
		}
		delete(h.created, sec)
	}
}

// Clock is the highest wall-clock time that a node has seen. The zero value is
// ready to use.
type Clock struct {
	highest time.Time
}

// Observe raises the clock to now if now is later.
func (c *Clock) Observe(now time.Time) {
	if now = now.Round(0); now.After(c.highest) { // without the monotonic reading
		c.highest = now
	}
}

// InTime reports whether an ID created at this time may be claimed: it is not
// older than ring.IDLifetime by the highest time seen, and not more than
// ring.IDAhead after now.
func (c *Clock) InTime(now, created time.Time) bool {
	return !created.Before(c.highest.Add(-ring.IDLifetime)) && !created.After(now.Round(0).Add(ring.IDAhead))
}
