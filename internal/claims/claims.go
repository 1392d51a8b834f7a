// Package claims makes calls that may not be repeated run at most once. It
// carries the rounds and the holder of package claim over the connections
// between nodes.
package claims

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/teaselseam/teaselseam/internal/claim"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// Timers of a round.
const (
	// askTimeout bounds one acquire. It covers a hop to another data centre and
	// back many times over.
	askTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the releases of a call that was not started.
	releaseTimeout = 200 * time.Millisecond
	// behindPoll is how often a guard looks whether it has learned an epoch.
	behindPoll = 5 * time.Millisecond
)

// Source is what claims need from the control state.
type Source interface {
	// Ring returns the epochs in force.
	Ring() ring.History
	// FreshUntil returns until when the node is fresh with its present evidence.
	FreshUntil() time.Time
}

// Service holds claims for the fleet and acquires them for the guard of its
// node. It is safe for concurrent use.
type Service struct {
	log         *slog.Logger
	node        string
	incarnation string
	source      Source
	pool        *peer.Pool

	mu     sync.Mutex
	holder *claim.Holder
	clock  claim.Clock
}

// New returns the claims of one incarnation of a node.
func New(log *slog.Logger, node, incarnation string, source Source, pool *peer.Pool) *Service {
	return &Service{
		log: log, node: node, incarnation: incarnation, source: source, pool: pool,
		holder: claim.NewHolder(claim.Config{Incarnation: incarnation}),
	}
}

// Held returns the number of claims held for the fleet.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Len()
}

// AcquireClaim serves an acquire of another guard.
func (s *Service) AcquireClaim(_ context.Context, req *peerpb.AcquireClaimRequest) (*peerpb.AcquireClaimResponse, error) {
	id, err := request.ParseID(req.RequestId)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request_id", err.Error())
	}
	reply := s.hold(claim.Acquire{
		ID: id, Claimant: req.Claimant, Token: req.Token, Epoch: req.Epoch, HolderIncarnation: req.HolderIncarnation,
	})
	return &peerpb.AcquireClaimResponse{Result: resultToPB(reply.Result), Epoch: reply.Epoch}, nil
}

// ReleaseClaim serves a release of another guard.
func (s *Service) ReleaseClaim(_ context.Context, req *peerpb.ReleaseClaimRequest) (*peerpb.ReleaseClaimResponse, error) {
	id, err := request.ParseID(req.RequestId)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request_id", err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	released := s.holder.Release(time.Now(), claim.Release{
		ID: id, Claimant: req.Claimant, Token: req.Token, HolderIncarnation: req.HolderIncarnation,
	})
	return &peerpb.ReleaseClaimResponse{Released: released}, nil
}

// hold decides on an acquire with the node's present knowledge.
func (s *Service) hold(a claim.Acquire) claim.Reply {
	// In this order: the ring then holds all that the evidence covers.
	until := s.source.FreshUntil()
	newest := s.source.Ring().Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest != nil {
		s.holder.Learn(newest.Number())
	}
	s.holder.SetFreshUntil(until)
	return s.holder.Acquire(time.Now(), a)
}

// Claim is the claim of one attempt. It is safe for concurrent use.
type Claim struct {
	service *Service
	mu      sync.Mutex
	round   *claim.Round
}

// Acquire claims the request ID for one attempt of the node's guard, or refuses.
func (s *Service) Acquire(ctx context.Context, id request.ID) (*Claim, *request.Refusal) {
	c := &Claim{service: s}
	s.mu.Lock()
	c.round = claim.NewRound(time.Now(), &s.clock, s.source.Ring(), claim.Attempt{
		ID: id, Claimant: s.node + "/" + s.incarnation, Token: uuid.NewString(),
	})
	s.mu.Unlock()
	if r := s.collect(ctx, c); r != nil {
		c.Release()
		return nil, r
	}
	return c, nil
}

// Start reports whether the call may run. The guard calls it immediately before
// it sends the call to the backend server.
func (c *Claim) Start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.round.Start()
}

// Release gives the claim back. The guard calls it only if the call is known
// not to have run.
func (c *Claim) Release() {
	c.mu.Lock()
	c.round.NotRun()
	asks, _ := c.round.Release()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range asks {
		wg.Go(func() { c.service.sendRelease(ctx, a) })
	}
	wg.Wait()
}

// answer is one holder's reply or the failure to get one.
type answer struct {
	ask   claim.Ask
	reply claim.Reply
	err   error
}

