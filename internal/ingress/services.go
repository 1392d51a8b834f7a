package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// Services holds what the ingress has learned about each service. It is safe
// for concurrent use.
type Services struct {
	mu   sync.Mutex
	byID map[string]*service
}

// NewServices returns an empty set.
func NewServices() *Services { return &Services{byID: map[string]*service{}} }

func (s *Services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.byID[name]
	if !ok {
		svc = newService(name)
		s.byID[name] = svc
	}
	return svc
}

// service is the routing and retry state of one service.
type service struct {
	name string

	mu     sync.Mutex
	policy retry.Policy
	rnd    *rand.Rand
}

func newService(name string) *service {
	return &service{
		name: name,
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

// pick chooses a guard that was not tried yet.
func (s *service) pick(_ time.Time, snap *control.Snapshot, tried []string) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []membership.Member
	for _, m := range snap.ByService[s.name] {
		if !m.Draining && !slices.Contains(tried, m.ID) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return membership.Member{}, false
	}
	return open[s.rnd.IntN(len(open))], true
}

func (s *service) done(_ time.Time, _ string, _ time.Time, _ *call.Response) {}

// next decides about one more attempt after a refusal.
func (s *service) next(now time.Time, c *call.Call, r *request.Refusal, retries int, budget *retry.Budget) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Next(now, retry.Attempt{
		Outcome:    r.Outcome,
		Idempotent: c.Idempotent,
		Retries:    retries,
		Remaining:  c.Deadline.Sub(now),
	}, budget, s.rnd)
}
