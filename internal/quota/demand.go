package quota

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate.
const demandWindow = 500 * time.Millisecond

// demand estimates the rate of an event with exponentially decaying weights.
type demand struct {
	rate float64 // events per second at the time last
	last time.Time
}

// add counts n events.
func (d *demand) add(now time.Time, n float64) {
	d.rate = d.at(now) + n/demandWindow.Seconds()
	if now.After(d.last) {
		d.last = now
	}
}

// at returns the rate at now.
func (d *demand) at(now time.Time) float64 {
	elapsed := now.Sub(d.last)
	if elapsed <= 0 || d.rate == 0 {
		return d.rate
	}
	return d.rate * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
