package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxSuspects bounds the suspects of one death. It leaves room above two
	// fingerprints for each of 100 slots.
	MaxSuspects = 256

	// recentRetention is the minimum time for which completed runs are kept, unless
	// maxRecent is reached. All nodes learn of a death well within it.
	recentRetention = 30 * time.Second

	// maxRecent bounds the completed fingerprints kept for recentRetention. 41 requests
	// per second with two fingerprints each make 2,460.
	maxRecent = 8192
)

// RunTracker tracks the attempts that run on the node's backend server, and which
// fingerprints have completed there recently. It is not safe for concurrent use.
type RunTracker struct {
	running map[string]activeRun // by attempt ID

	// Completion times in two generations. When recent is full or old enough, it
	// replaces older.
	recent, older map[Fingerprint]time.Time
	recentSince   time.Time
}

// activeRun is an attempt that runs on the backend server.
type activeRun struct {
	started      time.Time
	fingerprints []Fingerprint
}

// NewRunTracker returns a tracker without any runs.
func NewRunTracker() *RunTracker {
	return &RunTracker{
		running: make(map[string]activeRun),
		recent:  make(map[Fingerprint]time.Time),
	}
}

// Start records that an attempt is sent to the backend server.
func (r *RunTracker) Start(now time.Time, attempt string, fingerprints ...Fingerprint) {
	r.running[attempt] = activeRun{started: now, fingerprints: fingerprints}
}

// Finish records the end of an attempt. An attempt is completed if the backend server
// sent a whole response. Attempts that BackendDied has already ended are ignored.
func (r *RunTracker) Finish(now time.Time, attempt string, completed bool) {
	run, ok := r.running[attempt]
	if !ok {
		return
	}
	delete(r.running, attempt)
	if !completed {
		return
	}
	if now.Sub(r.recentSince) > recentRetention || len(r.recent) >= maxRecent {
		r.older, r.recent = r.recent, make(map[Fingerprint]time.Time)
		r.recentSince = now
	}
	for _, f := range run.fingerprints {
		r.recent[f] = now
	}
}

// BackendDied ends all running attempts and returns their fingerprints as suspects. If
// there are more than MaxSuspects, those with the longest runs are left out, because a
// crashing request usually crashes the backend server soon after its start.
func (r *RunTracker) BackendDied(now time.Time) []Suspect {
	ages := make(map[Fingerprint]time.Duration)
	for _, run := range r.running {
		age := max(now.Sub(run.started), 0).Truncate(time.Microsecond)
		for _, f := range run.fingerprints {
			if shortest, ok := ages[f]; !ok || age < shortest {
				ages[f] = age
			}
		}
	}
	clear(r.running)
	suspects := make([]Suspect, 0, len(ages))
	for f, age := range ages {
		suspects = append(suspects, Suspect{f, min(age, maxRunAge)})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), compareFingerprints(a.Fingerprint, b.Fingerprint))
	})
	suspects = suspects[:min(len(suspects), MaxSuspects)]
	slices.SortFunc(suspects, func(a, b Suspect) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return suspects
}

// CompletedAfter returns, for a death, which of its suspects have completed on this node
// after it. It is to be called for each death that the node learns of, and the result is
// to be merged and published.
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

// MayStart reports whether an attempt with these fingerprints may start now. It may not
// if one of them is a suspect of a death and another suspect of that death is running. It
// must then be refused or wait.
func (r *RunTracker) MayStart(now time.Time, s *Set, fingerprints ...Fingerprint) bool {
	for _, f := range fingerprints {
		for _, d := range s.uncleared(now, f) {
			if r.otherSuspectRuns(now, s, d, fingerprints) {
				return false
			}
		}
	}
	return true
}

// otherSuspectRuns reports whether a suspect of the death that is not in own and not
// cleared of the death is running on this node.
func (r *RunTracker) otherSuspectRuns(now time.Time, s *Set, d *Death, own []Fingerprint) bool {
	for _, run := range r.running {
		for _, f := range run.fingerprints {
			if !slices.Contains(own, f) && slices.Contains(s.uncleared(now, f), d) {
				return true
			}
		}
	}
	return false
}
