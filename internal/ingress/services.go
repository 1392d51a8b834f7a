package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// Services holds what the ingress has learned about each service. It is safe
// for concurrent use.
type Services struct {
	mu     sync.Mutex
	byName map[string]*service
}

// NewServices returns an empty set.
func NewServices() *Services { return &Services{byName: map[string]*service{}} }

func (s *Services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.byName[name]
	if !ok {
		svc = newService(name)
		s.byName[name] = svc
	}
	return svc
}

// service is the routing and retry state of one service.
type service struct {
	name string

	mu     sync.Mutex
	policy retry.Policy
	rnd    *rand.Rand
	picker *routing.Picker
	// seen is the snapshot that the picker's endpoints come from.
	seen *control.Snapshot
	// fleetSize is the number of members that the picker was made for.
	fleetSize int
	members   map[string]membership.Member
	ratio     float64 // retries per first attempt that policy was made for
}

func newService(name string) *service {
	return &service{
		name:  name,
		ratio: retry.DefaultRatioConfig().Fraction,
		policy: retry.Policy{
			Ratio:   retry.NewRatio(retry.DefaultRatioConfig(), time.Now()),
			Backoff: retry.DefaultBackoff(),
		},
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (s *service) first(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Ratio.First(now)
}

// pick chooses a guard that was not tried yet. Each pick is followed by done.
func (s *service) pick(now time.Time, snap *control.Snapshot, tried []string) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen != snap {
		s.update(now, snap)
	}
	id, ok := s.picker.Pick(now, s.rnd, tried)
	if !ok {
		return membership.Member{}, false
	}
	return s.members[id], true
}

// anyLeft reports whether there is a guard that was not tried yet, so that no
// retry is paid for in vain.
func (s *service) anyLeft(now time.Time, snap *control.Snapshot, tried []string) bool {
	m, ok := s.pick(now, snap, tried)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, m.ID, routing.Result{Kind: routing.Cancelled})
	return true
}

// update takes over the members of a snapshot.
func (s *service) update(now time.Time, snap *control.Snapshot) {
	s.seen = snap
	if size := len(snap.Members); s.picker == nil || size > 2*s.fleetSize || 2*size < s.fleetSize {
		s.fleetSize = size
		s.picker = routing.NewPicker(routing.DefaultConfig(snap.Self.ID, size, localMembers(snap)), snap.Self.DataCentre)
	}
	s.updateRatio(now, snap)
	s.members = map[string]membership.Member{}
	var endpoints []routing.Endpoint
	for _, m := range snap.ByService[s.name] {
		s.members[m.ID] = m
		endpoints = append(endpoints, routing.Endpoint{
			ID:         m.ID,
			DataCentre: m.DataCentre,
			Address:    m.PeerAddress,
			Started:    m.BackendStarted,
			Draining:   m.Draining,
			MaxConns:   m.MaxConnections,
		})
	}
	s.picker.SetEndpoints(now, endpoints)
}

// updateRatio takes over a changed retry ratio. A ratio of zero allows no retry.
func (s *service) updateRatio(now time.Time, snap *control.Snapshot) {
	if snap.Settings == nil {
		return
	}
	cfg := retry.DefaultRatioConfig()
	cfg.Fraction = snap.Settings.Service(s.name).RetryRatio
	if cfg.Fraction == s.ratio {
		return
	}
	if cfg.Fraction == 0 {
		cfg.Floor = 0
	}
	s.ratio = cfg.Fraction
	s.policy.Ratio = retry.NewRatio(cfg, now)
}

func localMembers(snap *control.Snapshot) int {
	n := 0
	for _, m := range snap.Members {
		if m.DataCentre == snap.Self.DataCentre {
			n++
		}
	}
	return n
}

// done records how a call to a guard ended.
func (s *service) done(now time.Time, id string, started time.Time, resp *call.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, id, routing.Result{
		Kind:     kindOf(resp),
		Latency:  now.Sub(started),
		Draining: resp.Draining,
		Load:     reportOf(resp.Load),
	})
}

// kindOf tells the picker what a response says about its guard. A refusal that
// concerns this request only says nothing, like a cancelled call.
func kindOf(resp *call.Response) routing.Kind {
	if resp.Refusal == nil {
		return routing.Completed
	}
	switch resp.Refusal.Reason {
	case request.ReasonPeerLost, request.ReasonBackendLost, request.ReasonBadAnswer:
		return routing.Failed
	case request.ReasonOverload, request.ReasonDraining, request.ReasonNoBackend, request.ReasonNodeStale,
		request.ReasonWrongIncarnation:
		return routing.Refused
	default:
		return routing.Cancelled
	}
}

// reportOf reads the load figures of a response.
func reportOf(l call.Load) *routing.Report {
	figures, err := pressure.ParseLoad(l.Encoded)
	if err != nil {
		return nil // absent, or a peer's malformed figures
	}
	return &routing.Report{Limit: figures.Limit, QueueWait: figures.Wait, ServiceTime: figures.ServiceTime}
}

// redirects lists the reasons of calls that cost their guard next to nothing,
// because it is gone, leaving or not able to serve. Sending such a call
// elsewhere spends the retry budget, but it adds no load to the service, so the
// retry ratio does not count it: with one of three nodes gone, a ratio of 10 %
// would refuse calls that the other two could serve.
var redirects = map[request.Reason]bool{
	request.ReasonDraining:         true,
	request.ReasonNoBackend:        true,
	request.ReasonPeerLost:         true,
	request.ReasonBackendLost:      true,
	request.ReasonNodeStale:        true,
	request.ReasonWrongIncarnation: true,
	request.ReasonShareUnavailable: true,
}

// next decides about one more attempt after a refusal.
func (s *service) next(now time.Time, c *call.Call, r *request.Refusal, retries int, budget *retry.Budget) (time.Duration, bool) {
	if r.Outcome == request.NotRun && redirects[r.Reason] {
		return 0, budget.Take()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Next(now, retry.Attempt{
		Outcome:    r.Outcome,
		Idempotent: c.Idempotent,
		Retries:    retries,
		Remaining:  c.Deadline.Sub(now),
	}, budget, s.rnd)
}