// collect runs the round until it is decided.
func (s *Service) collect(ctx context.Context, c *Claim) *request.Refusal {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer)
	pending := 0
	ask := func() {
		for _, a := range c.asks() {
			pending++
			go func() {
				reply, err := s.sendAcquire(ctx, a)
				select {
				case answers <- answer{a, reply, err}:
				case <-ctx.Done():
				}
			}()
		}
	}
	poll := time.NewTicker(behindPoll)
	defer poll.Stop()
	ask()
	for {
		if done, refusal := c.decided(pending); done {
			return refusal
		}
		select {
		case a := <-answers:
			pending--
			c.take(a)
		case <-poll.C:
			if c.catchUp(s.source.Ring()) {
				ask()
			}
		case <-ctx.Done():
			c.giveUp()
		}
	}
}

func (c *Claim) asks() []claim.Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.round.Asks()
}

func (c *Claim) take(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err != nil {
		c.round.Failed(a.ask)
		return
	}
	c.round.Replied(a.ask, a.reply)
}

// catchUp continues the round if the node has learned the epoch that it lacked.
func (c *Claim) catchUp(history ring.History) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch, behind := c.round.Behind()
	newest := history.Newest()
	if !behind || newest == nil || newest.Number() < epoch {
		return false
	}
	c.round.Learned(history)
	return true
}

func (c *Claim) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round.GiveUp()
}

// decided reports whether the round has ended. A round that waits for nobody
// and does not lack an epoch cannot make progress.
func (c *Claim) decided(pending int) (bool, *request.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, behind := c.round.Behind()
	if c.round.Status() == claim.Pending && pending == 0 && !behind {
		c.round.GiveUp()
	}
	switch c.round.Status() {
	case claim.Pending:
		return false, nil
	case claim.Holding:
		return true, nil
	default:
		r := c.round.Refusal()
		return true, &r
	}
}

func (s *Service) sendAcquire(ctx context.Context, a claim.Ask) (claim.Reply, error) {
	if a.Holder.Node == s.node && a.Holder.Incarnation == s.incarnation {
		return s.hold(a.Acquire), nil
	}
	resp, err := s.pool.Client(a.Holder.PeerAddress).AcquireClaim(ctx, &peerpb.AcquireClaimRequest{
		RequestId:         string(a.Acquire.ID),
		Claimant:          a.Acquire.Claimant,
		Token:             a.Acquire.Token,
		Epoch:             a.Acquire.Epoch,
		HolderIncarnation: a.Acquire.HolderIncarnation,
	})
	if err != nil {
		s.log.Debug("claim not answered", "step", "claim", "peer", a.Holder.Node, "request", string(a.Acquire.ID), "error", err)
		return claim.Reply{}, err
	}
	return claim.Reply{Result: resultFromPB(resp.Result), Epoch: resp.Epoch}, nil
}

func (s *Service) sendRelease(ctx context.Context, a claim.AskRelease) {
	if a.Holder.Node == s.node && a.Holder.Incarnation == s.incarnation {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.Release(time.Now(), a.Release)
		return
	}
	_, err := s.pool.Client(a.Holder.PeerAddress).ReleaseClaim(ctx, &peerpb.ReleaseClaimRequest{
		RequestId:         string(a.Release.ID),
		Claimant:          a.Release.Claimant,
		Token:             a.Release.Token,
		HolderIncarnation: a.Release.HolderIncarnation,
	})
	if err != nil {
		s.log.Debug("claim not released", "step", "release", "peer", a.Holder.Node, "request", string(a.Release.ID), "error", err)
	}
}

func resultToPB(r claim.Result) peerpb.ClaimResult {
	switch r {
	case claim.Granted:
		return peerpb.ClaimResult_CLAIM_RESULT_GRANTED
	case claim.Taken:
		return peerpb.ClaimResult_CLAIM_RESULT_TAKEN
	case claim.TooOld:
		return peerpb.ClaimResult_CLAIM_RESULT_TOO_OLD
	case claim.WrongEpoch:
		return peerpb.ClaimResult_CLAIM_RESULT_WRONG_EPOCH
	default:
		return peerpb.ClaimResult_CLAIM_RESULT_UNSPECIFIED
	}
}

func resultFromPB(r peerpb.ClaimResult) claim.Result {
	switch r {
	case peerpb.ClaimResult_CLAIM_RESULT_GRANTED:
		return claim.Granted
	case peerpb.ClaimResult_CLAIM_RESULT_TAKEN:
		return claim.Taken
	case peerpb.ClaimResult_CLAIM_RESULT_TOO_OLD:
		return claim.TooOld
	case peerpb.ClaimResult_CLAIM_RESULT_WRONG_EPOCH:
		return claim.WrongEpoch
	default:
		return claim.Unavailable
	}
}
