package quarantine

import (
	"encoding/hex"
	"maps"
	"strconv"
	"strings"
	"time"
)

// trialDelays are the times after the latest counted death at which a refused request may
// run again, one for each trial. A request that crashes its backend server at every trial
// causes as many further deaths within Expiry.
var trialDelays = [...]time.Duration{10 * time.Second, 2 * time.Minute, 15 * time.Minute}

// maxTrials bounds the trials that a Set knows.
const maxTrials = 4096

// Trial is a single run of a request that is otherwise refused. A refused request could
// not complete, so nothing else would ever refute a wrong suspicion. One node of the fleet
// may hold a trial, which nodes ensure by claiming its key.
type Trial struct {
	Fingerprint Fingerprint
	Death       DeathID // the latest death that counts against the fingerprint
	Number      int     // index in trialDelays
}

// trialPrefix begins the keys of trials.
const trialPrefix = "trial-"

// Key returns the name by which nodes claim the trial.
func (t Trial) Key() string {
	return trialPrefix + t.Fingerprint.String() + "-" + hex.EncodeToString(t.Death[:]) + "-" + strconv.Itoa(t.Number)
}

// ParseTrial parses the output of Trial.Key. ok is false if the key is not that of a trial.
func ParseTrial(key string) (t Trial, ok bool) {
	rest, ok := strings.CutPrefix(key, trialPrefix)
	parts := strings.Split(rest, "-")
	if !ok || len(parts) != 3 {
		return Trial{}, false
	}
	f, err := ParseFingerprint(parts[0])
	if err != nil {
		return Trial{}, false
	}
	death, err := ParseFingerprint(parts[1]) // of the same length
	if err != nil {
		return Trial{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(trialDelays) {
		return Trial{}, false
	}
	t = Trial{Fingerprint: f, Death: DeathID(death), Number: n}
	return t, t.Key() == key // there is one spelling
}

// RecordTrial records that a node holds a trial.
func (s *Set) RecordTrial(t Trial) {
	if len(s.trials) < maxTrials {
		s.trials[t] = true
	}
}

// NextTrial returns the next trial of a refused fingerprint and the time from which it may be
// claimed. ok is false if the fingerprint is not refused, or was tried too often.
func (s *Set) NextTrial(now time.Time, f Fingerprint) (t Trial, from time.Time, ok bool) {
	if !s.refusedUntil(now, f).After(now) {
		return Trial{}, time.Time{}, false
	}
	counted := s.countedDeaths(now, f)
	last := counted[len(counted)-1]
	t = Trial{Fingerprint: f, Death: last.ID, Number: len(counted) - minRefusalDeaths}
	for t.Number < len(trialDelays) && s.trials[t] {
		t.Number++ // it has been held and did not tell whether the request is harmless
	}
	if t.Number >= len(trialDelays) {
		return Trial{}, time.Time{}, false
	}
	return t, last.At.Add(trialDelays[t.Number]), true
}

// expireTrials removes the trials of deaths that are gone.
func (s *Set) expireTrials() {
	maps.DeleteFunc(s.trials, func(t Trial, _ bool) bool { return s.deaths[t.Death] == nil })
}
