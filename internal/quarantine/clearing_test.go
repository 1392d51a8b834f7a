package quarantine

import (
	"testing"
	"time"
)

// asStored returns the set of a node that starts with what others have stored: the deaths, and
// the completions that Unstored returns.
func asStored(now time.Time, s *Set) *Set {
	stored := NewSet()
	for _, d := range s.Deaths() {
		stored.Merge(now, Evidence{Deaths: []Death{d}})
	}
	stored.Merge(now, Evidence{Completions: s.Unstored(now)})
	return stored
}

// TestStoredEvidenceClears guards against a node that starts with the stored evidence only and
// refuses what the others do not.
func TestStoredEvidenceClears(t *testing.T) {
	s := NewSet()
	s.Merge(start, Evidence{Deaths: []Death{makeDeath(1, start, time.Millisecond, "table", "a")}})
	now := start.Add(time.Second)
	s.RecordCompletion(now, named("table"))
	if got := len(s.Unstored(now)); got != 1 {
		t.Fatalf("%d completions to store, want 1", got)
	}
	second := now.Add(time.Second)
	s.Merge(second, Evidence{Deaths: []Death{makeDeath(2, second, time.Millisecond, "table", "b")}})
	if _, refused := asStored(second, s).Refuses(second, named("table")); refused {
		t.Error("a node that has just started refuses a request that has completed between two deaths")
	}
	s.MarkStored(s.Unstored(second))
	if got := len(s.Unstored(second)); got != 0 {
		t.Errorf("%d completions are stored again", got)
	}
	s.RecordCompletion(second.Add(time.Second), named("table"))
	if got := len(s.Unstored(second)); got != 1 {
		t.Errorf("%d completions after the second death to store, want 1", got)
	}
}

// TestEvictedCompletionTakesSuspicion guards against evicting what refutes a suspicion before
// the suspicion.
func TestEvictedCompletionTakesSuspicion(t *testing.T) {
	s := NewSet()
	for i := range uint64(2) {
		at := start.Add(time.Duration(2*i) * time.Second)
		s.Merge(at, Evidence{Deaths: []Death{makeDeath(i, at, time.Millisecond, "table")}})
		s.RecordCompletion(at.Add(time.Second), named("table"))
	}
	now := start.Add(5 * time.Second)
	var others []Completion
	for i := range MaxCompletions {
		others = append(others, Completion{named(string(rune(i)) + "other"), now})
	}
	s.Merge(now, Evidence{Completions: others})
	if s.Suspected(now, named("table")) {
		t.Error("a request is suspected again once its completion is evicted")
	}
}

// TestTrialsOfCrashingRequest guards against trials that let a crashing request crash backend
// servers without bound: within an hour there are len(trialDelays) of them.
func TestTrialsOfCrashingRequest(t *testing.T) {
	s, now, deaths := NewSet(), start, uint64(0)
	for ; now.Sub(start) < Expiry; now = now.Add(time.Second) {
		trial, from, ok := s.NextTrial(now, named("crash"))
		_, refused := s.Refuses(now, named("crash"))
		if refused && (!ok || now.Before(from)) {
			continue
		}
		if refused {
			s.RecordTrial(trial)
		}
		deaths++
		s.Merge(now, Evidence{Deaths: []Death{makeDeath(deaths, now, time.Millisecond, "crash")}})
	}
	if want := uint64(minRefusalDeaths + len(trialDelays)); deaths > want {
		t.Errorf("%d deaths in an hour, want at most %d", deaths, want)
	}
}

// TestTrialsWithoutResult checks that a trial whose run tells nothing is followed by another,
// and that the number of them is bounded.
func TestTrialsWithoutResult(t *testing.T) {
	s := NewSet()
	for i := range uint64(2) {
		at := start.Add(time.Duration(i) * time.Second)
		s.Merge(at, Evidence{Deaths: []Death{makeDeath(i, at, time.Millisecond, "table")}})
	}
	last := start.Add(time.Second)
	for i, delay := range trialDelays {
		trial, from, ok := s.NextTrial(last, named("table"))
		if !ok || !from.Equal(last.Add(delay)) || trial.Number != i {
			t.Fatalf("trial %d: %+v from %v, %t", i, trial, from.Sub(last), ok)
		}
		if parsed, ok := ParseTrial(trial.Key()); !ok || parsed != trial {
			t.Errorf("key %q is read as %+v, %t", trial.Key(), parsed, ok)
		}
		s.RecordTrial(trial)
	}
	if _, _, ok := s.NextTrial(last, named("table")); ok {
		t.Error("another trial after the last")
	}
}

// FuzzParseTrial checks that keys of other programs are not taken for trials.
func FuzzParseTrial(f *testing.F) {
	f.Add(Trial{Fingerprint: named("a"), Death: deathID(1), Number: 2}.Key())
	f.Add("trial--1-")
	f.Fuzz(func(t *testing.T, key string) {
		if trial, ok := ParseTrial(key); ok && trial.Key() != key {
			t.Errorf("%q is read as %q", key, trial.Key())
		}
	})
}
