package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is one node's view of the fleet. It is not safe for concurrent use.
type State struct {
	cfg        Config
	self       Member
	superseded bool
	members    map[string]*record // without self
	addresses  map[string]string  // peer address to ID
	digest     uint64             // over all records
	ids        []string           // of all records, sorted
	queue      []*record          // still to be passed on
	filler     int                // position of the round through the table
	cached     *view              // nil after a change of status or data centre
	revision   uint64             // counts the changes

	// appeared is when a member of a data centre last became alive that was dead
	// or unknown.
	appeared map[string]time.Time

	timers   timers
	round    []string        // rest of the shuffled round through the own data centre
	doubted  []string        // members with misses that are not suspected yet
	nextDC   int             // position of the round through the other data centres
	joined   bool            // has the member table, or has no seeds to get it from
	seeds    map[string]bool // addresses, and whether a table came from there
	fullDue  bool
	fullSent time.Time
	differed time.Time // since when digests have differed; zero if they agree
	lastFull time.Time

	knowledge
}

// record is what is known about another member.
type record struct {
	Member
	since time.Time // of the status
	sends int       // how often it is still to be passed on
	// misses counts the failed rounds of probes, direct and indirect, since the last
	// response.
	misses int
	hash   uint64
}

// view is derived from names, incarnations, statuses and data centres.
type view struct {
	dcs     []string // data centres, sorted, own included
	live    map[string][]string
	near    []string            // partners in the own data centre
	far     map[string]string   // partner in each other data centre
	others  map[string][]string // members other than self that have not left
	dead    []string
	left    []string
	suspect []string
	alive   int // self included
	// liveDigest is filled in on demand.
	liveDigest uint64
}

// New returns the state of a node that has just started.
func New(cfg Config, self Member, now time.Time) *State {
	if self.Status == 0 {
		self.Status = Alive
	}
	seeds := map[string]bool{}
	for _, address := range cfg.Seeds {
		seeds[address] = address == self.PeerAddress
	}
	cfg.Seeds = slices.DeleteFunc(slices.Clone(cfg.Seeds), func(a string) bool { return a == self.PeerAddress })
	return &State{
		cfg:       cfg.withDefaults(),
		self:      self,
		members:   map[string]*record{},
		addresses: map[string]string{},
		digest:    hashOf(&self),
		timers:    timers{local: now, remote: now, dead: now, seed: now, suspect: now},
		appeared:  map[string]time.Time{},
		joined:    len(cfg.Seeds) == 0,
		seeds:     seeds,
		fullDue:   true,
		knowledge: newKnowledge(),
	}
}

// Self returns the node's own record.
func (s *State) Self() Member {
	m := s.self
	m.AppliedSeq = max(0, s.seq)
	return m
}

// Superseded reports that another node has started under this node's name later.
func (s *State) Superseded() bool { return s.superseded }

// Members returns all members, self first and the others by name, dead and left
// ones included until they are forgotten.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.ids)+1)
	out = append(out, s.Self())
	for _, id := range s.ids {
		out = append(out, s.members[id].Member)
	}
	return out
}

