package pressure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// Bounds of the table. Names come from peers.
	maxRoutes           = 1024
	maxServices         = 1024
	maxServicesPerRoute = 32

	// smoothing is the time over which hints are averaged. A service has
	// several guards, and each hint tells about one of them.
	smoothing = 100 * time.Millisecond
	// minHintWeight lets hints count that arrive at the same moment.
	minHintWeight = 0.01

	// A hint has full weight until holdFor and none from forgetAfter on.
	holdFor     = 700 * time.Millisecond
	forgetAfter = time.Second
	// routeMemory is how long a route is taken to pass a service that it
	// passed once.
	routeMemory = time.Minute

	// probeInterval is the time without news of a service after which one
	// request that would be refused passes instead. Several probes fit into
	// the second within which the ingress must notice a recovery. An ingress
	// with little traffic probes less: it must have refused probeAfter requests
	// since, or the probes of many such ingresses would be an overload of their
	// own. It recovers because hints age out.
	probeInterval = 200 * time.Millisecond
	probeAfter    = 20

	// backlogTarget is the queue wait that an ingress steers a service to:
	// enough to keep it busy. backlogRate is how fast the backlog level rises
	// or falls, in levels a second, while the wait is off the target by as much
	// again. At this rate it falls from the highest level within a second.
	backlogTarget = 30 * time.Millisecond
	backlogRate   = 6.0
	// backlogStep bounds the time that one hint stands for.
	backlogStep = 500 * time.Millisecond

	// Less than minTimePart of the typical service time is too little for a request.
	// Calls take less than the mean more often than not.
	minTimePart = 0.5

	// Bounds of Retry-After before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// service is what is known of one service, averaged over its guards.
type service struct {
	level       float64 // shed level; 1.5 means that half of the guards shed normal calls
	backlog     float64 // level that keeps the queue near backlogTarget
	wait        float64 // seconds
	serviceTime float64 // seconds
	at          time.Time
}

func (s *service) learn(now time.Time, h Hint) {
	age := now.Sub(s.at)
	s.level = average(s.level, float64(min(h.ShedLevel, request.Critical)), age)
	s.wait = average(s.wait, h.QueueWait.Seconds(), age)
	s.serviceTime = average(s.serviceTime, h.ServiceTime.Seconds(), age)
	switch {
	case age >= forgetAfter: // one hint after a silence says little about a trend
		s.backlog = 0
		s.steer(h.QueueWait, smoothing)
	case age > 0:
		s.steer(h.QueueWait, min(age, backlogStep))
	}
	if age > 0 {
		s.at = now
	}
}

// steer moves the backlog level. The shed level alone comes too late when the
// slots of the services on the way bound the queue at the tight one: that queue
// stays short of shedding while calls pile up at the services before it.
func (s *service) steer(wait, step time.Duration) {
	off := (wait - backlogTarget).Seconds() / backlogTarget.Seconds()
	s.backlog += backlogRate * step.Seconds() * min(off, 1)
	s.backlog = min(max(s.backlog, 0), float64(request.Critical))
}

// average moves old towards a value observed age after the previous one.
func average(old, value float64, age time.Duration) float64 {
	if age >= forgetAfter {
		return value
	}
	weight := 1 - math.Exp(-age.Seconds()/smoothing.Seconds())
	return old + max(weight, minHintWeight)*(value-old)
}

// tightness is the importance up to which requests are refused; of those at its
// whole part, the fraction. Of guards at levels 1 and 2, the mean level 1.5 says
// that half of them shed a request of importance 1.
func (s *service) tightness() float64 { return max(s.level, s.backlog) }

// freshness is the weight of what is known: 1 while it is new, 0 once it is too
// old to act on.
func (s *service) freshness(now time.Time) float64 {
	rest := forgetAfter - now.Sub(s.at)
	return min(max(rest.Seconds()/(forgetAfter-holdFor).Seconds(), 0), 1)
}

// passage is a service behind a route.
type passage struct {
	service *service
	at      time.Time // last seen
}

type route struct {
	passages []passage
	probedAt time.Time
	refused  int // since the last probe
	demand   demand
}

// Table is an ingress's knowledge of the services behind its routes. It is not
// safe for concurrent use.
type Table struct {
	services map[string]*service
	routes   map[string]*route
	sweptAt  time.Time
}

// NewTable returns an empty table, which admits everything.
func NewTable() *Table {
	return &Table{services: make(map[string]*service), routes: make(map[string]*route)}
}

