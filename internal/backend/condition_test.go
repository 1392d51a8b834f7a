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
