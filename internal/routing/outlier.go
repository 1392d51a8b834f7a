package routing

import "time"

// maxEjected returns how many endpoints may be ejected at once: half of those
// that are not draining.
func (p *Picker) maxEjected() int {
	n := 0
	for _, s := range p.all {
		if !s.Draining {
			n++
		}
	}
	return n / 2
}

// ejected counts the endpoints that are ejected at the given time.
func (p *Picker) ejected(now time.Time) int {
	n := 0
	for _, s := range p.all {
		if !s.Draining && now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// eject takes an endpoint out of use if the limit allows it. The time doubles
// with each ejection until the endpoint stayed in use for EjectMax.
func (p *Picker) eject(now time.Time, s *state) {
	if now.Before(s.ejectedUntil) || p.ejected(now) >= p.maxEjected() {
		return
	}
	if now.Sub(s.ejectedUntil) > p.cfg.EjectMax {
		s.ejections = 0
	}
	length := p.cfg.EjectBase
	for range s.ejections {
		length = min(2*length, p.cfg.EjectMax)
	}
	s.ejections++
	s.ejectedUntil = now.Add(length)
	s.rampFrom = s.ejectedUntil
	s.failures, s.failureRate, s.results = 0, 0, 0
	p.stale = true
}

// enforceLimit ends ejections, those that expire first, until at most half of the
// endpoints are ejected. It is needed when other endpoints leave.
func (p *Picker) enforceLimit(now time.Time) {
	for p.ejected(now) > p.maxEjected() {
		var first *state
		for _, s := range p.all {
			if !s.Draining && now.Before(s.ejectedUntil) && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
				first = s
			}
		}
		first.ejectedUntil, first.rampFrom = now, now
	}
}

// refresh rebuilds the tiers after a change or at the end of an ejection.
func (p *Picker) refresh(now time.Time) {
	if !p.stale && (p.nextReturn.IsZero() || now.Before(p.nextReturn)) {
		return
	}
	p.enforceLimit(now)
	p.tiers = buildTiers(&p.cfg, p.all, p.localDC, func(s *state) bool {
		return !s.Draining && !now.Before(s.ejectedUntil)
	})
	p.nextReturn = time.Time{}
	for _, s := range p.all {
		if now.Before(s.ejectedUntil) && (p.nextReturn.IsZero() || s.ejectedUntil.Before(p.nextReturn)) {
			p.nextReturn = s.ejectedUntil
		}
	}
	p.stale = false
}
