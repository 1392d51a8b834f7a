package rates

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/quota"
	"github.com/teaselseam/teaselseam/internal/ring"
	"github.com/teaselseam/teaselseam/internal/settings"
)

// lender is a bucket on this node.
type lender struct {
	*quota.Lender
	workspace string
	part      quota.Limit
	closed    bool
}

// layout brings lenders and borrowers in line with the change log.
func (s *Service) layout(now time.Time) {
	snap, epoch := s.consistent()
	if snap.State == nil || epoch == nil {
		return
	}
	if seq := snap.State.Seq; seq != s.seq {
		s.layoutAll(now, snap, epoch)
	}
	if settled := s.source.SettledSeq(); settled != s.settled {
		s.settled = settled
		for _, l := range s.lenders {
			l.Settled(now, settled)
		}
	}
}

// consistent returns a snapshot and the ring of the same state. With a newer ring
// than the snapshot's, a lender would take the settlement of the older ring entry
// for that of its own and start before its predecessor has stopped.
func (s *Service) consistent() (*control.Snapshot, *ring.Epoch) {
	for {
		snap := s.source.Snapshot()
		epoch := s.source.Ring().Newest()
		if s.source.Snapshot().State == snap.State {
			return snap, epoch
		}
	}
}

func (s *Service) layoutAll(now time.Time, snap *control.Snapshot, epoch *ring.Epoch) {
	names := workspaces(snap)
	// Without a newer ring since the last layout, a workspace that is new since
	// then was created after the epoch, so nobody has lent for it yet.
	sameRing := s.known != nil && s.seq >= snap.State.RingSeq
	for name := range names {
		first := epoch.Number() == 1 || sameRing && !s.known[name]
		s.layoutLender(now, name, epoch, snap, first)
	}
	for name := range s.lenders {
		if !names[name] {
			s.layoutLender(now, name, epoch, snap, false)
		}
	}
	s.seq, s.known = snap.State.Seq, names
	for name, b := range s.borrowers {
		b.SetLenders(s.lendersOf(name))
	}
}

// workspaces returns the names of all workspaces that have a key or a branch.
func workspaces(snap *control.Snapshot) map[string]bool {
	names := map[string]bool{}
	for _, name := range snap.State.Keys.Issued() {
		names[name] = true
	}
	for b := range snap.Settings.Tree().Branches() {
		if b.Kind == settings.KindWorkspace {
			names[b.Name] = true
		}
	}
	return names
}

// layoutLender starts, changes or closes the lender of one workspace. first means
// that nobody has lent for the workspace before.
func (s *Service) layoutLender(now time.Time, workspace string, epoch *ring.Epoch, snap *control.Snapshot, first bool) {
	w := snap.Settings.Workspace(workspace)
	part := quota.Part(quota.Limit{Rate: w.Rate, Burst: w.Burst}, workspace, s.self.DataCentre, epoch.DataCentres())
	chosen, ok := epoch.Lender(workspace, s.self.DataCentre)
	mine := ok && chosen.Node == s.self.Node && chosen.Incarnation == s.self.Incarnation
	l := s.lenders[workspace]
	switch {
	case mine && (l == nil || l.closed):
		l = s.newLender(now, workspace, part, chosen, snap.State.RingSeq, first)
	case !mine && l != nil && !l.closed:
		s.closeLender(now, l, chosen, snap.State.RingSeq)
	case mine && part != l.part:
		l.part = part
		l.Layout(now, snap.State.Seq, part)
	}
	if l != nil {
		l.SetPeers(s.otherLenders(workspace))
	}
}

func (s *Service) newLender(now time.Time, workspace string, part quota.Limit, self ring.Member, ringSeq int64, first bool) *lender {
	l := &lender{workspace: workspace, part: part, Lender: quota.NewLender(quota.LenderConfig{
		Workspace: workspace, Self: lenderID(self), Since: ringSeq, Part: part,
	})}
	s.lenders[workspace] = l
	if first {
		// There is no predecessor to wait for.
		l.HandedOver(now, quota.HandOver{
			Workspace: workspace, DataCentre: s.self.DataCentre, Since: ringSeq, Incarnation: s.self.Incarnation,
			Part: part, Level: part.Burst,
		})
	}
	l.Settled(now, s.settled)
	return l
}

// closeLender ends a lender and hands its bucket to the successor.
func (s *Service) closeLender(now time.Time, l *lender, successor ring.Member, ringSeq int64) {
	l.closed = true
	h, ok := l.Close(now, ringSeq, successor.Incarnation)
	if !ok || successor.Incarnation == "" {
		return
	}
	s.handOvers.Go(func() { s.handOver(successor, h) })
}

// WaitHandOver waits until the buckets that this node no longer lends from are
// handed over.
func (s *Service) WaitHandOver(ctx context.Context) {
	s.mu.Lock()
	s.layout(time.Now())
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.handOvers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// handOver tries to reach the successor for a while. If it fails, the successor
// starts empty when the epoch has been settled for long enough.
func (s *Service) handOver(successor ring.Member, h quota.HandOver) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for {
		resp, err := s.pool.Client(successor.PeerAddress).HandOver(ctx, handOverToPB(h))
		if err == nil && resp.Accepted {
			return
		}
		select {
		case <-ctx.Done():
			s.log.Warn("bucket not handed over", "step", "hand over", "peer", successor.Node, "workspace", h.Workspace, "error", err)
			return
		case <-time.After(handOverPause):
		}
	}
}

func (s *Service) pumpLender(l *lender, now time.Time) {
	for {
		r, due := l.Need(now)
		if !due {
			return
		}
		go s.relay(l, r)
	}
}

// relay borrows from the lender of another data centre.
func (s *Service) relay(l *lender, r quota.Borrow) {
	grant, err := s.ask(r)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		l.Failed(now, r)
		return
	}
	l.Granted(now, r, grant)
}

// lendersOf returns the lenders of a workspace, the own data centre's first.
func (s *Service) lendersOf(workspace string) []quota.LenderID {
	epoch := s.source.Ring().Newest()
	if epoch == nil {
		return nil
	}
	var out []quota.LenderID
	if m, ok := epoch.Lender(workspace, s.self.DataCentre); ok {
		out = append(out, lenderID(m))
	}
	return append(out, s.otherLenders(workspace)...)
}

func (s *Service) otherLenders(workspace string) []quota.LenderID {
	epoch := s.source.Ring().Newest()
	var out []quota.LenderID
	for _, dc := range epoch.DataCentres() {
		if dc == s.self.DataCentre {
			continue
		}
		if m, ok := epoch.Lender(workspace, dc); ok {
			out = append(out, lenderID(m))
		}
	}
	return out
}
