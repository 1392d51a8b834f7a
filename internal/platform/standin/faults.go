package standin

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Faults says how the stand-in misbehaves. The zero value is a healthy platform.
//
// A probability is between 0 and 1 and is drawn for each call; the fields without
// a probability hold for every call. The faults of the n-th read and of the n-th
// write after SetFaults depend on Seed and n alone. If several faults are drawn
// for one call, down comes before a late write, and a late write before a lost
// response.
type Faults struct {
	Down          bool          `json:"down"`           // every call fails without effect
	Delay         time.Duration `json:"delay"`          // added to every call, in nanoseconds
	LoseResponses bool          `json:"lose_responses"` // writes take effect, then fail

	Seed            uint64  `json:"seed,omitempty"`
	DownProbability float64 `json:"down_probability,omitempty"` // of a call that fails without effect
	LoseProbability float64 `json:"lose_probability,omitempty"` // of a write that takes effect, then fails

	SlowProbability float64       `json:"slow_probability,omitempty"` // of a call that takes SlowDelay longer
	SlowDelay       time.Duration `json:"slow_delay,omitempty"`       // in nanoseconds

	// LateProbability is that of a write that fails at once and takes effect
	// LateDelay later. Its checks are made when it takes effect; if one fails
	// then, nothing is written.
	LateProbability float64       `json:"late_probability,omitempty"`
	LateDelay       time.Duration `json:"late_delay,omitempty"` // in nanoseconds
}

// Errors of an injected fault.
var (
	errDown         = errors.New("platform stand-in is down")
	errLostResponse = errors.New("platform stand-in lost the response")
	errLate         = errors.New("platform stand-in applies the write late")
)

// verdict is what one call suffers; lose and late have no effect on a read.
type verdict struct {
	down, lose, late bool
	delay            time.Duration
	lateDelay        time.Duration
}

// Streams of random numbers, so that reads do not shift the faults of writes.
const (
	readStream  = 1
	writeStream = 2
)

// source draws the faults of successive reads or of successive writes.
type source struct {
	faults Faults
	rnd    *rand.Rand
}

func newSource(f Faults, stream uint64) *source {
	return &source{faults: f, rnd: rand.New(rand.NewPCG(f.Seed, stream))}
}

// next draws the faults of the next call. Each call takes the same number of
// random numbers, so changing one probability leaves the other faults in place.
func (s *source) next() verdict {
	f := s.faults
	down := s.rnd.Float64() < f.DownProbability
	lose := s.rnd.Float64() < f.LoseProbability
	slow := s.rnd.Float64() < f.SlowProbability
	late := s.rnd.Float64() < f.LateProbability
	v := verdict{
		down:      down || f.Down,
		lose:      lose,
		late:      late,
		delay:     f.Delay,
		lateDelay: f.LateDelay,
	}
	if slow {
		v.delay += f.SlowDelay
	}
	return v
}
