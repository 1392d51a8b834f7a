package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

func named(rate float64) platform.Condition { return platform.Condition{RateLimit: &rate} }

// TestRateLimitFollowsResponses guards against a limit that is ended by a response that was
// on its way for longer than the one that named it, by a refusal, by a header that cannot be
// parsed or by another incarnation, and against one that does not end.
func TestRateLimitFollowsResponses(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s Server
	s.Apply(start, platform.Announcement{ID: "i-1", State: platform.Ready, Slots: 4, Sequence: 1, Born: 7})
	own, other := s.Incarnation(), Incarnation{"i-1", 6}
	for i, x := range []struct {
		incarnation  Incarnation
		sent, arrive int
		run          bool
		condition    platform.Condition
		want         float64 // 0 for no limit
	}{
		{own, 0, 10, true, named(12), 12},
		{own, 5, 15, true, platform.Condition{}, 12}, // sent before the limit was named
		{own, 20, 30, false, platform.Condition{}, 12},
		{own, 20, 30, true, platform.Condition{RateLimitErr: errors.New("not a number")}, 12},
		{other, 20, 30, true, platform.Condition{}, 12},
		{other, 20, 30, true, named(3), 12},
		{own, 20, 30, true, named(8), 8},
		{own, 40, 50, true, platform.Condition{}, 0},
		{own, 60, 70, false, named(5), 5},
	} {
		s.ApplyResponse(Response{Incarnation: x.incarnation, SentAt: at(x.sent), ReceivedAt: at(x.arrive), Run: x.run, Condition: x.condition})
		got := 0.0
		if limit := s.RateLimit(); limit != nil {
			got = *limit
		}
		if got != x.want {
			t.Errorf("response %d: limit is %v, want %v", i, got, x.want)
		}
	}
	s.Apply(at(100), platform.Announcement{ID: "i-1", State: platform.Ready, Slots: 4, Sequence: 1, Born: 9})
	if s.RateLimit() != nil {
		t.Error("a new incarnation has the limit of the previous one")
	}
}

// TestRateLimitFromOtherNodes guards against a node that restarts and does not take the limit
// that others know, and against one that takes it although it knows better.
func TestRateLimitFromOtherNodes(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Restore(now, platform.Announcement{ID: "i-1", State: platform.Ready, Slots: 4, Born: 7}, nil)
	own := s.Incarnation()
	if s.AdoptRateLimit(now, Incarnation{"i-1", 6}, 3) || s.RateLimitKnown() {
		t.Error("took the limit of an earlier incarnation")
	}
	if !s.AdoptRateLimit(now, own, 8) || !s.AdoptRateLimit(now, own, 5) || s.AdoptRateLimit(now, own, 9) || *s.RateLimit() != 5 {
		t.Errorf("limit is %v, want the lowest that others know", *s.RateLimit())
	}
	s.ApplyResponse(Response{Incarnation: own, SentAt: now.Add(time.Second), ReceivedAt: now.Add(2 * time.Second), Run: true})
	if s.AdoptRateLimit(now, own, 5) || s.RateLimit() != nil {
		t.Error("took a limit from another node after a response without one")
	}
}

// TestConditions guards against the limit of one incarnation that is taken for that of
// another, and against entries that are kept for good.
func TestConditions(t *testing.T) {
	now, rate := time.Unix(100, 0), 5.0
	var cs Conditions
	first, second := Incarnation{"i-1", 7}, Incarnation{"i-1", 9}
	cs.SetRateLimit(now, first, &rate)
	if got, named := cs.RateLimit(first); got == nil || *got != rate || named != first {
		t.Errorf("limit is %v of %v", got, named)
	}
	if got, _ := cs.RateLimit(second); got != nil {
		t.Errorf("a later incarnation has the limit %v", *got)
	}
	cs.SetRateLimit(now, second, nil)
	cs.SetRateLimit(now, first, &rate)
	if got, _ := cs.RateLimit(first); got != nil {
		t.Errorf("a late response of an earlier incarnation set the limit %v", *got)
	}
	cs.SetLeaving(now, first) // late, too
	if cs.Leaving(first) || cs.Leaving(second) {
		t.Error("a later incarnation counts as leaving because an earlier one left")
	}
	cs.SetLeaving(now, second)
	if !cs.Leaving(first) || !cs.Leaving(second) || cs.Leaving(Incarnation{"i-1", 11}) {
		t.Error("want all incarnations up to the one that leaves, and no later one")
	}
	cs.SetRateLimit(now.Add(2*conditionTTL), Incarnation{"i-2", 1}, &rate)
	if len(cs.byID) != 1 {
		t.Errorf("%d entries after the first has expired, want 1", len(cs.byID))
	}
}

// TestLeavingStatedInResponse guards against a backend server that has stated that it leaves
// and becomes ready again by its own late announcements, and against one that is taken for
// its predecessor.
func TestLeavingStatedInResponse(t *testing.T) {
	now := time.Unix(100, 0)
	ready := func(born int64, sequence uint64) platform.Announcement {
		return platform.Announcement{ID: "i-1", State: platform.Ready, Slots: 4, Sequence: sequence, Born: born}
	}
	var s Server
	s.Apply(now, ready(7, 1))
	leaving := Response{Incarnation: s.Incarnation(), Run: true, Condition: platform.Condition{Leaving: true}}
	if c := s.ApplyResponse(leaving); !c.Leaving || s.Ready() {
		t.Fatalf("change %+v, ready %t after a response that states that it leaves", c, s.Ready())
	}
	if c := s.ApplyResponse(leaving); c.Leaving {
		t.Error("the second response counts as a change")
	}
	s.Apply(now, ready(7, 2))
	s.Apply(now, platform.Announcement{ID: "i-1", State: platform.Gone})
	for i := range uint64(10) {
		now = now.Add(2 * maxAnnouncementDelay)
		if s.Apply(now, ready(7, 3+i)); s.Ready() {
			t.Fatal("ready again after it has stated that it leaves")
		}
	}
	s.Apply(now, ready(now.UnixMilli(), 1)) // started after the announcement of gone
	s.ApplyResponse(leaving)                // a late one of the earlier incarnation
	if !s.Ready() {
		t.Error("the next incarnation is not ready")
	}
}
