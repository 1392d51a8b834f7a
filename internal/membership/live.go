package membership

import (
	"time"
)

// Revision changes whenever the result of Members changes, but for the applied
// sequence numbers.
func (s *State) Revision() uint64 { return s.revision }

// Live returns the members that are not dead and have not left, self included,
// by name.
func (s *State) Live() []Member {
	var out []Member
	placed := s.self.Status == Left
	for _, id := range s.ids {
		if !placed && s.self.ID < id {
			out = append(out, s.Self())
			placed = true
		}
		if r := s.members[id]; r.Status < Dead {
			out = append(out, r.Member)
		}
	}
	if !placed {
		out = append(out, s.Self())
	}
	return out
}

// LiveDigest identifies the names and incarnations of the live members.
func (s *State) LiveDigest() uint64 {
	if v := s.view(); v.liveDigest == 0 {
		for _, m := range s.Live() {
			m.Version = 0
			v.liveDigest ^= hashOf(&m)
		}
	}
	return s.view().liveDigest
}

// Rank returns how many live members of the own data centre have a lower name.
func (s *State) Rank() int {
	n := 0
	for _, id := range s.view().live[s.self.DataCentre] {
		if id < s.self.ID && s.members[id].Status == Alive {
			n++
		}
	}
	return n
}

// Partners returns some of the members to exchange with, in several data centres
// where there are any.
func (s *State) Partners() []Member {
	v := s.view()
	var out []Member
	for _, id := range v.near[:min(len(v.near), 3)] {
		out = append(out, s.members[id].Member)
	}
	for _, dc := range v.dcs {
		if id, ok := v.far[dc]; ok && len(out) < 6 {
			out = append(out, s.members[id].Member)
		}
	}
	return out
}

// EvidenceAges returns the age of the newest information by data centre, and of
// the platform under PlatformSource.
func (s *State) EvidenceAges(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for source, t := range s.evidence {
		out[source] = age(now, t)
	}
	return out
}
