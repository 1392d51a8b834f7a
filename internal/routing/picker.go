package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxDraws is the number of random draws from a tier. If all of them hit an
	// endpoint that is excluded or rejected by slow start, the tier is scanned.
	maxDraws = 4

	// stdErrMargin is the number of standard errors by which a remote endpoint must
	// be faster to be preferred.
	stdErrMargin = 3

	typicalWeight = 0.05 // weight of one sample in typical and typicalCost

	// A call is sent elsewhere only if that saves this fraction of its run time and this time
	// in seconds, since sending it twice takes the work of two nodes.
	elsewhereGain    = 0.2
	minElsewhereGain = 0.01

	// A call goes to another data centre only if that saves this fraction of its run time and
	// this time in seconds.
	remoteGain    = 0.25
	minRemoteGain = 0.01

	maxRelativeCost = 50 // bound of the ratio of a call's cost to the typical one, and its inverse
)

// Picker selects among the endpoints of one service for one ingress. It is not
// safe for concurrent use.
type Picker struct {
	cfg             Config
	localDC         string
	all             []*endpointState // in rendezvous order
	byID            map[string]*endpointState
	tiers           tiers
	typical         typical
	typicalKnown    bool    // typical.latency holds a sample
	typicalCost     float64 // moving average of the costs of the calls in seconds; zero if unknown
	tiersStale      bool    // tiers must be rebuilt
	nextEjectionEnd time.Time
}

// NewPicker returns a picker without endpoints for an ingress in localDC. The
// configuration must be valid.
func NewPicker(cfg Config, localDC string) *Picker {
	return &Picker{
		cfg: cfg, localDC: localDC,
		byID:    make(map[string]*endpointState),
		typical: typical{latency: cfg.DefaultLatency.Seconds()},
	}
}

// SetEndpoints replaces the endpoints. The observations of an endpoint are kept as long
// as its ID and start time stay the same. So is its draining state: a backend server
// never leaves that state, and member records may lag behind responses.
func (p *Picker) SetEndpoints(now time.Time, es []Endpoint) {
	byID := make(map[string]*endpointState, len(es))
	p.all = p.all[:0]
	for _, e := range es {
		if byID[e.ID] != nil {
			continue
		}
		s := p.byID[e.ID]
		if s == nil || !s.Started.Equal(e.Started) {
			s = &endpointState{key: hash(p.cfg.Ingress, e.ID), slowStartAt: e.Started, coldUntil: e.ColdUntil}
		}
		e.Draining = e.Draining || s.Draining
		s.Endpoint = e
		s.networkRTT = 0
		if e.DataCentre != p.localDC {
			s.networkRTT = 2 * p.cfg.CrossDCDelay.Seconds()
		}
		byID[e.ID] = s
		p.all = append(p.all, s)
	}
	p.byID = byID
	sortByKey(p.all)
	p.tiersStale = true
	p.refreshTiers(now)
}

// Candidate is an endpoint that was considered for a call.
type Candidate struct {
	ID       string
	Expected time.Duration // time to finish the call there
}

// Choice is the endpoint selected for a call, and the others that were drawn.
type Choice struct {
	Candidate
	Others  [3]Candidate
	NOthers int
	// MaxWait is the wait at the endpoint from which the call is finished sooner at one of the
	// others; zero if there is none.
	MaxWait time.Duration
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Choice) add(s *endpointState, expected forecast) {
	c.Others[c.NOthers] = Candidate{ID: s.ID, Expected: seconds(expected.total)}
	c.NOthers++
}

// Pick is PickByCost for a call of unknown cost.
func (p *Picker) Pick(now time.Time, rnd *rand.Rand, exclude []string) (string, bool) {
	c, ok := p.PickByCost(now, rnd, 0, exclude)
	return c.ID, ok
}

