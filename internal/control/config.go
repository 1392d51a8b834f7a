package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/store"
)

// Config is what a Control needs. Zero durations take the defaults.
type Config struct {
	Log        *slog.Logger
	Self       membership.Member
	Store      *store.Log
	Pool       *peer.Pool
	Membership membership.Config
	// Tick is the time between two looks at the membership timers.
	Tick time.Duration
	// Poll is the time between two reads of the platform by one of the pollers.
	Poll time.Duration
	// CallTimeout bounds a call to a peer, and PlatformTimeout one to the platform.
	CallTimeout     time.Duration
	PlatformTimeout time.Duration
	// SpreadTimeout bounds a Spread.
	SpreadTimeout time.Duration
	// RingStable is how long membership is unchanged before the ring is committed.
	RingStable time.Duration
}

const (
	// pollers is the number of nodes in a data centre that poll the platform. With
	// 13 data centres and two reads a second each, that is 78 reads a second.
	pollers = 3
	// eventQueue is the number of events waiting for the control goroutine.
	eventQueue = 256
	// maxCalls bounds the exchanges and probes under way.
	maxCalls = 32
	// firstRingStable bounds RingStable for the first epoch.
	firstRingStable = 2 * time.Second
	// pushConcurrency bounds the pushes under way in one Spread.
	pushConcurrency = 64
	// windowEntries is the number of change log entries kept for peers that are
	// behind: more than half a day at 3,000 changes a day.
	windowEntries = 2000
	// fetchEntries and fetchBytes bound one response to Fetch, but for a snapshot.
	fetchEntries = 200
	fetchBytes   = 256 << 10
	// maxPushEntries bounds the entries and revocations accepted in one Push.
	maxPushEntries = 1000
)

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Tick, 200 * time.Millisecond},
		{&c.Poll, 500 * time.Millisecond},
		{&c.CallTimeout, time.Second},
		{&c.PlatformTimeout, 2 * time.Second},
		{&c.SpreadTimeout, 2 * time.Second},
		{&c.RingStable, 5 * time.Second},
		{&c.Membership.Bound, membership.DefaultConfig().Bound},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// Hooks connect other parts of the node to control. Nil fields are not served.
// Functions without a context run on the control goroutine and must not block.
type Hooks struct {
	// QuarantineOut returns the entries to add to an exchange or a push, and
	// QuarantineIn takes those of a peer.
	QuarantineOut func() []byte
	QuarantineIn  func(from string, data []byte)
	// QuarantineReply, if set, takes the entries of a request and returns those of
	// the response, in place of the two above.
	QuarantineReply func(from string, data []byte) []byte
	// NextRing returns the ring epoch for the given live members, if it differs from
	// the one in the state.
	NextRing func(now time.Time, s *changelog.State, live []membership.Member) (ring json.RawMessage, needed bool)
	// RingSettled is told when the ring entry with a sequence number was first known
	// to be settled.
	RingSettled func(now time.Time, seq int64)

	AcquireClaim func(context.Context, *peerpb.AcquireClaimRequest) (*peerpb.AcquireClaimResponse, error)
	ReleaseClaim func(context.Context, *peerpb.ReleaseClaimRequest) (*peerpb.ReleaseClaimResponse, error)
	Borrow       func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)
	HandOver     func(context.Context, *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error)
}

// SetHooks connects other parts of the node. It must be called before Run and
// before the peer listener serves.
func (c *Control) SetHooks(h Hooks) { c.hooks = h }
