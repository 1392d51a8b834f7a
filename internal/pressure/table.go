package pressure

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// Bounds of the table, since names of services come from peers.
	maxFlows           = 1024
	maxServices        = 1024
	maxServicesPerFlow = 32

	// smoothingTime is the time constant of the moving averages of hints. A service
	// has several guards, and each hint tells about one of them.
	smoothingTime = 100 * time.Millisecond
	// minHintWeight is the least weight of a new hint in the averages. Without it,
	// hints that arrive at the same moment would have none.
	minHintWeight = 0.01

	// A hint has full weight until fullWeightAge and none from maxHintAge on.
	fullWeightAge = 700 * time.Millisecond
	maxHintAge    = time.Second
	// downstreamTTL is how long a service counts as behind a flow after the last
	// hint on it.
	downstreamTTL = time.Minute

	// probeInterval is the time without hints on a service after which a request
	// that would be refused is admitted as a probe. Several probes fit into the
	// second within which an ingress must notice a recovery. An ingress with little
	// traffic probes less often: it must first have refused probeMinRefusals requests
	// since its last probe, since the probes of many such ingresses would be an
	// overload of their own. It recovers because hints expire.
	probeInterval    = 200 * time.Millisecond
	probeMinRefusals = 20

	// targetQueueWait is the queue wait that the backlog level steers a service to:
	// enough to keep it busy. backlogGain is how fast the level changes, in levels a
	// second: it rises at this rate if the wait is twice the target or more, and falls
	// at this rate if there is no wait, so from its maximum to zero in half a second.
	targetQueueWait = 30 * time.Millisecond
	backlogGain     = 6.0
	// relaxedQueueWait is the target once a queue has been long for relaxAfter, and the mean
	// wait at the services before it has stayed below crowdedWait all the while: they have
	// slots to spare, and a queue of targetQueueWait runs empty at some guards at times. A
	// longer one makes the guards refuse calls of important requests as well.
	relaxedQueueWait = 60 * time.Millisecond
	relaxAfter       = time.Second
	crowdedWait      = 10 * time.Millisecond
	// maxBacklogStep bounds the time step by which one hint changes the backlog level.
	maxBacklogStep = 500 * time.Millisecond

	// A request is refused if less than minTimeFraction of the typical service time is
	// left until its deadline. The fraction is below 1 because more than half of the
	// requests take less than the mean.
	minTimeFraction = 0.5

	// Bounds of Retry-After before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// service is the known load of one service, averaged over its guards.
type service struct {
	shedLevel    float64 // 1.5 means that half of the guards shed requests of importance 1
	backlogLevel float64 // refusal threshold that keeps the wait near targetQueueWait
	queueWait    float64 // seconds
	serviceTime  float64 // seconds
	updatedAt    time.Time
	longAt       time.Time // when the wait was last above targetQueueWait
	spareSince   time.Time // since when the queue is long while services before it have slots to spare
}

// update records a hint. crowded is set if requests wait at the services before this one.
func (s *service) update(now time.Time, h Hint, crowded bool) {
	target := s.target(now, h.QueueWait, crowded)
	age := now.Sub(s.updatedAt)
	s.shedLevel = movingAverage(s.shedLevel, float64(min(h.ShedLevel, request.Critical)), age)
	s.queueWait = movingAverage(s.queueWait, h.QueueWait.Seconds(), age)
	s.serviceTime = movingAverage(s.serviceTime, h.ServiceTime.Seconds(), age)
	switch {
	case age >= maxHintAge: // a single hint after a gap says little about the trend
		s.backlogLevel = 0
		s.adjustBacklogLevel(h.QueueWait, target, smoothingTime)
	case age > 0:
		s.adjustBacklogLevel(h.QueueWait, target, min(age, maxBacklogStep))
	}
	if age > 0 {
		s.updatedAt = now
	}
}

// target returns the queue wait to steer the service to. A short queue keeps the services
// before it from running out of slots; if they don't, a longer one keeps the service busy.
func (s *service) target(now time.Time, wait time.Duration, crowded bool) time.Duration {
	if wait > targetQueueWait {
		s.longAt = now
	}
	if crowded || now.Sub(s.longAt) >= relaxAfter {
		s.spareSince = now
	}
	if now.Sub(s.spareSince) < relaxAfter {
		return targetQueueWait
	}
	return relaxedQueueWait
}