// PickByCost selects an endpoint that is not excluded and counts a call in flight there until
// Done is called. The cost is how long the call is expected to run at a backend server of
// usual speed; zero if that is unknown. It returns false if no endpoint can be used.
func (p *Picker) PickByCost(now time.Time, rnd *rand.Rand, cost time.Duration, exclude []string) (Choice, bool) {
	p.refreshTiers(now)
	var c Choice
	size := p.relativeCost(cost)
	local, remote := p.pickOfTwo(now, rnd, p.tiers.local, size, exclude), p.pickOfTwo(now, rnd, p.tiers.remote, size, exclude)
	best := local
	if best.s == nil || remote.s != nil && prefersRemote(local, remote, size) && !p.closeToRemote(now, rnd, local, remote, size, exclude) {
		best, remote = remote, best
	}
	if best.s == nil {
		best.s = firstAvailable(p.tiers.fallback, exclude)
	}
	if best.s == nil {
		best.s = p.leastLoadedUnresponsive(exclude)
	}
	if best.s == nil {
		return c, false
	}
	for _, d := range [...]drawn{{s: best.other, expected: best.otherExpected}, {s: remote.s, expected: remote.expected}, {s: remote.other, expected: remote.otherExpected}} {
		if d.s != nil {
			c.add(d.s, d.expected)
		}
	}
	c.Candidate = Candidate{ID: best.s.ID, Expected: seconds(best.expected.total)}
	if alternative := fasterOf(best.other, best.otherExpected, remote); alternative > 0 && best.s.reportsWork() {
		run := best.expected.total - best.expected.wait
		c.MaxWait = seconds(max(alternative-run, 0) + max(elsewhereGain*run, minElsewhereGain))
	}
	best.s.sent(now, size, best.expected.wait)
	return c, true
}

// fasterOf returns the shorter time of the other endpoint of a tier and of the endpoint drawn from
// the other tier; zero if there is neither.
func fasterOf(other *endpointState, otherExpected forecast, d drawn) float64 {
	switch {
	case other == nil && d.s == nil:
		return 0
	case other == nil:
		return d.expected.total
	case d.s == nil:
		return otherExpected.total
	}
	return min(otherExpected.total, d.expected.total)
}

// relativeCost returns a cost relative to the typical one of the service.
func (p *Picker) relativeCost(cost time.Duration) float64 {
	if cost <= 0 || p.typicalCost <= 0 {
		return 1
	}
	return min(max(cost.Seconds()/p.typicalCost, 1/maxRelativeCost), maxRelativeCost)
}

// Done records the end of a call. It has no effect if the endpoint has been removed.
func (p *Picker) Done(now time.Time, id string, r Result) {
	s := p.byID[id]
	if s == nil {
		return
	}
	wasDraining := s.Draining
	size := p.relativeCost(r.Cost)
	wait := s.observe(now, r, size)
	if r.Load != nil {
		p.typical.wait += (wait - p.typical.wait) * typicalWeight
	}
	if r.Kind == Completed {
		p.observeTypical(s.runTime(r) / size)
		p.observeCost(r.Cost)
	}
	if s.Draining && !wasDraining {
		p.tiersStale = true
	}
	if s.recordForEjection(&p.cfg, r.Kind) {
		p.eject(now, s)
	}
	p.refreshTiers(now)
}

// Address returns the address of an endpoint, or false if the endpoint is unknown.
func (p *Picker) Address(id string) (string, bool) {
	s := p.byID[id]
	if s == nil {
		return "", false
	}
	return s.Address, true
}

// Beside returns the endpoints in the data centre of an endpoint, or none if that has been
// removed.
func (p *Picker) Beside(id string) []string {
	s := p.byID[id]
	if s == nil {
		return nil
	}
	var out []string
	for _, other := range p.all {
		if other.DataCentre == s.DataCentre {
			out = append(out, other.ID)
		}
	}
	return out
}

// prefersRemote reports whether a remote endpoint is faster by more than stdErrMargin
// standard errors of the difference. With long calls the errors exceed the 3 ms of the
// network round trip, and a local endpoint that is not used keeps its wrong estimate. In
// the simulations of package model, a chain of 23 services served 0.75 of its steady
// load without the margin and 0.87 with it. If the work left is known, the errors are small, and
// the gain must be worth the traffic between data centres.
func prefersRemote(local, remote drawn, size float64) bool {
	margin := stdErrMargin * size * math.Hypot(local.s.latencyStdErr(), remote.s.latencyStdErr())
	if local.s.reportsWork() {
		run := local.expected.total - local.expected.wait
		margin = max(margin, remoteGain*run, minRemoteGain)
	}
	return local.expected.total-remote.expected.total > margin
}

