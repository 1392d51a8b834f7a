package quarantine

import (
	"slices"
	"time"
)

// find returns the index of a fingerprint among the suspects.
func (d *Death) find(f Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(d.Suspects, f, func(s Suspect, f Fingerprint) int {
		return compareFingerprints(s.Fingerprint, f)
	})
}

// cleared returns the time up to which deaths do not count against a fingerprint.
func (s *Set) cleared(f Fingerprint) time.Time {
	if lift := s.lifted[f]; lift.After(s.survived[f]) {
		return lift
	}
	return s.survived[f]
}

// blamed returns the deaths that a fingerprint is not cleared of, in order of time.
func (s *Set) blamed(now time.Time, f Fingerprint) []*Death {
	ds := s.byPrint[f]
	if len(ds) == 0 {
		return nil
	}
	cleared := s.cleared(f)
	first := slices.IndexFunc(ds, func(d *Death) bool {
		return d.At.After(cleared) && now.Sub(d.At) < Expiry
	})
	if first < 0 {
		return nil
	}
	return ds[first:]
}

// counted returns the deaths that count against a fingerprint: the first one, and
// each where the run started after the one counted before.
func (s *Set) counted(now time.Time, f Fingerprint) []*Death {
	var out []*Death
	for _, d := range s.blamed(now, f) {
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

// refusedUntil returns the end of the refusal of a fingerprint; zero if there is
// none.
func (s *Set) refusedUntil(now time.Time, f Fingerprint) time.Time {
	counted := s.counted(now, f)
	if len(counted) < refusingDeaths {
		return time.Time{}
	}
	if s.candidates(counted) > maxCandidates || s.commonCause(counted, f) {
		return counted[len(counted)-1].At.Add(ambiguousTime)
	}
	return counted[len(counted)-refusingDeaths].At.Add(Expiry)
}

// candidates counts the fingerprints that may have caused all of these deaths: they
// were present at each and have not completed since the first.
func (s *Set) candidates(deaths []*Death) int {
	n := 0
	for _, suspect := range deaths[0].Suspects {
		f := suspect.Fingerprint
		if !deaths[0].At.After(s.cleared(f)) {
			continue
		}
		everywhere := !slices.ContainsFunc(deaths[1:], func(d *Death) bool {
			_, ok := d.find(f)
			return !ok
		})
		if everywhere {
			n++
		}
	}
	return n
}

// commonCause tells whether the deaths are likely to have another cause: they are
// close together, and so is a death at which the fingerprint did not run.
func (s *Set) commonCause(deaths []*Death, f Fingerprint) bool {
	first, last := deaths[0].At, deaths[len(deaths)-1].At
	if last.Sub(first) > closeTime {
		return false
	}
	for _, d := range s.deaths {
		if d.At.Before(first.Add(-closeTime)) || d.At.After(last.Add(closeTime)) {
			continue
		}
		if _, ran := d.find(f); !ran {
			return true
		}
	}
	return false
}
