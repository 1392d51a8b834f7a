package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

var (
	errNoProgress = errors.New("peer has no entries after the applied ones")
	errBusy       = twirp.Unavailable.Error("control goroutine did not run the event in time")
	errNotServed  = twirp.Unimplemented.Error("not served by this node")
	errNoState    = twirp.Unavailable.Error("node has no state yet")
)

// maxRequest bounds a request of a peer, in bytes. The largest is a push of many
// settings changes.
const maxRequest = 16 << 20

// Handler serves the twirp services of the node on the peer listener.
func (c *Control) Handler() http.Handler {
	return http.MaxBytesHandler(peer.Identify(peerpb.NewPeerServer(c)), maxRequest)
}

// checkSender rejects a message that claims to be from another node than the
// client's certificate says.
func checkSender(ctx context.Context, claimed string) error {
	name, ok := peer.NodeName(ctx)
	if !ok {
		return twirp.Unauthenticated.Error("request carries no node certificate")
	}
	if name != claimed {
		return twirp.PermissionDenied.Errorf("certificate of node %q does not allow to speak as %q", name, claimed)
	}
	return nil
}

// Exchange serves a peer's gossip round.
func (c *Control) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if req.GetSelf() == nil {
		return nil, twirp.RequiredArgumentError("self")
	}
	if err := checkSender(ctx, req.GetSelf().GetId()); err != nil {
		return nil, err
	}
	var resp *peerpb.ExchangeResponse
	if !c.do(ctx, func(s *state) {
		quarantine := c.quarantineReply(req.GetSelf().GetId(), req.GetQuarantine())
		c.noteSettled(req.GetSettledSeq())
		resp = responseToPB(s.members.Handle(time.Now(), exchangeFromPB(req, req.GetFull())), quarantine)
		resp.SettledSeq = c.SettledSeq()
	}) {
		return nil, errBusy
	}
	return resp, nil
}

// Probe contacts a third node for a peer.
func (c *Control) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	if _, ok := peer.NodeName(ctx); !ok {
		return nil, checkSender(ctx, "")
	}
	a := membership.Action{Address: req.GetTargetAddress()}
	var exchange *peerpb.ExchangeRequest
	if !c.do(ctx, func(s *state) {
		// Only members are contacted, whatever address a peer names.
		if m, ok := s.members.Member(req.GetTargetId()); ok && m.PeerAddress == a.Address {
			a.Peer = m
			exchange = c.request(s, a)
		}
	}) {
		return nil, errBusy
	}
	if exchange == nil {
		return &peerpb.ProbeResponse{}, nil
	}
	sent := time.Now()
	resp, err := c.callExchange(ctx, a.Address, exchange)
	if err != nil || resp.GetSelf().GetId() != a.Peer.ID {
		return &peerpb.ProbeResponse{}, nil
	}
	c.do(ctx, func(s *state) { s.members.Answer(sent, time.Now(), a.Peer.ID, exchangeFromPB(resp, false)) })
	return &peerpb.ProbeResponse{Reached: true, Target: resp.GetSelf()}, nil
}

// Push takes change log entries and revocations from a peer. The response tells
// what is in force, so it is sent only after the snapshot is published.
func (c *Control) Push(ctx context.Context, req *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	if err := checkSender(ctx, req.GetFrom()); err != nil {
		return nil, err
	}
	if len(req.GetEntries()) > maxPushEntries || len(req.GetRevocations()) > maxPushEntries {
		return nil, twirp.InvalidArgumentError("entries", "too many in one push")
	}
	entries, err := decodeEntries(req.GetEntries())
	if err != nil {
		return nil, twirp.InvalidArgumentError("entries", err.Error())
	}
	var from membership.Member
	if !c.do(ctx, func(s *state) {
		c.apply(s, entries)
		s.members.RevokeEarly(digestsFromPB(req.GetRevocations())...)
		c.quarantineIn(req.GetFrom(), req.GetQuarantine())
		from, _ = s.members.Member(req.GetFrom())
	}) {
		return nil, errBusy
	}
	if n := len(entries); n > 0 && from.ID != "" && c.progress(ctx) < entries[n-1].Seq {
		// Entries before these are missing here; the pusher has them.
		if err := c.fetch(ctx, from.PeerAddress, entries[n-1].Seq); err != nil {
			c.log.Warn("fetch from pusher failed", "step", "fetch", "peer", from.ID, "error", err)
		}
	}
	return &peerpb.PushResponse{Seq: c.progress(ctx), Incarnation: c.cfg.Self.Incarnation}, nil
}

// Fetch serves change log entries, or a snapshot if the entries asked for are no
// longer held.
func (c *Control) Fetch(ctx context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	var entries []changelog.Entry
	var st *changelog.State
	if !c.do(ctx, func(s *state) {
		st = s.folded
		if st == nil || req.GetAfter() >= st.Seq {
			return
		}
		if skip := req.GetAfter() - (st.Seq - int64(len(s.window))); skip >= 0 {
			entries = s.window[skip:]
		}
	}) {
		return nil, errBusy
	}
	switch {
	case st == nil:
		return nil, errNoState
	case req.GetAfter() >= st.Seq:
		return &peerpb.FetchResponse{}, nil
	case len(entries) == 0:
		data, err := changelog.EncodeSnapshot(st)
		if err != nil {
			return nil, err
		}
		return &peerpb.FetchResponse{Snapshot: data}, nil
	}
	limit := min(fetchEntries, max(1, int(req.GetLimit())), len(entries))
	data, err := encodeEntries(entries[:limit], fetchBytes)
	return &peerpb.FetchResponse{Entries: data}, err
}

// encodeEntries stops after the entry with which the bytes reach a limit.
func encodeEntries(entries []changelog.Entry, limit int) ([][]byte, error) {
	var out [][]byte
	for _, e := range entries {
		data, err := changelog.EncodeEntry(e)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
		if limit -= len(data); limit <= 0 {
			break
		}
	}
	return out, nil
}

func decodeEntries(data [][]byte) ([]changelog.Entry, error) {
	entries := make([]changelog.Entry, 0, len(data))
	for _, d := range data {
		e, err := changelog.DecodeEntry(d)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// serve runs a hook.
func serve[Req, Resp any](ctx context.Context, hook func(context.Context, Req) (Resp, error), req Req) (resp Resp, err error) {
	if hook == nil {
		return resp, errNotServed
	}
	return hook(ctx, req)
}

// AcquireClaim serves a claim holder.
func (c *Control) AcquireClaim(ctx context.Context, req *peerpb.AcquireClaimRequest) (*peerpb.AcquireClaimResponse, error) {
	return serve(ctx, c.hooks.AcquireClaim, req)
}

// ReleaseClaim serves a claim holder.
func (c *Control) ReleaseClaim(ctx context.Context, req *peerpb.ReleaseClaimRequest) (*peerpb.ReleaseClaimResponse, error) {
	return serve(ctx, c.hooks.ReleaseClaim, req)
}

// Borrow serves a lender.
func (c *Control) Borrow(ctx context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return serve(ctx, c.hooks.Borrow, req)
}

// HandOver serves a lender.
func (c *Control) HandOver(ctx context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return serve(ctx, c.hooks.HandOver, req)
}
