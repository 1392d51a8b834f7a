package backend

import (
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

func announce(id string, born int64, sequence uint64, state platform.State) platform.Announcement {
	return platform.Announcement{
		ID: id, Service: "stock", Address: "10.0.0.1:80", Slots: 8, State: state, Sequence: sequence, Born: born,
	}
}

// TestDrainingIsFinal guards against a late announcement making a draining backend server
// ready again.
func TestDrainingIsFinal(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 1, platform.Ready))
	if !s.Apply(now, announce("a", 1, 3, platform.Draining)) {
		t.Fatal("announcement of draining was ignored")
	}
	s.Apply(now, announce("a", 1, 2, platform.Ready))
	s.Apply(now, announce("a", 1, 4, platform.Ready))
	if s.Ready() {
		t.Error("ready again after draining")
	}
}

// TestEarlierStart guards against an announcement that was delayed by a network partition
// until a new backend server runs at the same address.
func TestEarlierStart(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("new", 2, 1, platform.Ready))
	if s.Apply(now, announce("old", 1, 90, platform.Draining)) || s.ID != "new" || !s.Ready() {
		t.Errorf("announcement of an earlier incarnation changed the state to %+v", s.Announcement)
	}
}

// TestSameIDStartsAgain guards against ignoring a restarted backend server that keeps its
// ID and whose sequence numbers start again at 1.
func TestSameIDStartsAgain(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 50, platform.Draining))
	if !s.Apply(now, announce("a", 2, 1, platform.Ready)) || !s.Ready() {
		t.Error("the new incarnation is not ready")
	}
}

// TestNoticeOfTheEnd guards against sending requests to a backend server that announced
// gone, without draining before, when its last ready announcements arrive after that.
func TestNoticeOfTheEnd(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 5, platform.Ready))
	if !s.Apply(now, platform.Announcement{ID: "a", State: platform.Gone}) || s.Ready() {
		t.Fatal("still ready after the announcement of gone")
	}
	s.Apply(now.Add(3*time.Second), announce("a", 1, 6, platform.Ready))
	s.Apply(now.Add(4*time.Second), announce("a", 1, 7, platform.Ready))
	if s.Ready() {
		t.Error("late announcements made the backend server ready again")
	}
}

// TestLateNotice guards against losing a backend server permanently because the
// announcement of gone of an earlier incarnation with the same ID arrived late.
func TestLateNotice(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 2, 1, platform.Ready))
	s.Apply(now, platform.Announcement{ID: "a", State: platform.Gone})
	for i := range uint64(12) {
		now = now.Add(1500 * time.Millisecond)
		s.Apply(now, announce("a", 2, 2+i, platform.Ready))
	}
	if !s.Ready() {
		t.Error("not ready although it has announced ready for 18 s")
	}
}

// TestRestoreYields guards against the state saved by an earlier node process preventing
// the next backend server from being accepted, and against a late announcement overriding
// that state.
func TestRestoreYields(t *testing.T) {
	var s Server
	s.Restore(time.Unix(1, 0), announce("a", 1, 0, platform.Draining), nil)
	if s.Ready() {
		t.Error("ready although the restored state is draining")
	}
	s.Apply(time.Unix(1, 0), announce("a", 1, 9, platform.Ready))
	if s.Ready() {
		t.Error("a late announcement overrode the restored state")
	}
	s.Apply(time.Unix(1, 0), announce("b", 2, 1, platform.Ready))
	if !s.Ready() {
		t.Error("the next incarnation is not ready")
	}
}

// TestStartInTheFuture guards against ignoring a backend server because another program has
// announced one that starts later, or has written it to the row of the node.
func TestStartInTheFuture(t *testing.T) {
	now := time.UnixMilli(1_796_364_453_000)
	odd := announce("i-odd", now.Add(time.Hour).UnixMilli(), 1, platform.Ready)
	good := announce("i-1", now.Add(5*time.Second).UnixMilli(), 1, platform.Ready)
	for name, apply := range map[string]func(s *Server){
		"announced": func(s *Server) { s.Apply(now, odd) },
		"restored":  func(s *Server) { s.Restore(now, odd, nil) },
	} {
		var s Server
		apply(&s)
		if s.Known() {
			t.Errorf("%s: %s is accepted", name, s.ID)
		}
		if !s.Apply(now, good) || s.ID != "i-1" {
			t.Errorf("%s: the real backend server is not accepted", name)
		}
	}
}
