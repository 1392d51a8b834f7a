package quarantine

import (
	"slices"
	"time"
)

// suspectIndex returns the index of a fingerprint among the suspects.
func (d *Death) suspectIndex(f Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(d.Suspects, f, func(s Suspect, f Fingerprint) int {
		return compareFingerprints(s.Fingerprint, f)
	})
}

// uncleared returns the deaths after the last completion of a fingerprint that have not
// expired, in order of time.
func (s *Set) uncleared(now time.Time, f Fingerprint) []*Death {
	ds := s.byFingerprint[f]
	if len(ds) == 0 {
		return nil
	}
	cleared := s.completedAt[f]
	first := slices.IndexFunc(ds, func(d *Death) bool {
		return d.At.After(cleared) && now.Sub(d.At) < Expiry
	})
	if first < 0 {
		return nil
	}
	return ds[first:]
}

// countedDeaths returns the deaths that count against a fingerprint: the first uncleared
// one, and each at which the run started after the previously counted one.
func (s *Set) countedDeaths(now time.Time, f Fingerprint) []*Death {
	var out []*Death
	for _, d := range s.uncleared(now, f) {
		if len(out) > 0 {
			suspect, _ := d.suspect(f)
			started := d.At.Add(-suspect.Age)
			if started.Add(clockTolerance).Before(out[len(out)-1].At) {
				continue
			}
		}
		out = append(out, d)
	}
	return out
}

// refusedUntil returns the end of the refusal of a fingerprint, or zero if it is not
// refused.
func (s *Set) refusedUntil(now time.Time, f Fingerprint) time.Time {
	counted := s.countedDeaths(now, f)
	if len(counted) < minRefusalDeaths {
		return time.Time{}
	}
	if s.countCandidates(counted) > maxCandidates || s.maybeCommonCause(counted, f) {
		return counted[len(counted)-1].At.Add(ambiguousRefusalTime)
	}
	return counted[len(counted)-minRefusalDeaths].At.Add(Expiry)
}

// countCandidates returns the number of fingerprints that may have caused all of these
// deaths: those that were running at each and are not cleared of the first.
func (s *Set) countCandidates(deaths []*Death) int {
	n := 0
	for _, suspect := range deaths[0].Suspects {
		f := suspect.Fingerprint
		if !deaths[0].At.After(s.completedAt[f]) {
			continue
		}
		atAll := !slices.ContainsFunc(deaths[1:], func(d *Death) bool {
			_, ok := d.suspectIndex(f)
			return !ok
		})
		if atAll {
			n++
		}
	}
	return n
}

// maybeCommonCause reports whether something other than the request may have caused the
// deaths: they are within commonCauseWindow of each other and of another death at which
// the request was not running.
func (s *Set) maybeCommonCause(deaths []*Death, f Fingerprint) bool {
	first, last := deaths[0].At, deaths[len(deaths)-1].At
	if last.Sub(first) > commonCauseWindow {
		return false
	}
	for _, d := range s.deaths {
		if d.At.Before(first.Add(-commonCauseWindow)) || d.At.After(last.Add(commonCauseWindow)) {
			continue
		}
		if _, ran := d.suspectIndex(f); !ran {
			return true
		}
	}
	return false
}
