package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// draws is the number of random draws that may hit an endpoint which is
	// excluded or in slow start before all are scanned.
	draws = 4

	// noiseMargin is the number of standard errors by which a remote endpoint must
	// be faster.
	noiseMargin = 3

	usualWeight = 0.05 // weight of one sample in the usual latency of the service
)

// Picker chooses among the endpoints of one service for one ingress. It is not
// safe for concurrent use.
type Picker struct {
	cfg        Config
	localDC    string
	all        []*state // in rendezvous order
	byID       map[string]*state
	tiers      tiers
	usual      float64 // usual latency of the service in seconds, without the network
	seen       bool    // usual holds a sample
	stale      bool    // tiers must be rebuilt
	nextReturn time.Time
}

// NewPicker returns a picker without endpoints for an ingress in localDC. The
// configuration must be valid.
func NewPicker(cfg Config, localDC string) *Picker {
	return &Picker{
		cfg: cfg, localDC: localDC,
		byID:  make(map[string]*state),
		usual: cfg.DefaultLatency.Seconds(),
	}
}

// SetEndpoints replaces the endpoints. What is known of an endpoint is kept while
// its ID and start time stay the same. Draining is kept as well: a backend server
// does not come back from it, and member records may lag behind responses.
func (p *Picker) SetEndpoints(now time.Time, es []Endpoint) {
	byID := make(map[string]*state, len(es))
	p.all = p.all[:0]
	for _, e := range es {
		if byID[e.ID] != nil {
			continue
		}
		s := p.byID[e.ID]
		if s == nil || !s.Started.Equal(e.Started) {
			s = &state{key: hash(p.cfg.Ingress, e.ID), rampFrom: e.Started}
		}
		e.Draining = e.Draining || s.Draining
		s.Endpoint = e
		s.network = 0
		if e.DataCentre != p.localDC {
			s.network = 2 * p.cfg.CrossDCDelay.Seconds()
		}
		byID[e.ID] = s
		p.all = append(p.all, s)
	}
	p.byID = byID
	sortByKey(p.all)
	p.stale = true
	p.refresh(now)
}

// Pick chooses an endpoint that is not excluded and counts a call in flight there,
// which Done ends. It returns false if no endpoint can be used.
func (p *Picker) Pick(now time.Time, rnd *rand.Rand, exclude []string) (string, bool) {
	p.refresh(now)
	best, cost := p.better(now, rnd, p.tiers.local, exclude)
	if remote, c := p.better(now, rnd, p.tiers.remote, exclude); best == nil || remote != nil && spills(best, cost, remote, c) {
		best = remote
	}
	if best == nil {
		best = firstOf(p.tiers.reserve, exclude)
	}
	if best == nil {
		best = p.leastSilent(exclude)
	}
	if best == nil {
		return "", false
	}
	best.inFlight++
	return best.ID, true
}

// Done records the end of a call. An endpoint that was removed meanwhile is
// ignored.
func (p *Picker) Done(now time.Time, id string, r Result) {
	s := p.byID[id]
	if s == nil {
		return
	}
	wasDraining := s.Draining
	s.observe(now, r)
	if r.Kind == Completed {
		p.observeUsual(max(r.Latency.Seconds()-s.network, 0))
	}
	if s.Draining && !wasDraining {
		p.stale = true
	}
	if s.failing(&p.cfg, r.Kind) {
		p.eject(now, s)
	}
	p.refresh(now)
}

// Address returns the address of an endpoint.
func (p *Picker) Address(id string) (string, bool) {
	s := p.byID[id]
	if s == nil {
		return "", false
	}
	return s.Address, true
}

// spills tells whether a remote endpoint is faster by more than the noise of both
// estimates. With long calls the noise exceeds the 3 ms of the way, and a local
// endpoint that is not used keeps its wrong estimate. Without the margin, a chain of
// 23 services served 0.75 of its steady load in package model, with it 0.87.
func spills(local *state, localCost float64, remote *state, remoteCost float64) bool {
	return localCost-remoteCost > noiseMargin*math.Hypot(local.noise(), remote.noise())
}

func (p *Picker) observeUsual(sample float64) {
	if !p.seen {
		p.usual, p.seen = sample, true
		return
	}
	p.usual += (sample - p.usual) * usualWeight
}

// better draws two endpoints of a tier and returns the one with the lower score,
// and its expected time.
func (p *Picker) better(now time.Time, rnd *rand.Rand, tier []*state, exclude []string) (*state, float64) {
	d := drawing{now: now, rnd: rnd, exclude: exclude, slowStart: p.cfg.SlowStart}
	first := d.draw(tier)
	if first == nil {
		d.slowStart = 0 // all are in slow start
		first = d.draw(tier)
	}
	if first == nil {
		return nil, 0
	}
	cost := first.expected(now, &p.cfg, p.usual)
	d.drawn = first
	second := d.draw(tier)
	if second == nil {
		return first, cost
	}
	other := second.expected(now, &p.cfg, p.usual)
	if second.score(&p.cfg, other) < first.score(&p.cfg, cost) {
		return second, other
	}
	return first, cost
}

// drawing holds what random draws from a tier must respect.
type drawing struct {
	now       time.Time
	rnd       *rand.Rand
	exclude   []string
	slowStart time.Duration
	drawn     *state // not drawn again
}

// draw returns a random usable endpoint. The final scan finds an endpoint if most
// are excluded.
func (d *drawing) draw(tier []*state) *state {
	n := len(tier)
	if n == 0 {
		return nil
	}
	for range draws {
		if s := tier[d.rnd.IntN(n)]; d.usable(s) {
			return s
		}
	}
	start := d.rnd.IntN(n)
	for i := range n {
		if s := tier[(start+i)%n]; d.usable(s) {
			return s
		}
	}
	return nil
}

// usable passes over an endpoint in slow start with the probability that it lacks.
func (d *drawing) usable(s *state) bool {
	if s == d.drawn || s.silent || slices.Contains(d.exclude, s.ID) {
		return false
	}
	ramp := s.ramp(d.now, d.slowStart)
	return ramp >= 1 || d.rnd.Float64() < ramp
}

func firstOf(tier []*state, exclude []string) *state {
	for _, s := range tier {
		if !s.silent && !slices.Contains(exclude, s.ID) {
			return s
		}
	}
	return nil
}
