package routing

import "time"

// maxEjected returns the maximum number of endpoints that may be ejected at once: half
// of those that are not draining.
func (p *Picker) maxEjected() int {
	n := 0
	for _, s := range p.all {
		if !s.Draining {
			n++
		}
	}
	return n / 2
}

// ejectedCount returns the number of endpoints that are ejected at the given time.
func (p *Picker) ejectedCount(now time.Time) int {
	n := 0
	for _, s := range p.all {
		if !s.Draining && now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// eject ejects the endpoint unless the limit is reached. The duration doubles with
// each ejection and is reset once the endpoint has been in use for EjectMax.
func (p *Picker) eject(now time.Time, s *endpointState) {
	if now.Before(s.ejectedUntil) || p.ejectedCount(now) >= p.maxEjected() {
		return
	}
	if now.Sub(s.ejectedUntil) > p.cfg.EjectMax {
		s.ejections = 0
	}
	duration := p.cfg.EjectBase
	for range s.ejections {
		duration = min(2*duration, p.cfg.EjectMax)
	}
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.slowStartAt = s.ejectedUntil
	s.failures, s.failureRate, s.results = 0, 0, 0
	p.tiersStale = true
}

// enforceEjectionLimit ends ejections, the earliest to expire first, until at most half
// of the endpoints are ejected. The limit can be exceeded when other endpoints leave.
func (p *Picker) enforceEjectionLimit(now time.Time) {
	for p.ejectedCount(now) > p.maxEjected() {
		var first *endpointState
		for _, s := range p.all {
			if !s.Draining && now.Before(s.ejectedUntil) && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
				first = s
			}
		}
		first.ejectedUntil, first.slowStartAt = now, now
	}
}

// refreshTiers rebuilds the tiers if endpoints have changed or an ejection has ended.
func (p *Picker) refreshTiers(now time.Time) {
	if !p.tiersStale && (p.nextEjectionEnd.IsZero() || now.Before(p.nextEjectionEnd)) {
		return
	}
	p.enforceEjectionLimit(now)
	p.tiers = buildTiers(&p.cfg, p.all, p.localDC, func(s *endpointState) bool {
		return !s.Draining && !now.Before(s.ejectedUntil)
	})
	p.nextEjectionEnd = time.Time{}
	for _, s := range p.all {
		if now.Before(s.ejectedUntil) && (p.nextEjectionEnd.IsZero() || s.ejectedUntil.Before(p.nextEjectionEnd)) {
			p.nextEjectionEnd = s.ejectedUntil
		}
	}
	p.tiersStale = false
}
