package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

// Exchange serves a peer's gossip round.
func (c *Control) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if req.Self == nil {
		return nil, twirp.RequiredArgumentError("self")
	}
	snap := c.Snapshot()
	resp := &peerpb.ExchangeResponse{Self: memberToPB(snap.Self)}
	for _, m := range snap.Members {
		resp.Members = append(resp.Members, memberToPB(m))
	}
	c.send(ctx, func(s *state) { s.merge(time.Now(), append(req.Members, req.Self)) })
	return resp, nil
}

var errNotServed = twirp.Unimplemented.Error("not served by this node yet")

// Probe contacts a third node for a peer.
func (c *Control) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return nil, errNotServed
}

// Push takes change log entries and revocations from a peer.
func (c *Control) Push(context.Context, *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	return nil, errNotServed
}

// Fetch serves change log entries to a peer.
func (c *Control) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	return nil, errNotServed
}

// AcquireClaim serves a claim holder.
func (c *Control) AcquireClaim(context.Context, *peerpb.AcquireClaimRequest) (*peerpb.AcquireClaimResponse, error) {
	return nil, errNotServed
}

// ReleaseClaim serves a claim holder.
func (c *Control) ReleaseClaim(context.Context, *peerpb.ReleaseClaimRequest) (*peerpb.ReleaseClaimResponse, error) {
	return nil, errNotServed
}

// Borrow serves a lender.
func (c *Control) Borrow(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return nil, errNotServed
}

// HandOver serves a lender.
func (c *Control) HandOver(context.Context, *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return nil, errNotServed
}

func memberToPB(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:                   m.ID,
		Incarnation:          m.Incarnation,
		DataCentre:           m.DataCentre,
		Region:               m.Region,
		PeerAddress:          m.PeerAddress,
		Status:               peerpb.MemberStatus(m.Status),
		Version:              m.Version,
		Service:              m.Service,
		Draining:             m.Draining,
		StartedUnixMs:        m.Started.UnixMilli(),
		MaxConnections:       int32(m.MaxConnections),
		BackendStartedUnixMs: m.BackendStarted.UnixMilli(),
		AppliedSeq:           m.AppliedSeq,
	}
}

func memberFromPB(m *peerpb.Member) membership.Member {
	return membership.Member{
		ID:             m.Id,
		Incarnation:    m.Incarnation,
		DataCentre:     m.DataCentre,
		Region:         m.Region,
		PeerAddress:    m.PeerAddress,
		Status:         membership.Status(m.Status),
		Version:        m.Version,
		Service:        m.Service,
		Draining:       m.Draining,
		Started:        time.UnixMilli(m.StartedUnixMs),
		MaxConnections: int(m.MaxConnections),
		BackendStarted: time.UnixMilli(m.BackendStartedUnixMs),
		AppliedSeq:     m.AppliedSeq,
	}
}