// adjustBacklogLevel raises or lowers the backlog level by the distance of the wait
// from its target. The package comment tells why the shed level alone is not enough.
func (s *service) adjustBacklogLevel(wait, target, step time.Duration) {
	deviation := (wait - target).Seconds() / target.Seconds()
	s.backlogLevel += backlogGain * step.Seconds() * min(deviation, 1)
	s.backlogLevel = min(max(s.backlogLevel, 0), float64(request.Critical))
}

// movingAverage moves the average old towards a value observed age after the previous
// one. After maxHintAge it starts anew with the value.
func movingAverage(old, value float64, age time.Duration) float64 {
	if age >= maxHintAge {
		return value
	}
	weight := 1 - math.Exp(-age.Seconds()/smoothingTime.Seconds())
	return old + max(weight, minHintWeight)*(value-old)
}

// threshold returns the refusal threshold: requests of an importance below its integer
// part are refused, and of those equal to it, the fractional part. If the guards are at
// levels 1 and 2 in equal numbers, the mean 1.5 says that half of them shed requests of
// importance 1.
func (s *service) threshold() float64 { return max(s.shedLevel, s.backlogLevel) }

// freshness is the weight of the last hints: 1 while they are new, falling to 0 when
// they are too old to act on.
func (s *service) freshness(now time.Time) float64 {
	left := maxHintAge - now.Sub(s.updatedAt)
	return min(max(left.Seconds()/(maxHintAge-fullWeightAge).Seconds(), 0), 1)
}

// downstreamService is a service behind a flow.
type downstreamService struct {
	service *service
	seenAt  time.Time // time of the last hint
}

// flow is what is known of the requests of a route that one service runs.
type flow struct {
	downstream        []downstreamService
	entryWait         float64 // moving average of the wait at the first service, in seconds
	entryWaitAt       time.Time
	probedAt          time.Time
	refusedSinceProbe int
	demand            demand
}

// Table holds what an ingress knows of the services behind its flows. It is not
// safe for concurrent use.
type Table struct {
	services map[string]*service
	flows    map[request.Flow]*flow
	sweptAt  time.Time
}

// NewTable returns an empty table, which admits all requests.
func NewTable() *Table {
	return &Table{services: make(map[string]*service), flows: make(map[request.Flow]*flow)}
}

// Observe records the hints in a response to a request of the flow, whether the request
// completed or was refused. entryWait is the wait that the guard of the first service reports.
func (t *Table) Observe(now time.Time, id request.Flow, entryWait time.Duration, hints []Hint) {
	if len(hints) == 0 {
		return
	}
	t.sweep(now)
	f := t.flow(id)
	if f == nil {
		return
	}
	f.entryWait = movingAverage(f.entryWait, entryWait.Seconds(), now.Sub(f.entryWaitAt))
	f.entryWaitAt = now
	for _, h := range hints {
		s := t.service(h.Service)
		if s == nil {
			continue
		}
		s.update(now, h, f.crowdedBeside(now, s))
		f.addDownstream(now, s)
	}
}

// crowdedBeside reports whether requests wait at the first service of the flow or at one
// behind it other than s.
func (f *flow) crowdedBeside(now time.Time, s *service) bool {
	if f.entryWait >= crowdedWait.Seconds() {
		return true
	}
	for i := range f.downstream {
		other := f.downstream[i].service
		if other != s && other.queueWait >= crowdedWait.Seconds() && now.Sub(other.updatedAt) < maxHintAge {
			return true
		}
	}
	return false
}

// Request describes a request at the ingress.
type Request struct {
	Flow       request.Flow
	Workspace  string
	Weight     float64 // share relative to other workspaces; 1 if not positive
	Importance request.Importance
	Remaining  time.Duration // until its deadline
}

// AdmitRequest decides whether to admit a request. It returns false and a refusal if
// the request would probably fail behind this ingress. A request of a workspace within
// its share of what the flow admits is never refused for an overload that other
// workspaces cause.
func (t *Table) AdmitRequest(now time.Time, req Request, rnd *rand.Rand) (request.Refusal, bool) {
	f := t.flows[req.Flow]
	if f == nil {
		return request.Refusal{}, true
	}
	w := f.demand.add(now, req.Workspace, req.Weight)
	bottleneck, risk, reason := f.risk(now, req.Importance, req.Remaining)
	if f.refuses(now, w, bottleneck, risk, reason, rnd) {
		f.refusedSinceProbe++
		return request.Refuse(reason, retryAfter(bottleneck, req.Importance, rnd)), false
	}
	return request.Refusal{}, true
}

