// Package rates enforces the fleet-wide rate and burst of workspaces. It carries
// the borrowers and lenders of package quota over the connections between nodes.
package rates

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/quota"
	"github.com/teaselseam/teaselseam/internal/ring"
)

const (
	// tickInterval is how often due requests are looked for.
	tickInterval = 5 * time.Millisecond
	// idleTick is the same while no workspace is in use.
	idleTick = 100 * time.Millisecond
	// borrowTimeout bounds one request to a lender.
	borrowTimeout = 250 * time.Millisecond
	// handOverTimeout bounds all tries to hand a bucket over.
	handOverTimeout = 3 * time.Second
	handOverPause   = 100 * time.Millisecond
	// idleAfter is how long a borrower without demand is looked after, longer
	// than the life of its tokens.
	idleAfter = 2 * quota.Life
	// unavailableRetry is when a caller may try again if no lender answered.
	unavailableRetry = time.Second
)

// Source is what rates need from the control state.
type Source interface {
	Snapshot() *control.Snapshot
	// Ring returns the epochs in force.
	Ring() ring.History
	// FreshUntil returns until when the node is fresh with its present evidence.
	FreshUntil() time.Time
	// SettledSeq returns the newest change log entry known to be settled.
	SettledSeq() int64
}

// Self names the node.
type Self struct {
	Node        string
	Incarnation string
	DataCentre  string
}

// Service lends and borrows rate tokens. It is safe for concurrent use.
type Service struct {
	log    *slog.Logger
	self   Self
	source Source
	pool   *peer.Pool

	mu        sync.Mutex
	seq       int64 // change log entry that lenders and borrowers are laid out for
	settled   int64
	known     map[string]bool // workspaces at seq
	borrowers map[string]*borrower
	lenders   map[string]*lender

	used time.Time // last request of a call or a borrower

	wake      chan struct{}
	handOvers sync.WaitGroup
}

// New returns the rates of one incarnation of a node.
func New(log *slog.Logger, self Self, source Source, pool *peer.Pool) *Service {
	return &Service{
		log: log, self: self, source: source, pool: pool,
		borrowers: map[string]*borrower{}, lenders: map[string]*lender{},
		wake: make(chan struct{}, 1),
	}
}

// Run keeps borrowers and lenders up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	return pace.Run(ctx, tickInterval, idleTick, s.wake, s.tick)
}

// tick reports whether any workspace was in use recently.
func (s *Service) tick(now time.Time) bool {
	until := s.source.FreshUntil()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout(now)
	for _, l := range s.lenders {
		l.SetFreshUntil(until)
		s.pumpLender(l, now)
	}
	for _, b := range s.borrowers {
		if now.Sub(b.used) < idleAfter {
			s.pumpBorrower(b, now)
		}
	}
	return now.Sub(s.used) < idleAfter
}

// Borrow serves a borrower of another node.
func (s *Service) Borrow(_ context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if req.Lender == nil {
		return nil, twirp.RequiredArgumentError("lender")
	}
	return grantToPB(s.lend(borrowFromPB(req))), nil
}

func (s *Service) lend(r quota.Borrow) quota.Grant {
	until := s.source.FreshUntil()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout(now)
	s.inUse(now)
	l, ok := s.lenders[r.Workspace]
	if !ok {
		return quota.Grant{Sequence: r.Sequence, NotLender: true}
	}
	l.SetFreshUntil(until)
	g := l.Borrow(now, r)
	s.pumpLender(l, now)
	return g
}

// inUse makes the ticks frequent for a while.
func (s *Service) inUse(now time.Time) {
	if now.Sub(s.used) >= idleAfter {
		pace.Wake(s.wake)
	}
	s.used = now
}

// HandOver serves a predecessor that hands its bucket over.
func (s *Service) HandOver(_ context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout(now)
	l, ok := s.lenders[req.Workspace]
	if !ok {
		return &peerpb.HandOverResponse{}, nil
	}
	return &peerpb.HandOverResponse{Accepted: l.HandedOver(now, handOverFromPB(req))}, nil
}

// ask sends a borrow request, in process if the lender is on this node.
func (s *Service) ask(r quota.Borrow) (quota.Grant, error) {
	if r.Lender.Node == s.self.Node && r.Lender.Incarnation == s.self.Incarnation {
		return s.lend(r), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	resp, err := s.pool.Client(r.Lender.PeerAddress).Borrow(ctx, borrowToPB(r))
	if err != nil {
		s.log.Debug("lender did not answer", "step", "borrow", "peer", r.Lender.Node, "workspace", r.Workspace, "error", err)
		return quota.Grant{}, err
	}
	return grantFromPB(resp), nil
}