// Observe learns from the hints on a response to a request of the route,
// whether the request completed or was refused.
func (t *Table) Observe(now time.Time, routeName string, hints []Hint) {
	if len(hints) == 0 {
		return
	}
	t.sweep(now)
	r := t.route(routeName)
	if r == nil {
		return
	}
	for _, h := range hints {
		s := t.service(h.Service)
		if s == nil {
			continue
		}
		s.learn(now, h)
		r.pass(now, s)
	}
}

// Request describes a request at the ingress.
type Request struct {
	Route      string
	Workspace  string
	Weight     float64 // share relative to other workspaces; 1 if not positive
	Importance request.Importance
	Remaining  time.Duration // until its deadline
}

// AdmitRequest decides whether a request may enter. It returns false and a
// refusal if the request would probably fail behind this ingress. A request of
// a workspace within its share of what the route admits is never refused for
// the overload that others cause.
func (t *Table) AdmitRequest(now time.Time, q Request, rnd *rand.Rand) (request.Refusal, bool) {
	r := t.routes[q.Route]
	if r == nil {
		return request.Refusal{}, true
	}
	w := r.demand.add(now, q.Workspace, q.Weight)
	tight, risk, reason := r.risk(now, q.Importance, q.Remaining)
	if r.refuses(now, w, tight, risk, reason, rnd) {
		r.refused++
		return request.Refuse(reason, retryAfter(tight, q.Importance, rnd)), false
	}
	return request.Refusal{}, true
}

// Admit is AdmitRequest for traffic that is not told apart by workspace.
func (t *Table) Admit(now time.Time, routeName string, imp request.Importance, remaining time.Duration, rnd *rand.Rand) (request.Refusal, bool) {
	return t.AdmitRequest(now, Request{Route: routeName, Importance: imp, Remaining: remaining}, rnd)
}

func (r *route) refuses(now time.Time, w *workspaceDemand, tight *service, risk float64, reason request.Reason, rnd *rand.Rand) bool {
	if risk <= 0 || rnd.Float64() >= risk {
		return false
	}
	shared := w != nil && len(r.demand.workspaces) > 1
	if shared && reason == request.ReasonDownstream && r.demand.covers(now, w, tight.tightness()) {
		return false
	}
	return !r.probe(now, tight)
}

// risk returns the service most likely to refuse a request, and how likely. The
// most important requests have none: their fate is decided by the guards alone.
func (r *route) risk(now time.Time, imp request.Importance, remaining time.Duration) (tight *service, risk float64, reason request.Reason) {
	if imp >= request.Critical {
		return nil, 0, ""
	}
	for i := range r.passages {
		s := r.passages[i].service
		fresh := s.freshness(now)
		if shed := min(max(s.tightness()*fresh-float64(imp), 0), 1); shed > risk {
			tight, risk, reason = s, shed, request.ReasonDownstream
		}
		if remaining.Seconds() < minTimePart*s.serviceTime && fresh > risk {
			tight, risk, reason = s, fresh, request.ReasonDeadline
		}
	}
	return tight, risk, reason
}

// probe tells whether a request passes although the service seems too tight.
func (r *route) probe(now time.Time, tight *service) bool {
	if r.refused < probeAfter || now.Sub(tight.at) < probeInterval || now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt, r.refused = now, 0
	return true
}

// retryAfter grows with the distance between the request and the shed level,
// plus up to half of that at random.
func retryAfter(s *service, imp request.Importance, rnd *rand.Rand) time.Duration {
	steps := 1 + max(0, s.level-float64(imp))
	after := time.Duration(s.wait * steps * float64(time.Second))
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(rnd.Float64()*0.5*float64(after))
}

// pass notes that the route passes a service.
func (r *route) pass(now time.Time, s *service) {
	for i := range r.passages {
		if r.passages[i].service == s {
			r.passages[i].at = now
			return
		}
	}
	if len(r.passages) < maxServicesPerRoute {
		r.passages = append(r.passages, passage{service: s, at: now})
	}
}

func (t *Table) route(name string) *route {
	r := t.routes[name]
	if r == nil && len(t.routes) < maxRoutes {
		r = &route{}
		t.routes[name] = r
	}
	return r
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// sweep forgets routes and services that were not seen for long.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < routeMemory {
		return
	}
	t.sweptAt = now
	for name, r := range t.routes {
		kept := r.passages[:0]
		for _, p := range r.passages {
			if now.Sub(p.at) < routeMemory {
				kept = append(kept, p)
			}
		}
		clear(r.passages[len(kept):])
		r.passages = kept
		if len(kept) == 0 {
			delete(t.routes, name)
		}
	}
	for name, s := range t.services {
		if now.Sub(s.at) >= routeMemory {
			delete(t.services, name)
		}
	}
}