// Admit is AdmitRequest for traffic that is not separated by workspace.
func (t *Table) Admit(now time.Time, id request.Flow, imp request.Importance, remaining time.Duration, rnd *rand.Rand) (request.Refusal, bool) {
	return t.AdmitRequest(now, Request{Flow: id, Importance: imp, Remaining: remaining}, rnd)
}

func (f *flow) refuses(now time.Time, w *workspaceDemand, bottleneck *service, risk float64, reason request.Reason, rnd *rand.Rand) bool {
	if risk <= 0 || rnd.Float64() >= risk {
		return false
	}
	shared := w != nil && len(f.demand.workspaces) > 1
	if shared && reason == request.ReasonDownstream && f.demand.withinShare(now, w, bottleneck.threshold()) {
		return false
	}
	return !f.allowProbe(now, bottleneck)
}

// risk returns the service most likely to make a request fail, the probability with
// which the request is to be refused for it, and the reason. The probability is zero for
// requests of the highest importance: only guards refuse those.
func (f *flow) risk(now time.Time, imp request.Importance, remaining time.Duration) (bottleneck *service, risk float64, reason request.Reason) {
	if imp >= request.Critical {
		return nil, 0, ""
	}
	for i := range f.downstream {
		s := f.downstream[i].service
		fresh := s.freshness(now)
		if shed := min(max(s.threshold()*fresh-float64(imp), 0), 1); shed > risk {
			bottleneck, risk, reason = s, shed, request.ReasonDownstream
		}
		if remaining.Seconds() < minTimeFraction*s.serviceTime && fresh > risk {
			bottleneck, risk, reason = s, fresh, request.ReasonDeadline
		}
	}
	return bottleneck, risk, reason
}

// allowProbe tells whether to admit a request as a probe although the service appears
// overloaded.
func (f *flow) allowProbe(now time.Time, bottleneck *service) bool {
	if f.refusedSinceProbe < probeMinRefusals || now.Sub(bottleneck.updatedAt) < probeInterval || now.Sub(f.probedAt) < probeInterval {
		return false
	}
	f.probedAt, f.refusedSinceProbe = now, 0
	return true
}

// retryAfter grows with the distance from the importance of the request up to the shed
// level. It adds up to 50% jitter.
func retryAfter(s *service, imp request.Importance, rnd *rand.Rand) time.Duration {
	factor := 1 + max(0, s.shedLevel-float64(imp))
	after := time.Duration(s.queueWait * factor * float64(time.Second))
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(rnd.Float64()*0.5*float64(after))
}

// addDownstream records that a service is behind the flow.
func (f *flow) addDownstream(now time.Time, s *service) {
	for i := range f.downstream {
		if f.downstream[i].service == s {
			f.downstream[i].seenAt = now
			return
		}
	}
	if len(f.downstream) < maxServicesPerFlow {
		f.downstream = append(f.downstream, downstreamService{service: s, seenAt: now})
	}
}

// Keep forgets the flows that are not to be kept.
func (t *Table) Keep(keep func(request.Flow) bool) {
	maps.DeleteFunc(t.flows, func(id request.Flow, _ *flow) bool { return !keep(id) })
}

func (t *Table) flow(id request.Flow) *flow {
	f := t.flows[id]
	if f == nil && len(t.flows) < maxFlows {
		f = &flow{}
		t.flows[id] = f
	}
	return f
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// sweep removes services without hints for downstreamTTL, and flows left without
// services.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < downstreamTTL {
		return
	}
	t.sweptAt = now
	for id, f := range t.flows {
		kept := f.downstream[:0]
		for _, d := range f.downstream {
			if now.Sub(d.seenAt) < downstreamTTL {
				kept = append(kept, d)
			}
		}
		clear(f.downstream[len(kept):])
		f.downstream = kept
		if len(kept) == 0 {
			delete(t.flows, id)
		}
	}
	for name, s := range t.services {
		if now.Sub(s.updatedAt) >= downstreamTTL {
			delete(t.services, name)
		}
	}
}
