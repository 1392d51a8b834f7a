package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

var errWrongNode = errors.New("response claims another node than the server's certificate")

// act starts what the membership asks for.
func (c *Control) act(ctx context.Context, s *state, a membership.Action) {
	started := false
	if a.Kind == membership.DoExchange {
		req := c.request(s, a)
		started = c.start(func() { c.exchange(ctx, a, req) })
	} else {
		started = c.start(func() { c.probe(ctx, a) })
	}
	if !started {
		c.dropped.Add(1)
	}
}

func (c *Control) request(s *state, a membership.Action) *peerpb.ExchangeRequest {
	req := requestToPB(s.members.Request(time.Now(), a.Peer.ID, a.Full), c.quarantineOut())
	req.SettledSeq = c.SettledSeq()
	return req
}

func (c *Control) quarantineOut() []byte {
	if c.hooks.QuarantineOut == nil {
		return nil
	}
	return c.hooks.QuarantineOut()
}

func (c *Control) quarantineIn(from string, data []byte) {
	if c.hooks.QuarantineIn != nil && len(data) > 0 {
		c.hooks.QuarantineIn(from, data)
	}
}

func (c *Control) quarantineReply(from string, data []byte) []byte {
	if c.hooks.QuarantineReply != nil && len(data) > 0 {
		return c.hooks.QuarantineReply(from, data)
	}
	c.quarantineIn(from, data)
	return c.quarantineOut()
}

// exchange sends one gossip request and hands the result to the state.
func (c *Control) exchange(ctx context.Context, a membership.Action, req *peerpb.ExchangeRequest) {
	sent := time.Now()
	resp, err := c.callExchange(ctx, a.Address, req)
	if err == nil && a.Peer.ID != "" && resp.GetSelf().GetId() != a.Peer.ID {
		// Another node has the address now; the one that was meant did not answer.
		c.do(ctx, func(s *state) { c.answer(ctx, s, sent, "", a, resp) })
		err = errWrongNode
	}
	if err != nil {
		c.log.Debug("exchange failed", "step", "exchange", "peer", a.Address, "error", err)
		c.do(ctx, func(s *state) {
			for _, next := range s.members.Failed(time.Now(), a.Peer, s.rnd) {
				c.act(ctx, s, next)
			}
		})
		return
	}
	c.do(ctx, func(s *state) { c.answer(ctx, s, sent, a.Peer.ID, a, resp) })
}

func (c *Control) answer(ctx context.Context, s *state, sent time.Time, from string, a membership.Action, resp *peerpb.ExchangeResponse) {
	s.members.Answer(sent, time.Now(), from, exchangeFromPB(resp, a.Full))
	c.quarantineIn(resp.GetSelf().GetId(), resp.GetQuarantine())
	c.noteSettled(resp.GetSettledSeq())
	c.fetchIfBehind(ctx, s, a.Address, resp.GetSeq())
}

// callExchange makes the call and checks that the responder is who it claims to be.
func (c *Control) callExchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	ctx, server := peer.ObserveServer(ctx)
	resp, err := c.cfg.Pool.Client(address).Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	if resp.GetSelf().GetId() != *server {
		return nil, errWrongNode
	}
	return resp, nil
}

// probe asks other members whether they reach a silent one.
func (c *Control) probe(ctx context.Context, a membership.Action) {
	var reached atomic.Bool
	var g errgroup.Group
	for _, via := range a.Via {
		g.Go(func() error {
			// The proxy needs a call of its own within this one.
			ctx, cancel := context.WithTimeout(ctx, 3*c.cfg.CallTimeout/2)
			defer cancel()
			resp, err := c.cfg.Pool.Client(via.PeerAddress).Probe(ctx, &peerpb.ProbeRequest{
				TargetId: a.Peer.ID, TargetAddress: a.Address,
			})
			if err == nil && resp.GetReached() {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait() // its functions return no errors
	c.do(ctx, func(s *state) { s.members.Probed(time.Now(), a.Peer, reached.Load()) })
}

// farewell tells some members that the node has left; gossip tells the others.
func (c *Control) farewell(ctx context.Context, s *state) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.CallTimeout/2)
	defer cancel()
	s.members.Leave()
	var g errgroup.Group
	for _, m := range s.members.Partners() {
		req := c.request(s, membership.Action{Peer: m})
		g.Go(func() error {
			_, err := c.callExchange(ctx, m.PeerAddress, req)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		c.log.Debug("farewell failed", "step", "leave", "error", err)
	}
}
