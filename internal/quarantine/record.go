package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxSuspects bounds the suspects of one death: two fingerprints for each of
	// 100 slots, and some room.
	MaxSuspects = 256

	// recentTime is how long completed runs are remembered at least. A death
	// reaches all nodes well within it.
	recentTime = 30 * time.Second

	// recentLimit bounds the completed fingerprints remembered in recentTime. 41
	// calls a second with two fingerprints each make 2,460.
	recentLimit = 8192
)

// RunTracker is the guard's list of what runs on the backend server beside it.
type RunTracker struct {
	running map[string]run // by attempt ID

	// Completion times in two generations; the older one is dropped as a whole.
	recent, older map[Fingerprint]time.Time
	recentSince   time.Time
}

type run struct {
	started      time.Time
	fingerprints []Fingerprint
}

// NewRunTracker returns an empty record.
func NewRunTracker() *RunTracker {
	return &RunTracker{
		running: make(map[string]run),
		recent:  make(map[Fingerprint]time.Time),
	}
}

// Start records that the attempt is sent to the backend server.
func (r *RunTracker) Start(now time.Time, attempt string, fingerprints ...Fingerprint) {
	r.running[attempt] = run{started: now, fingerprints: fingerprints}
}

// Finish records the end of an attempt. It is completed if the backend server sent
// a whole response. An attempt that ended with a death is ignored.
func (r *RunTracker) Finish(now time.Time, attempt string, completed bool) {
	c, ok := r.running[attempt]
	if !ok {
		return
	}
	delete(r.running, attempt)
	if !completed {
		return
	}
	if now.Sub(r.recentSince) > recentTime || len(r.recent) >= recentLimit {
		r.older, r.recent = r.recent, make(map[Fingerprint]time.Time)
		r.recentSince = now
	}
	for _, f := range c.fingerprints {
		r.recent[f] = now
	}
}

// BackendDied returns the suspects and forgets the running attempts. If there are
// more than MaxSuspects, those that ran longest are left out: a crashing request
// usually crashes soon after its start.
func (r *RunTracker) BackendDied(now time.Time) []Suspect {
	youngest := make(map[Fingerprint]time.Duration)
	for _, c := range r.running {
		age := max(now.Sub(c.started), 0).Truncate(time.Microsecond)
		for _, f := range c.fingerprints {
			if known, ok := youngest[f]; !ok || age < known {
				youngest[f] = age
			}
		}
	}
	clear(r.running)
	suspects := make([]Suspect, 0, len(youngest))
	for f, age := range youngest {
		suspects = append(suspects, Suspect{f, min(age, maxAge)})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), compareFingerprints(a.Fingerprint, b.Fingerprint))
	})
	suspects = suspects[:min(len(suspects), MaxSuspects)]
	slices.SortFunc(suspects, func(a, b Suspect) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return suspects
}

// CompletedAfter returns the suspects of a death that completed here after it, to be
// merged and spread. It is called for each death that the node learns of.
func (r *RunTracker) CompletedAfter(d Death) []Completion {
	var out []Completion
	for _, s := range d.Suspects {
		at, ok := r.recent[s.Fingerprint]
		if !ok {
			at, ok = r.older[s.Fingerprint]
		}
		if ok && at.After(d.At) {
			out = append(out, Completion{s.Fingerprint, at})
		}
	}
	return out
}

// MayStart tells whether a call may start now: not if it is a suspect of a death
// and another suspect of that death is running. A call that may not start is
// refused as not run or waits.
func (r *RunTracker) MayStart(now time.Time, s *Set, fingerprints ...Fingerprint) bool {
	for _, f := range fingerprints {
		for _, d := range s.blamed(now, f) {
			if r.runsOther(now, s, d, fingerprints) {
				return false
			}
		}
	}
	return true
}

// runsOther tells whether a suspect of the death, other than the given ones, runs
// here and is not cleared of it.
func (r *RunTracker) runsOther(now time.Time, s *Set, d *Death, own []Fingerprint) bool {
	for _, c := range r.running {
		for _, f := range c.fingerprints {
			if !slices.Contains(own, f) && slices.Contains(s.blamed(now, f), d) {
				return true
			}
		}
	}
	return false
}
