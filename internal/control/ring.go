package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

var errRingChanged = errors.New("another ring epoch was committed first")

// RingSettled tells since when a ring epoch is known to be settled.
type RingSettled struct {
	Seq  int64 // of its change log entry
	Time time.Time
}

// RingSettled returns the newest ring epoch that this node knows to be settled.
// Only the node that commits ring epochs, or took that over, finds out.
func (c *Control) RingSettled() (r RingSettled, ok bool) {
	if p := c.ringAt.Load(); p != nil {
		return *p, true
	}
	return RingSettled{}, false
}

// ringState is what the control goroutine knows about the need for a new epoch.
type ringState struct {
	live    uint64 // digest of the live members
	since   time.Time
	seq     int64 // applied sequence number, and since when
	seqAt   time.Time
	busy    bool
	retryAt time.Time
}

// ringIfDue commits a new ring epoch if the live members have been the same for a
// while, differ from the committed ring, and this node has the lowest name among
// them. It also finds out when the committed epoch is settled.
func (c *Control) ringIfDue(ctx context.Context, s *state, now time.Time) {
	if live := s.members.LiveDigest(); live != s.ring.live || s.ring.since.IsZero() {
		s.ring.live, s.ring.since = live, now
	}
	if seq := s.seq(); seq != s.ring.seq {
		s.ring.seq, s.ring.seqAt = seq, now
	}
	if c.hooks.NextRing == nil || s.folded == nil || s.ring.busy || now.Before(s.ring.retryAt) ||
		now.Sub(s.ring.since) < c.ringStable(s) || !s.members.Fresh(now) {
		return
	}
	live := s.members.Live()
	if live[0].ID != c.cfg.Self.ID {
		return
	}
	st := s.folded
	if data, needed := c.hooks.NextRing(now, st, live); needed {
		s.ring.busy = c.start(func() { c.commitRing(ctx, st.RingSeq, data) })
		return
	}
	known, _ := c.RingSettled()
	// The node that committed an entry usually settles it at once; this catches up
	// if it could not, or failed.
	entryDue := st.Seq > c.SettledSeq() && now.Sub(s.ring.seqAt) > c.cfg.RingStable
	if st.RingSeq > known.Seq || entryDue {
		s.ring.busy = c.start(func() { c.settleRing(ctx, st.Seq, SpreadReport{}) })
	}
}

// ringStable is shorter for the first epoch, before which nothing can be claimed
// or lent.
func (c *Control) ringStable(s *state) time.Duration {
	if s.folded.RingSeq == 0 {
		return min(c.cfg.RingStable, firstRingStable)
	}
	return c.cfg.RingStable
}

// LeaveRing commits a ring epoch without this node and without other members
// that are leaving, so that its successors take over before it stops.
func (c *Control) LeaveRing(ctx context.Context) {
	var after int64
	var data []byte
	var needed bool
	c.do(ctx, func(s *state) {
		if c.hooks.NextRing == nil || s.folded == nil {
			return
		}
		live := slices.DeleteFunc(s.members.Live(), func(m membership.Member) bool { return m.ID == c.cfg.Self.ID })
		after = s.folded.RingSeq
		data, needed = c.hooks.NextRing(time.Now(), s.folded, live)
	})
	if needed {
		c.commitRing(ctx, after, data)
	}
}

// commitRing commits an epoch unless another one has followed the given one.
func (c *Control) commitRing(ctx context.Context, after int64, data []byte) {
	commitCtx, cancel := context.WithTimeout(ctx, c.cfg.PlatformTimeout)
	result, err := c.cfg.Store.Commit(commitCtx, uuid.NewString(), func(st *changelog.State) (changelog.Entry, error) {
		if st.RingSeq != after {
			return changelog.Entry{}, errRingChanged
		}
		return changelog.Entry{Actor: "node " + c.cfg.Self.ID, Time: time.Now(), Ring: data}, nil
	})
	cancel()
	if err != nil {
		c.log.Warn("ring epoch was not committed", "step", "commit ring", "peer", "platform", "error", err)
		c.ringDone(ctx)
		return
	}
	c.log.Info("ring epoch committed", "step", "commit ring", "seq", result.Entry.Seq)
	c.settleRing(ctx, result.Entry.Seq, c.Spread(ctx, result.Entry))
}

// settleRing records when an epoch was settled. A report that is not settled is
// followed by one more push; the next tick repeats that.
func (c *Control) settleRing(ctx context.Context, seq int64, r SpreadReport) {
	defer c.ringDone(ctx)
	if !r.Settled {
		r = c.spread(ctx, seq, &peerpb.PushRequest{})
	}
	if !r.Settled {
		return
	}
	c.do(ctx, func(*state) {
		at := &RingSettled{Seq: seq, Time: time.Now()}
		c.ringAt.Store(at)
		if c.hooks.RingSettled != nil {
			c.hooks.RingSettled(at.Time, seq)
		}
	})
}

func (c *Control) ringDone(ctx context.Context) {
	c.do(ctx, func(s *state) {
		s.ring.busy = false
		s.ring.retryAt = time.Now().Add(c.cfg.SpreadTimeout/2 + time.Duration(s.rnd.Int64N(int64(c.cfg.SpreadTimeout))))
	})
}
