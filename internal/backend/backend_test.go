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

// TestDrainingIsFinal guards against a late announcement that makes a leaving
// backend server ready again.
func TestDrainingIsFinal(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 1, platform.Ready))
	if !s.Apply(now, announce("a", 1, 3, platform.Draining)) {
		t.Fatal("draining changed nothing")
	}
	s.Apply(now, announce("a", 1, 2, platform.Ready))
	s.Apply(now, announce("a", 1, 4, platform.Ready))
	if s.Ready() {
		t.Error("ready after it was draining")
	}
}

// TestEarlierStart guards against an announcement that a partition has held up
// until a new backend server runs at the address.
func TestEarlierStart(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("new", 2, 1, platform.Ready))
	if s.Apply(now, announce("old", 1, 90, platform.Draining)) || s.ID != "new" || !s.Ready() {
		t.Errorf("an earlier start changed the belief to %+v", s.Announcement)
	}
}

// TestSameIDStartsAgain guards against ignoring a backend server whose sequence
// starts anew under its old ID.
func TestSameIDStartsAgain(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 50, platform.Draining))
	if !s.Apply(now, announce("a", 2, 1, platform.Ready)) || !s.Ready() {
		t.Error("the new start is not ready")
	}
}

// TestNoticeOfTheEnd guards against work for a backend server that said only that
// it ends, while its last announcement arrives after that.
func TestNoticeOfTheEnd(t *testing.T) {
	now := time.Unix(100, 0)
	var s Server
	s.Apply(now, announce("a", 1, 5, platform.Ready))
	if !s.Apply(now, platform.Announcement{ID: "a", State: platform.Gone}) || s.Ready() {
		t.Fatal("still ready after the notice")
	}
	s.Apply(now.Add(3*time.Second), announce("a", 1, 6, platform.Ready))
	s.Apply(now.Add(4*time.Second), announce("a", 1, 7, platform.Ready))
	if s.Ready() {
		t.Error("late announcements made it ready again")
	}
}

// TestLateNotice guards against losing a backend server for good because the
// notice of an earlier start under the same ID arrived late.
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
		t.Error("not ready although it has announced itself for 18 s")
	}
}

// TestRestoreYields guards against an earlier process's view that hides the
// present backend server.
func TestRestoreYields(t *testing.T) {
	var s Server
	s.Restore(announce("a", 1, 0, platform.Draining))
	if s.Ready() {
		t.Error("ready although the earlier process knew that it leaves")
	}
	s.Apply(time.Unix(1, 0), announce("a", 1, 9, platform.Ready))
	if s.Ready() {
		t.Error("a late announcement undid what the earlier process knew")
	}
	s.Apply(time.Unix(1, 0), announce("b", 2, 1, platform.Ready))
	if !s.Ready() {
		t.Error("the next backend server is not ready")
	}
}
