package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// pushRetry is the wait before members that did not acknowledge are tried again.
const pushRetry = 200 * time.Millisecond

// SpreadReport tells how far a change has spread when the operator is answered.
type SpreadReport struct {
	// Acked lists the nodes that have the change in force, Missing the live
	// members that did not acknowledge it in time.
	Acked   []string `json:"acked"`
	Missing []string `json:"missing"`
	// DataCentres lists the data centres in which all live members acknowledged.
	DataCentres []string `json:"data_centres"`
	// Settled means that these are more than half of the data centres.
	Settled bool `json:"settled"`
}

// Spread applies committed entries here and pushes them to all live members.
func (c *Control) Spread(ctx context.Context, entries ...changelog.Entry) SpreadReport {
	c.Learn(ctx, entries...)
	data, err := encodeEntries(entries, 1<<30)
	if err != nil {
		c.log.Error("entries cannot be encoded", "step", "spread", "error", err)
		return SpreadReport{}
	}
	var seq int64
	for _, e := range entries {
		seq = max(seq, e.Seq)
	}
	return c.spread(ctx, seq, &peerpb.PushRequest{Entries: data})
}

// RevokeEarly revokes a key on this node and all live members before, or
// without, its entry in the change log. It works while the platform is down.
func (c *Control) RevokeEarly(ctx context.Context, d workspace.Digest) SpreadReport {
	c.do(ctx, func(s *state) { s.members.RevokeEarly(d) })
	return c.spread(ctx, 0, &peerpb.PushRequest{Revocations: [][]byte{d[:]}})
}

// SpreadQuarantine pushes quarantine entries to all live members.
func (c *Control) SpreadQuarantine(ctx context.Context, data []byte) SpreadReport {
	return c.spread(ctx, 0, &peerpb.PushRequest{Quarantine: data})
}

// push is one message on its way to all live members.
type push struct {
	req   *peerpb.PushRequest
	seq   int64 // that a member must have in force to acknowledge
	mu    sync.Mutex
	acked map[string]string // incarnation by member
}

// spread pushes until all live members have acknowledged or the time is up.
func (c *Control) spread(ctx context.Context, seq int64, req *peerpb.PushRequest) SpreadReport {
	req.From = c.cfg.Self.ID
	p := &push{req: req, seq: seq, acked: map[string]string{}}
	pushCtx, cancel := context.WithTimeout(ctx, c.cfg.SpreadTimeout)
	defer cancel()
	for {
		targets := c.unacked(pushCtx, p)
		if len(targets) == 0 || pushCtx.Err() != nil {
			break
		}
		c.pushTo(pushCtx, p, targets)
		if len(c.unacked(pushCtx, p)) == 0 {
			break
		}
		select {
		case <-pushCtx.Done():
		case <-time.After(pushRetry):
		}
	}
	return c.report(ctx, p)
}

// unacked returns the live members that have not acknowledged in their present
// incarnation. Members that joined meanwhile are among them.
func (c *Control) unacked(ctx context.Context, p *push) (out []membership.Member) {
	c.do(ctx, func(s *state) {
		for _, m := range s.members.Members()[1:] {
			if m.Status < membership.Dead && p.acked[m.ID] != m.Incarnation {
				out = append(out, m)
			}
		}
	})
	return out
}

func (c *Control) pushTo(ctx context.Context, p *push, targets []membership.Member) {
	var g errgroup.Group
	g.SetLimit(pushConcurrency)
	for _, m := range targets {
		g.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
			defer cancel()
			callCtx, server := peer.ObserveServer(callCtx)
			resp, err := c.cfg.Pool.Client(m.PeerAddress).Push(callCtx, p.req)
			if err != nil || resp.GetSeq() < p.seq || *server != m.ID {
				return nil // not acknowledged; tried again
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.acked[m.ID] = resp.GetIncarnation()
			return nil
		})
	}
	_ = g.Wait() // its functions return no errors
}

func (c *Control) report(ctx context.Context, p *push) (r SpreadReport) {
	r.Acked = append(slices.Sorted(maps.Keys(p.acked)), c.cfg.Self.ID)
	c.do(ctx, func(s *state) {
		now := time.Now()
		for _, m := range s.members.Members()[1:] {
			if m.Status < membership.Dead && p.acked[m.ID] != m.Incarnation {
				r.Missing = append(r.Missing, m.ID)
			}
		}
		// A node that is not fresh may not know all members.
		var settled bool
		r.DataCentres, settled = s.members.Settled(now, p.acked)
		r.Settled = settled && s.members.Fresh(now) && s.seq() >= p.seq
	})
	if r.Settled {
		c.noteSettled(p.seq)
	}
	return r
}
