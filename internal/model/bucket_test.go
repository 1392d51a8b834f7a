package model

import (
	"testing"
	"time"
)

// TestBucketBound guards against a bucket that grants more or less than its burst and rate
// under continuous demand.
func TestBucketBound(t *testing.T) {
	b := newBucket(80) // 100 tokens a second, burst 100
	taken := 0
	for at := time.Duration(0); at < 2*time.Second; at += time.Millisecond {
		if b.take(at) {
			taken++
		}
	}
	if taken < 298 || taken > 300 {
		t.Errorf("took %d tokens in 2 s, want the burst of 100 plus 2*100", taken)
	}
}

// TestRateHolds guards against calls that run without a token, and against refusals with
// reason over_share although no workspace exceeds its rate.
func TestRateHolds(t *testing.T) {
	g := graph(t, "obrecz/chain")
	sim := newSimulation(g, Scenarios()[3], Ours, 1)
	for sim.events.step(sim.phases.lastArrival + lateResponseTime) {
	}
	c, rate := sim.stats.workspaces[noisyWorkspace], baseLoad*g.Capacity(1)*workspaceShares[noisyWorkspace]*rateMargin
	// A request that arrives at the end of the overload runs before its client times out.
	most := rate * (overloadTime.Seconds() + clientTimeout.Seconds() + burstSeconds)
	least := 0.9 * rate * (overloadTime.Seconds() + burstSeconds)
	if u := float64(c.useful); u > most || u < least {
		t.Errorf("%.0f useful responses to the noisy workspace, want %.0f to %.0f", u, least, most)
	}
	if f := Run(g, Scenarios()[0], Ours, 1); f.WrongfulOverShare > 0 {
		t.Errorf("%.4f of the requests within the rate refused as over_share in the steady scenario, want 0", f.WrongfulOverShare)
	}
}
