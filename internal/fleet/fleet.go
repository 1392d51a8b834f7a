// Package fleet is a node's view of the other nodes and their backend servers.
//
// Each node keeps one row in the platform's store (Member) and writes it only
// when its backend server appears, changes its state or leaves, and when the node
// itself stops. All nodes watch the table. Nothing is written at an announcement,
// so the load on the store follows from changes and not from the size of the
// fleet. Between two changes, and while the store is away, nodes learn from
// answers which peers can be reached.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/teaselseam/teaselseam/platform"
)

// Tables in the store.
const (
	Table = "teaselseam-fleet" // members by the node's name
	// DeathTable holds records of crashes of backend servers. They have a table of
	// their own because nodes collect changes of members, and must hear of a crash at
	// once.
	DeathTable = "teaselseam-deaths"
)

// Member is the row of one node, by the node's name.
type Member struct {
	Node        string `json:"-"`
	Address     string `json:"address"` // IP:port for other nodes
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"` // of the node's process
	// Serving is true while the node passes requests to its backend server.
	Serving bool    `json:"serving"`
	Backend Backend `json:"backend"`
}

// Backend is a node's backend server as its row tells it.
type Backend struct {
	ID       string         `json:"id,omitempty"`
	Service  string         `json:"service,omitempty"`
	Slots    int            `json:"slots,omitempty"`
	State    platform.State `json:"state,omitempty"`
	Born     int64          `json:"born,omitempty"` // start, Unix milliseconds
	Sequence uint64         `json:"sequence,omitempty"`
}

// Usable tells whether requests may be sent to the member's backend server.
func (m *Member) Usable() bool {
	return m.Serving && m.Backend.ID != "" && m.Backend.State == platform.Ready
}

// Encode returns the value of the member's row.
func (m *Member) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode reads the row of a node.
func Decode(node string, value []byte) (*Member, error) {
	m := &Member{Node: node}
	if err := json.Unmarshal(value, m); err != nil {
		return nil, fmt.Errorf("row of node %q: %w", node, err)
	}
	if m.Address == "" || m.DataCentre == "" {
		return nil, fmt.Errorf("row of node %q lacks an address or a data centre", node)
	}
	return m, nil
}

// View holds the members as of a version of the table. It is not safe for
// concurrent use.
type View struct {
	members  map[string]*Member
	versions map[string]uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[string]*Member{}, versions: map[string]uint64{}}
}

// Replace takes all rows of the table. It returns what could not be read; such
// a row names no member.
func (v *View) Replace(rows []platform.Row) []error {
	clear(v.members)
	clear(v.versions)
	return v.Apply(rows)
}

// Apply takes changed rows.
func (v *View) Apply(rows []platform.Row) []error {
	var unreadable []error
	for _, r := range rows {
		if r.Version < v.versions[r.Key] {
			continue
		}
		v.versions[r.Key] = r.Version
		if r.Deleted {
			delete(v.members, r.Key)
			continue
		}
		m, err := Decode(r.Key, r.Value)
		if err != nil {
			delete(v.members, r.Key)
			unreadable = append(unreadable, err)
			continue
		}
		v.members[r.Key] = m
	}
	return unreadable
}

// Member returns a node's row and its version, zero if there is none.
func (v *View) Member(node string) (*Member, uint64) {
	return v.members[node], v.versions[node]
}

// Members returns all members by name.
func (v *View) Members() []*Member {
	out := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// RendezvousOrder returns the members in the order in which they are asked to keep a
// purpose's state, by rendezvous hashing: all nodes with the same view agree, and
// the loss of a member moves only what it kept.
func RendezvousOrder(members []*Member, purpose string) []*Member {
	type ranked struct {
		*Member
		weight uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(purpose + "\x00" + m.Node)) // a hash accepts all bytes
		list[i] = ranked{m, mix(h.Sum64())}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Node, b.Node))
	})
	out := make([]*Member, len(list))
	for i, r := range list {
		out[i] = r.Member
	}
	return out
}

// mix spreads the differences of similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
