package control

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Learn applies entries that were just committed or pushed. Entries that do not
// follow the applied ones are left to the next poll or fetch.
func (c *Control) Learn(ctx context.Context, entries ...changelog.Entry) {
	c.do(ctx, func(s *state) { c.apply(s, entries) })
}

// apply puts entries in force that follow the applied ones, in order.
func (c *Control) apply(s *state, entries []changelog.Entry) {
	for _, e := range entries {
		if s.folded == nil {
			s.folded = changelog.NewState()
		}
		if e.Seq != s.folded.Seq+1 {
			continue
		}
		next, err := s.folded.Apply(e)
		if err != nil {
			c.log.Error("change log entry cannot be applied", "step", "apply", "seq", e.Seq, "error", err)
			break
		}
		s.folded = next
		s.window = append(s.window, e)
	}
	if extra := len(s.window) - windowEntries; extra > 0 {
		s.window = append([]changelog.Entry(nil), s.window[extra:]...)
	}
	s.applied()
}

// adopt replaces the state by one that is further; the log never goes back.
func (c *Control) adopt(s *state, st *changelog.State) {
	if s.folded != nil && st.Seq <= s.folded.Seq {
		return
	}
	s.folded = st
	s.window = nil
	s.applied()
}

// applied tells the membership what is in force, and compiles changed settings.
func (s *state) applied() {
	if s.folded == nil {
		return
	}
	if s.built.tree != s.folded.Tree {
		s.built.tree = s.folded.Tree
		s.compiled = settings.Compile(s.folded.Tree)
	}
	keys := s.folded.Keys
	s.members.Applied(time.Now(), s.folded.Seq, func(d membership.Digest) bool {
		return keys.Revoked(workspace.Digest(d))
	})
}

func (s *state) seq() int64 {
	if s.folded == nil {
		return 0
	}
	return s.folded.Seq
}

// pollIfDue reads the platform if this node is one of the pollers of its data
// centre, or has no other evidence that will last.
func (c *Control) pollIfDue(ctx context.Context, s *state, now time.Time) {
	if s.polling || now.Before(s.pollAt) {
		return
	}
	from := s.members.FreshFrom(now)
	lonely := from.IsZero() || now.Sub(from) > c.cfg.Membership.Bound/2
	if s.folded != nil && !lonely && s.members.Rank() >= pollers {
		return
	}
	after, first := s.seq(), s.folded == nil
	s.polling = c.start(func() { c.poll(ctx, after, first) })
}

// poll reads until nothing is left. Only a read that found everything applied is
// evidence, because one read returns a limited number of entries.
func (c *Control) poll(ctx context.Context, after int64, first bool) {
	err := c.read(ctx, after, first)
	if err != nil && ctx.Err() == nil {
		c.log.Warn("platform poll failed", "step", "poll", "peer", "platform", "error", err)
	}
	c.do(ctx, func(s *state) {
		wait := c.cfg.Poll
		if err != nil {
			wait *= 2
		}
		s.polling = false
		// Between half and one and a half of the interval, so that nodes spread out.
		s.pollAt = time.Now().Add(wait/2 + time.Duration(s.rnd.Int64N(int64(wait))))
	})
}

func (c *Control) read(ctx context.Context, after int64, first bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PlatformTimeout)
	defer cancel()
	if first {
		st, err := c.cfg.Store.Load(ctx)
		if err != nil {
			return err
		}
		c.do(ctx, func(s *state) { c.adopt(s, st) })
		after = st.Seq
	}
	for {
		sent := time.Now()
		entries, err := c.cfg.Store.Read(ctx, after)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			c.do(ctx, func(s *state) {
				if s.folded != nil && s.folded.Seq >= after {
					s.members.PlatformRead(sent, time.Now())
				}
			})
			return nil
		}
		after = entries[len(entries)-1].Seq
		c.do(ctx, func(s *state) { c.apply(s, entries) })
	}
}

// fetchIfBehind reads entries from a peer that has more.
func (c *Control) fetchIfBehind(ctx context.Context, s *state, address string, theirs int64) {
	if s.fetching || theirs < 0 || s.folded != nil && theirs <= s.folded.Seq {
		return
	}
	s.fetching = c.start(func() {
		err := c.fetch(ctx, address, theirs)
		if err != nil && ctx.Err() == nil {
			c.log.Warn("fetch from peer failed", "step", "fetch", "peer", address, "error", err)
		}
		c.do(ctx, func(s *state) { s.fetching = false })
	})
}

// fetch applies entries of a peer, in order, up to a sequence number.
func (c *Control) fetch(ctx context.Context, address string, upTo int64) error {
	for {
		var after int64
		if !c.do(ctx, func(s *state) { c.apply(s, nil); after = s.seq() }) {
			return ctx.Err()
		}
		if after >= upTo {
			// An empty log is also a state.
			c.do(ctx, func(s *state) { c.adopt(s, changelog.NewState()) })
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
		resp, err := c.cfg.Pool.Client(address).Fetch(callCtx, &peerpb.FetchRequest{After: after, Limit: fetchEntries})
		cancel()
		if err != nil {
			return err
		}
		if err := c.take(ctx, resp); err != nil {
			return err
		}
		if c.progress(ctx) <= after {
			return errNoProgress
		}
	}
}

func (c *Control) progress(ctx context.Context) (seq int64) {
	c.do(ctx, func(s *state) { seq = s.seq() })
	return seq
}

func (c *Control) take(ctx context.Context, resp *peerpb.FetchResponse) error {
	if len(resp.GetSnapshot()) > 0 {
		st, err := changelog.DecodeSnapshot(resp.GetSnapshot())
		if err != nil {
			return err
		}
		c.do(ctx, func(s *state) { c.adopt(s, st) })
	}
	entries, err := decodeEntries(resp.GetEntries())
	if err != nil {
		return err
	}
	c.Learn(ctx, entries...)
	return nil
}