// closeToRemote reports whether a further local endpoint is about as fast as a remote one. A call then stays in the data centre: that both drawn endpoints are slow is no reason for
// traffic to another one. All local endpoints would be too many: the calls of all ingresses
// would stay until the last one is slow, and then all leave. It is false if the drawn endpoint
// reports no work.
func (p *Picker) closeToRemote(now time.Time, rnd *rand.Rand, drawnLocal, remote drawn, size float64, exclude []string) bool {
	if !drawnLocal.s.reportsWork() {
		return false
	}
	d := sampler{now: now, rnd: rnd, exclude: exclude, slowStart: p.cfg.SlowStart, chosen: drawnLocal.s}
	s := d.sample(p.tiers.local)
	return s != nil && !prefersRemote(drawn{s: s, expected: s.expectedTime(now, &p.cfg, p.typical, size)}, remote, size)
}

func (p *Picker) observeTypical(sample float64) {
	if !p.typicalKnown {
		p.typical.latency, p.typicalKnown = sample, true
		return
	}
	p.typical.latency += (sample - p.typical.latency) * typicalWeight
}

// observeCost follows the mean cost of the calls. Where it moves, latencies that were scaled
// by its earlier value are off by as much at all endpoints.
func (p *Picker) observeCost(cost time.Duration) {
	switch {
	case cost <= 0:
	case p.typicalCost <= 0:
		p.typicalCost = cost.Seconds()
	default:
		p.typicalCost += (cost.Seconds() - p.typicalCost) * typicalWeight
	}
}

// drawn is the better of two endpoints drawn from a tier, and the other one.
type drawn struct {
	s             *endpointState
	expected      forecast
	other         *endpointState
	otherExpected forecast
}

// pickOfTwo samples two endpoints of a tier and compares their scores.
func (p *Picker) pickOfTwo(now time.Time, rnd *rand.Rand, tier []*endpointState, size float64, exclude []string) drawn {
	d := sampler{now: now, rnd: rnd, exclude: exclude, slowStart: p.cfg.SlowStart}
	first := d.sample(tier)
	if first == nil {
		d.slowStart = 0 // every endpoint that is not excluded is in slow start
		first = d.sample(tier)
	}
	if first == nil {
		return drawn{}
	}
	expected := first.expectedTime(now, &p.cfg, p.typical, size)
	d.chosen = first
	second := d.sample(tier)
	if second == nil {
		return drawn{s: first, expected: expected}
	}
	other := second.expectedTime(now, &p.cfg, p.typical, size)
	if second.score(now, &p.cfg, other.total) < first.score(now, &p.cfg, expected.total) {
		return drawn{second, other, first, expected}
	}
	return drawn{first, expected, second, other}
}

// sampler draws random endpoints from a tier, subject to exclusions and slow start.
type sampler struct {
	now       time.Time
	rnd       *rand.Rand
	exclude   []string
	slowStart time.Duration
	chosen    *endpointState // already drawn; not drawn again
}

// sample returns a random endpoint that is accepted. The final scan finds one even if
// most are excluded.
func (d *sampler) sample(tier []*endpointState) *endpointState {
	n := len(tier)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		if s := tier[d.rnd.IntN(n)]; d.accepts(s) {
			return s
		}
	}
	start := d.rnd.IntN(n)
	for i := range n {
		if s := tier[(start+i)%n]; d.accepts(s) {
			return s
		}
	}
	return nil
}

// accepts reports whether the endpoint may be drawn. An endpoint in slow start is
// accepted with the probability slowStartFactor.
func (d *sampler) accepts(s *endpointState) bool {
	if s == d.chosen || s.unresponsive || slices.Contains(d.exclude, s.ID) {
		return false
	}
	factor := s.slowStartFactor(d.now, d.slowStart)
	return factor >= 1 || d.rnd.Float64() < factor
}

func firstAvailable(tier []*endpointState, exclude []string) *endpointState {
	for _, s := range tier {
		if !s.unresponsive && !slices.Contains(exclude, s.ID) {
			return s
		}
	}
	return nil
}
