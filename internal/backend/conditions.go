package backend

import "time"

// conditionTTL is how long a condition is kept that was not told again. It is longer than any
// backend server that leaves, or any outage of the store, takes.
const conditionTTL = 10 * time.Minute

// Conditions holds what a node has heard of the conditions of other nodes' backend servers.
// Nodes beside backend servers lose their knowledge when they restart; those that have heard
// of it remember. An entry holds for one incarnation and ends with news of a later one. The
// zero value is empty. It is not safe for concurrent use.
type Conditions struct {
	byID    map[string]*condition
	sweepAt time.Time // of the next removal of expired entries
}

// condition is what is known of the latest incarnation of a backend server.
type condition struct {
	born      int64
	heardAt   time.Time
	rateLimit *float64 // requests per second, nil for none
	leaving   bool
}

// RateLimit returns the rate limit that an incarnation or a later one has named, and which one
// that was; nil if there is none.
func (cs *Conditions) RateLimit(i Incarnation) (*float64, Incarnation) {
	c := cs.byID[i.ID]
	if c == nil || c.born < i.Born {
		return nil, Incarnation{}
	}
	return c.rateLimit, Incarnation{i.ID, c.born}
}

// SetRateLimit records the rate limit of an incarnation; nil for none.
func (cs *Conditions) SetRateLimit(now time.Time, i Incarnation, rate *float64) {
	if c := cs.entry(now, i); c != nil {
		c.rateLimit = rate
	}
}

// SetLeaving records that an incarnation leaves, which never changes.
func (cs *Conditions) SetLeaving(now time.Time, i Incarnation) {
	if c := cs.entry(now, i); c != nil {
		c.leaving = true
	}
}

// Leaving reports whether an incarnation or a later one leaves.
func (cs *Conditions) Leaving(i Incarnation) bool {
	c := cs.byID[i.ID]
	return c != nil && c.born >= i.Born && c.leaving
}

// entry returns the entry of an incarnation, or nil if a later one is known.
func (cs *Conditions) entry(now time.Time, i Incarnation) *condition {
	cs.sweep(now)
	c := cs.byID[i.ID]
	switch {
	case c == nil || c.born < i.Born:
		c = &condition{born: i.Born}
		if cs.byID == nil {
			cs.byID = map[string]*condition{}
		}
		cs.byID[i.ID] = c
	case c.born > i.Born:
		return nil
	}
	c.heardAt = now
	return c
}

// sweep removes expired entries, so that the backend servers that have ever existed do not
// add up.
func (cs *Conditions) sweep(now time.Time) {
	if now.Before(cs.sweepAt) {
		return
	}
	cs.sweepAt = now.Add(conditionTTL)
	for id, c := range cs.byID {
		if now.Sub(c.heardAt) >= conditionTTL {
			delete(cs.byID, id)
		}
	}
}
