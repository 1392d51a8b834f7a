package sidecar

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/quarantine"
)

const (
	// trialTime is how long a node may hold a trial before a call has to use it.
	trialTime = 10 * time.Second
	// wantedTime is how long a refused request is remembered. It exceeds the time until the
	// first trial, for requests that are not sent often.
	wantedTime = 30 * time.Second
	// maxWanted bounds the requests of which trials are wanted.
	maxWanted = 64
)

// heldTrial is a trial that this node has claimed.
type heldTrial struct {
	trial quarantine.Trial
	until time.Time
}

// trials holds the trials of refused requests that this node wants or has claimed.
type trials struct {
	wanted map[quarantine.Fingerprint]time.Time // when the request was last refused
	claims map[quarantine.Trial]uint64          // nonces of this node's claims
	held   map[quarantine.Fingerprint]heldTrial
}

func newTrials() trials {
	return trials{
		wanted: map[quarantine.Fingerprint]time.Time{}, claims: map[quarantine.Trial]uint64{},
		held: map[quarantine.Fingerprint]heldTrial{},
	}
}

// want records that a refused request was sent. It returns whether that is new.
func (t *trials) want(now time.Time, f quarantine.Fingerprint) bool {
	_, known := t.wanted[f]
	if !known && len(t.wanted) >= maxWanted {
		return false
	}
	t.wanted[f] = now
	return !known
}

// claim returns the nonce under which this node claims a trial: the same each time, since an
// earlier write may have been performed without a response.
func (t *trials) claim(trial quarantine.Trial) uint64 {
	if t.claims[trial] == 0 {
		t.claims[trial] = rand.Uint64() | 1
	}
	return t.claims[trial]
}

// claimed records under which nonce a trial is claimed, and holds it if that is this node's.
// The claim is learned from the store and not from the response to the write, which may be lost.
func (t *trials) claimed(now time.Time, trial quarantine.Trial, nonce uint64) {
	own, ok := t.claims[trial]
	if !ok {
		return
	}
	delete(t.claims, trial)
	if own == nonce {
		t.held[trial.Fingerprint] = heldTrial{trial: trial, until: now.Add(trialTime)}
	}
}

// use returns the trial that this node holds for a fingerprint and ends holding it; nil if it
// holds none.
func (t *trials) use(now time.Time, f quarantine.Fingerprint) *heldTrial {
	held, ok := t.held[f]
	delete(t.held, f)
	if !ok || !now.Before(held.until) {
		return nil
	}
	return &held
}

// giveBack holds a trial again that was used by a call which has not run.
func (t *trials) giveBack(held heldTrial) { t.held[held.trial.Fingerprint] = held }

// expire removes what has not been used in time.
func (t *trials) expire(now time.Time) {
	maps.DeleteFunc(t.wanted, func(_ quarantine.Fingerprint, at time.Time) bool { return now.Sub(at) > wantedTime })
	maps.DeleteFunc(t.held, func(_ quarantine.Fingerprint, h heldTrial) bool { return !now.Before(h.until) })
}
