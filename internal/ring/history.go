package ring

import (
	"errors"
	"fmt"
	"time"
)

// Times that the rules of claims and rate tokens share.
const (
	// FreshnessBound is the age of evidence after which a node is not fresh. A
	// fresh node knows every change log entry settled for longer than this.
	FreshnessBound = 8 * time.Second
	// IDLifetime is the age after which a request ID that may not be repeated is
	// refused.
	IDLifetime = 120 * time.Second
	// IDAhead is how far in the future a request ID may be.
	IDAhead = 5 * time.Second
	// MaxClockError is the largest difference from real time that is allowed for
	// the wall clock of a claim holder.
	MaxClockError = 30 * time.Second
	// RetireAfter is how long an epoch must have been settled before its
	// predecessors may be ended. The package comment derives it.
	RetireAfter = FreshnessBound + IDAhead + IDLifetime + 2*MaxClockError
)

// ErrGap means that the epochs between the newest known one and the given one
// are missing.
var ErrGap = errors.New("ring epochs are missing")

// History holds the epochs in force as far as a node knows them. It is
// immutable; the zero value knows no epoch.
type History struct {
	epochs []*Epoch // consecutive, oldest first
}

// NewHistory returns the history of a node that starts. It needs every epoch
// from the Oldest of the last one to the last one, in order.
func NewHistory(epochs []*Epoch) (History, error) {
	if len(epochs) == 0 {
		return History{}, nil
	}
	newest := epochs[len(epochs)-1]
	if epochs[0].number > newest.oldest {
		return History{}, fmt.Errorf("%w: epoch %d needs epochs from %d on, the first is %d",
			ErrGap, newest.number, newest.oldest, epochs[0].number)
	}
	for i := 1; i < len(epochs); i++ {
		if epochs[i].number != epochs[i-1].number+1 {
			return History{}, fmt.Errorf("%w: epoch %d follows %d", ErrGap, epochs[i].number, epochs[i-1].number)
		}
	}
	return History{}.append(epochs...), nil
}

// With returns the history after learning an epoch. An epoch that is already
// known changes nothing. With a gap it returns ErrGap, and the node must load
// all epochs in force with NewHistory.
func (h History) With(e *Epoch) (History, error) {
	newest := h.Newest()
	if newest == nil {
		return NewHistory([]*Epoch{e})
	}
	if e.number <= newest.number {
		return h, nil
	}
	if e.number != newest.number+1 {
		return h, fmt.Errorf("%w: epoch %d follows %d", ErrGap, e.number, newest.number)
	}
	return h.append(e), nil
}

func (h History) append(epochs ...*Epoch) History {
	all := append(append([]*Epoch(nil), h.epochs...), epochs...)
	for all[0].number < all[len(all)-1].oldest {
		all = all[1:]
	}
	return History{epochs: all}
}

// Newest returns the newest epoch, or nil if there is none.
func (h History) Newest() *Epoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return h.epochs[len(h.epochs)-1]
}

// InForce returns the epochs in force, oldest first. The caller must not change
// the slice.
func (h History) InForce() []*Epoch { return h.epochs }

// Settlements records since when each epoch is known to be settled. The node
// that commits epochs uses it to decide which older epochs a new one ends. The
// zero value is ready to use. It is not safe for concurrent use.
type Settlements struct {
	since map[int64]time.Time
}

// Settled records that the epoch with this number, and so all before it, were
// known to be settled at now.
func (s *Settlements) Settled(now time.Time, number int64) {
	if s.since == nil {
		s.since = make(map[int64]time.Time)
	}
	if _, ok := s.since[number]; !ok {
		s.since[number] = now
	}
}

// Oldest returns the Oldest for the next epoch to be committed after h. It may
// be larger than that of the newest epoch; the node then commits an epoch with
// unchanged members to end the old ones. It forgets epochs that have ended.
func (s *Settlements) Oldest(now time.Time, h History) int64 {
	if len(h.epochs) == 0 {
		return 1
	}
	oldest := h.epochs[0].number
	for number, since := range s.since {
		if number > oldest && number <= h.Newest().number && now.Sub(since) > RetireAfter {
			oldest = number
		}
	}
	for number := range s.since {
		if number < oldest {
			delete(s.since, number)
		}
	}
	return oldest
}

// After reports whether now is later than limit by the monotonic clock or by the
// wall clock. The monotonic clock stands still while a VM is suspended; the wall
// clock may be set back.
func After(now, limit time.Time) bool {
	return now.After(limit) || now.UnixNano() > limit.UnixNano()
}
