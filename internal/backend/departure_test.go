package backend

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/platform"
)

func init() {
	// Use the same cases in every run; -rapid.seed overrides the seed.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// nodeModel is a node whose process restarts, with its row in the store and the backend servers
// that run beside it one after the other.
type nodeModel struct {
	now    time.Time
	server Server // of the process
	read   bool   // the process has read the row

	row        platform.Announcement // as stored
	departures []Departure

	running      Incarnation
	leaving      bool // the running one has said so
	sequence     uint64
	late         []platform.Announcement // heartbeats that may still arrive
	acknowledged map[Incarnation]bool    // leavings
}

func (m *nodeModel) apply(a platform.Announcement) { m.server.Apply(m.now, a) }

// store writes the row if the process may, and reports whether it has.
func (m *nodeModel) store() bool {
	if m.read {
		m.row, m.departures = m.server.Announcement, m.server.Departures()
		m.row.Sequence = 0 // which is not stored
	}
	return m.read
}

func (m *nodeModel) heartbeat(state platform.State) platform.Announcement {
	m.sequence++
	return announce(m.running.ID, m.running.Born, m.sequence, state)
}

func (m *nodeModel) actions() map[string]func(*rapid.T) {
	announces := func() bool { return m.running.ID != "" && !m.leaving }
	leave := func(a platform.Announcement) {
		m.leaving = true
		m.apply(a)
		if m.store() {
			m.acknowledged[m.running] = true
		}
	}
	return map[string]func(*rapid.T){
		"start backend server": func(t *rapid.T) {
			m.running = Incarnation{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), m.now.UnixMilli()}
			m.leaving, m.sequence = false, 0
		},
		"heartbeat": func(t *rapid.T) {
			if !announces() {
				return
			}
			m.apply(m.heartbeat(platform.Ready))
			if s := &m.server; s.Incarnation() != m.running || !s.Ready() {
				t.Fatalf("%+v after a heartbeat of %+v", s.Announcement, m.running)
			}
		},
		"late heartbeat sent": func(*rapid.T) {
			if announces() {
				m.late = append(m.late, m.heartbeat(platform.Ready))
			}
		},
		"late heartbeat arrives": func(t *rapid.T) {
			if len(m.late) > 0 {
				m.apply(rapid.SampledFrom(m.late).Draw(t, "heartbeat"))
			}
		},
		"draining": func(*rapid.T) {
			if m.running.ID != "" {
				leave(m.heartbeat(platform.Draining))
			}
		},
		"gone": func(*rapid.T) {
			if m.running.ID != "" {
				leave(platform.Announcement{ID: m.running.ID, State: platform.Gone})
			}
		},
		"row written": func(*rapid.T) { m.store() },
		"process restarts": func(*rapid.T) {
			m.server, m.read = Server{}, false
		},
		"row read": func(*rapid.T) {
			if !m.read {
				m.server.Restore(m.now, m.row, m.departures)
				m.read = true
			}
		},
		"": func(t *rapid.T) {
			m.now = m.now.Add(time.Millisecond)
			if s := &m.server; m.read && s.Ready() && m.acknowledged[s.Incarnation()] {
				t.Fatalf("%+v is ready, its leaving was acknowledged", s.Announcement)
			}
		},
	}
}

// TestAcknowledgedLeavingBinds guards against sending requests to a backend server after its
// leaving was acknowledged, whatever the process knew at that moment, what arrives late and how
// often the node restarts; and against not using one that is ready.
func TestAcknowledgedLeavingBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &nodeModel{now: time.UnixMilli(1_796_364_453_000), acknowledged: map[Incarnation]bool{}}
		t.Repeat(m.actions())
	})
}

// TestRestoreMerges guards against a late announcement that wins over what an earlier process
// has stored because it arrives before that is read, and the reverse.
func TestRestoreMerges(t *testing.T) {
	now := time.UnixMilli(1_796_364_453_000)
	born := now.UnixMilli() - 60_000
	gone := platform.Announcement{ID: "a", State: platform.Gone}
	for name, x := range map[string]struct {
		heard  []platform.Announcement
		stored platform.Announcement
		ready  string // ID of the ready backend server
	}{
		"nothing":                                     {nil, announce("a", born, 0, platform.Ready), "a"},
		"gone of an unknown one":                      {[]platform.Announcement{gone}, announce("a", born, 0, platform.Ready), ""},
		"gone, then a late heartbeat":                 {[]platform.Announcement{gone, announce("a", born, 7, platform.Ready)}, platform.Announcement{}, ""},
		"gone, then the next incarnation":             {[]platform.Announcement{gone, announce("a", born+70_000, 1, platform.Ready)}, announce("a", born, 0, platform.Ready), "a"},
		"gone of another":                             {[]platform.Announcement{announce("b", born+1, 7, platform.Ready), gone}, announce("a", born, 0, platform.Ready), "b"},
		"late heartbeat of an earlier one, then gone": {[]platform.Announcement{announce("b", born-1, 7, platform.Ready), gone}, announce("a", born, 0, platform.Ready), ""},
		"late heartbeat of a stored gone":             {[]platform.Announcement{announce("a", born, 7, platform.Ready)}, announce("a", born, 0, platform.Gone), ""},
		"late heartbeat of a stored draining":         {[]platform.Announcement{announce("a", born, 7, platform.Ready)}, announce("a", born, 0, platform.Draining), ""},
		"late heartbeat of an earlier one":            {[]platform.Announcement{announce("b", born-1, 7, platform.Ready)}, announce("a", born, 0, platform.Ready), "a"},
		"draining, stored ready":                      {[]platform.Announcement{announce("a", born, 7, platform.Draining)}, announce("a", born, 0, platform.Ready), ""},
		"draining that arrives behind a later heartbeat": {
			[]platform.Announcement{announce("a", born, 8, platform.Ready), announce("a", born, 7, platform.Draining)}, announce("a", born, 0, platform.Ready), "",
		},
	} {
		var s Server
		for _, a := range x.heard {
			s.Apply(now, a)
		}
		s.Restore(now, x.stored, nil)
		got := ""
		if s.Ready() {
			got = s.ID
		}
		if got != x.ready {
			t.Errorf("%s: ready is %q, want %q", name, got, x.ready)
		}
		var next Server // process
		next.Restore(now, s.Announcement, s.Departures())
		next.Apply(now.Add(time.Second), announce("a", born, 9, platform.Ready))
		if next.Ready() && next.ID != x.ready && x.ready != "" || next.Ready() && x.ready == "" {
			t.Errorf("%s: %s is ready in the next process after a late heartbeat", name, next.ID)
		}
	}
}
