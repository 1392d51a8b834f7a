package ring

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ClaimHolders is the number of claim holders of a request ID in one epoch, if
// the epoch has that many members.
const ClaimHolders = 3

// Member is one incarnation of a node.
type Member struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"` // IP:port
}

// Epoch is one committed version of the ring. It is immutable.
type Epoch struct {
	number  int64
	oldest  int64
	members []Member // sorted by node name
	centres []centre // sorted by name
}

// centre lists the members of one data centre.
type centre struct {
	name    string
	members []int    // indices into Epoch.members
	hashes  []uint64 // hash of the node name of each of these members
}

// best returns the member with the highest score for a key that is not among
// the excluded ones, or -1 if there is none.
func (c *centre) best(key uint64, exclude []int) (member int, score uint64) {
	member = -1
	for i, h := range c.hashes {
		if s := mix(key, h); (member < 0 || s > score) && !slices.Contains(exclude, c.members[i]) {
			member, score = c.members[i], s
		}
	}
	return member, score
}

// NewEpoch returns an epoch. Numbers start at 1. Oldest is the number of the
// oldest epoch that stays in force beside this one; it equals the number itself
// if no older epoch does. Node names must be unique and not empty.
func NewEpoch(number, oldest int64, members []Member) (*Epoch, error) {
	if number < 1 || oldest < 1 || oldest > number {
		return nil, fmt.Errorf("ring epoch %d with oldest epoch %d is out of range", number, oldest)
	}
	e := &Epoch{number: number, oldest: oldest, members: slices.Clone(members)}
	slices.SortFunc(e.members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	for i, m := range e.members {
		if m.Node == "" || m.Incarnation == "" {
			return nil, fmt.Errorf("ring epoch %d has a member without node name or incarnation", number)
		}
		if i > 0 && m.Node == e.members[i-1].Node {
			return nil, fmt.Errorf("ring epoch %d lists node %q twice", number, m.Node)
		}
		e.place(i, m)
	}
	return e, nil
}

// place adds a member to its data centre.
func (e *Epoch) place(index int, m Member) {
	i, ok := e.findCentre(m.DataCentre)
	if !ok {
		e.centres = slices.Insert(e.centres, i, centre{name: m.DataCentre})
	}
	c := &e.centres[i]
	c.members = append(c.members, index)
	c.hashes = append(c.hashes, xxhash.Sum64String(m.Node))
}

func (e *Epoch) findCentre(name string) (int, bool) {
	return slices.BinarySearchFunc(e.centres, name, func(c centre, n string) int { return cmp.Compare(c.name, n) })
}

// Number returns the epoch's number.
func (e *Epoch) Number() int64 { return e.number }

// Oldest returns the number of the oldest epoch in force beside this one.
func (e *Epoch) Oldest() int64 { return e.oldest }

// Members returns a copy of the members, sorted by node name.
func (e *Epoch) Members() []Member { return slices.Clone(e.members) }

// DataCentres returns the data centres that have members, sorted.
func (e *Epoch) DataCentres() []string {
	names := make([]string, len(e.centres))
	for i := range e.centres {
		names[i] = e.centres[i].name
	}
	return names
}

// Member returns the member with the given node name.
func (e *Epoch) Member(node string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(e.members, node, func(m Member, n string) int { return cmp.Compare(m.Node, n) })
	if !ok {
		return Member{}, false
	}
	return e.members[i], true
}

// ClaimHolders returns the members that hold claims on a request ID: ClaimHolders
// of them, or all members if there are fewer. They are in different data centres
// as far as the epoch has that many.
func (e *Epoch) ClaimHolders(id string) []Member {
	key := xxhash.Sum64String(id)
	best := make([]candidate, len(e.centres))
	for i := range e.centres {
		best[i].member, best[i].score = e.centres[i].best(key, nil)
	}
	chosen := takeBest(nil, best)
	for len(chosen) < min(ClaimHolders, len(e.members)) { // fewer data centres than holders
		for i := range e.centres {
			best[i].member, best[i].score = e.centres[i].best(key, chosen)
		}
		chosen = takeBest(chosen, best)
	}
	holders := make([]Member, len(chosen))
	for i, m := range chosen {
		holders[i] = e.members[m]
	}
	return holders
}

// candidate is the best member of one data centre; member is -1 if there is none.
type candidate struct {
	member int
	score  uint64
}

// takeBest appends candidates to chosen, highest score first, until there are
// ClaimHolders.
func takeBest(chosen []int, candidates []candidate) []int {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	for _, c := range candidates {
		if c.member >= 0 && len(chosen) < ClaimHolders {
			chosen = append(chosen, c.member)
		}
	}
	return chosen
}

// Lender returns the member that lends rate tokens of a workspace in a data
// centre, or false if the data centre has no member.
func (e *Epoch) Lender(workspace, dataCentre string) (Member, bool) {
	i, ok := e.findCentre(dataCentre)
	if !ok {
		return Member{}, false
	}
	m, _ := e.centres[i].best(xxhash.Sum64String(workspace), nil)
	return e.members[m], true
}

// Rank returns the names in the rendezvous order of the key, best first.
func Rank(key string, names []string) []string {
	k := xxhash.Sum64String(key)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		order := cmp.Compare(mix(k, xxhash.Sum64String(b)), mix(k, xxhash.Sum64String(a)))
		return cmp.Or(order, cmp.Compare(a, b))
	})
	return ranked
}

// mix combines the hashes of a key and a node (finalizer of MurmurHash3).
// Without it, the order of nodes would be nearly the same for all keys.
func mix(key, node uint64) uint64 {
	x := key ^ node
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

type wireEpoch struct {
	Number  int64    `json:"number"`
	Oldest  int64    `json:"oldest"`
	Members []Member `json:"members"`
}

// MarshalJSON encodes the epoch for the change log.
func (e *Epoch) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireEpoch{Number: e.number, Oldest: e.oldest, Members: e.members})
}

// UnmarshalJSON decodes and validates an epoch. It must only be called on a new
// Epoch, because epochs are immutable.
func (e *Epoch) UnmarshalJSON(data []byte) error {
	var w wireEpoch
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("ring epoch: %w", err)
	}
	decoded, err := NewEpoch(w.Number, w.Oldest, w.Members)
	if err != nil {
		return err
	}
	*e = *decoded
	return nil
}