// Member returns one member.
func (s *State) Member(id string) (Member, bool) {
	if id == s.self.ID {
		return s.Self(), true
	}
	r, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Digest identifies the contents of the member table.
func (s *State) Digest() uint64 { return s.digest }

// UpdateSelf changes what the node says about itself. It reports whether the
// record changed.
func (s *State) UpdateSelf(change func(*Member)) bool {
	m := s.self
	change(&m)
	if m == s.self {
		return false
	}
	m.raise(m.Version, s.caughtUp)
	s.setSelf(m)
	return true
}

// Leave marks the node as gone for good.
func (s *State) Leave() { s.UpdateSelf(func(m *Member) { m.Status = Left }) }

func (s *State) setSelf(m Member) {
	s.digest ^= hashOf(&s.self) ^ hashOf(&m)
	if s.self.Status != m.Status || s.self.Incarnation != m.Incarnation {
		s.cached = nil
	}
	s.self = m
	s.revision++
}

// merge takes news about a member. It reports whether anything changed.
func (s *State) merge(now time.Time, m Member) bool {
	if m.ID == "" || m.Status < Alive || m.Status > Left {
		return false
	}
	if m.ID == s.self.ID {
		return s.mergeSelf(now, m)
	}
	old, known := s.members[m.ID]
	switch {
	case !known:
		if m.Status >= Dead && !s.lastFull.IsZero() {
			return false // forgotten here already; a joining node takes it
		}
		s.checkAddress(now, &m)
	case old.Incarnation != m.Incarnation:
		if !m.supersedes(&old.Member) {
			return false
		}
		s.checkAddress(now, &m)
	case !m.overrides(&old.Member):
		old.AppliedSeq = max(old.AppliedSeq, m.AppliedSeq)
		return false
	}
	s.put(now, m)
	return true
}

// mergeSelf refutes news that this node is not alive, and notices another node
// of the same name.
func (s *State) mergeSelf(now time.Time, m Member) bool {
	own := s.self
	switch {
	case m.Incarnation != own.Incarnation:
		if !m.supersedes(&own) {
			return false
		}
		if !m.Started.After(now) {
			s.superseded = true // even if the later process is dead by now
			return false
		}
		// The predecessor's clock was ahead of this node's.
		own.Started = m.Started.Add(time.Millisecond)
	case own.Status == Left || m.Status == Alive || m.Version < own.Version:
		return false
	}
	own.raise(m.Version, s.caughtUp)
	s.setSelf(own)
	return true
}

// checkAddress settles which of two nodes has an address.
func (s *State) checkAddress(now time.Time, m *Member) {
	other, ok := s.members[s.addresses[m.PeerAddress]]
	if !ok || other.ID == m.ID || other.Status >= Dead {
		return
	}
	if m.supersedes(&other.Member) {
		s.setStatus(now, other.ID, Dead)
	} else if m.Status < Dead {
		m.Status = Dead
	}
}

func (s *State) put(now time.Time, m Member) {
	r, ok := s.members[m.ID]
	if !ok {
		r = &record{since: now}
		s.members[m.ID] = r
		i, _ := slices.BinarySearch(s.ids, m.ID)
		s.ids = slices.Insert(s.ids, i, m.ID)
	} else {
		s.digest ^= r.hash
		if r.Incarnation == m.Incarnation {
			m.AppliedSeq = max(m.AppliedSeq, r.AppliedSeq)
		}
		if s.addresses[r.PeerAddress] == m.ID {
			delete(s.addresses, r.PeerAddress)
		}
	}
	if m.Status < Dead && (r.Status == 0 || r.Status >= Dead) {
		s.appeared[m.DataCentre] = now
	}
	if r.Status != m.Status || r.Incarnation != m.Incarnation {
		r.since = now
		r.misses = 0
	}
	if r.Status != m.Status || r.Incarnation != m.Incarnation || r.DataCentre != m.DataCentre {
		s.cached = nil
	}
	s.revision++
	r.Member = m
	r.hash = hashOf(&m)
	s.digest ^= r.hash
	if m.Status < Dead {
		s.addresses[m.PeerAddress] = m.ID
	}
	s.enqueue(r)
}

func (s *State) setStatus(now time.Time, id string, status Status) {
	m := s.members[id].Member
	m.Status = status
	s.put(now, m)
}

func (s *State) forget(id string) {
	r := s.members[id]
	s.digest ^= r.hash
	if s.addresses[r.PeerAddress] == id {
		delete(s.addresses, r.PeerAddress)
	}
	r.sends = 0
	delete(s.members, id)
	i, _ := slices.BinarySearch(s.ids, id)
	s.ids = slices.Delete(s.ids, i, i+1)
	s.cached = nil
	s.revision++
}

func (s *State) view() *view {
	if s.cached != nil {
		return s.cached
	}
	v := &view{live: map[string][]string{}, others: map[string][]string{}, alive: 1}
	for _, id := range s.ids {
		r := s.members[id]
		if r.Status == Left {
			v.left = append(v.left, id)
			continue
		}
		v.others[r.DataCentre] = append(v.others[r.DataCentre], id)
		if r.Status == Dead {
			v.dead = append(v.dead, id)
			continue
		}
		v.alive++
		v.live[r.DataCentre] = append(v.live[r.DataCentre], id)
		if r.Status == Suspect {
			v.suspect = append(v.suspect, id)
		}
	}
	for dc := range v.others {
		if dc != s.self.DataCentre {
			v.dcs = append(v.dcs, dc)
		}
	}
	v.dcs = append(v.dcs, s.self.DataCentre)
	slices.Sort(v.dcs)
	s.choosePartners(v)
	s.cached = v
	return v
}

// hashOf covers what all nodes must agree on. Dead and left members are forgotten
// at different times and hash to zero. AppliedSeq is left out: it changes with
// every log entry and travels with a member's own exchanges only.
func hashOf(m *Member) uint64 {
	if m.Status >= Dead {
		return 0
	}
	b := make([]byte, 0, 96)
	b = append(b, m.ID...)
	b = append(b, 0)
	b = append(b, m.Incarnation...)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint64(b, m.Version)
	return xxhash.Sum64(b)
}
