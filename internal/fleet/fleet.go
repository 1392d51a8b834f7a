// Package fleet maintains a node's view of the members of the fleet: all nodes and
// their backend servers.
//
// Each node owns one row in the platform's store (Member). It writes the row only when
// its backend server appears, changes state or leaves, and when the node itself stops.
// All nodes watch the table. The periodic announcements of backend servers cause no
// writes, so the load on the store depends on the rate of changes and not on the size of
// the fleet. Between changes, and while the store is unavailable, nodes learn from the
// responses to their calls which peers are reachable.
package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/platform"
)

// Tables in the store.
const (
	Table = "teaselseam-fleet" // one Member per row, by node name
	// DeathTable holds records of crashes of backend servers. It is a separate table
	// because nodes process changes of members in batches, but must learn of a crash
	// at once.
	DeathTable = "teaselseam-deaths"
)

// Member is the row of one node. Its key is the name of the node.
type Member struct {
	Node        string `json:"-"`
	Address     string `json:"address"` // IP:port at which other nodes reach the node
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"` // identifies the run of the node's process
	// Serving is false once the shutdown of the node has begun.
	Serving bool `json:"serving"`
	// Key is what the requests of other nodes have to bear; empty in the rows of earlier
	// releases, whose nodes neither have one nor send one.
	Key string `json:"key,omitempty"`
	// BodyOnDemand is set if the node asks for the rest of request bodies that are not sent at
	// once; nodes of earlier releases do not.
	BodyOnDemand bool `json:"body_on_demand,omitempty"`

	Backend Backend `json:"backend"`
	// Departures are the latest backend servers that have announced beside the node to be gone.
	Departures []backend.Departure `json:"departures,omitempty"`
}

// Backend describes a node's backend server in its row.
type Backend struct {
	ID       string         `json:"id,omitempty"`
	Service  string         `json:"service,omitempty"`
	Slots    int            `json:"slots,omitempty"`
	State    platform.State `json:"state,omitempty"`
	Born     int64          `json:"born,omitempty"` // start time in Unix milliseconds
	Sequence uint64         `json:"sequence,omitempty"`
	// ColdMS is how long the backend server was still cold when the row was written, in ms.
	// It changes without a write.
	ColdMS int64 `json:"cold_ms,omitempty"`
}

// Same reports whether the rows of two members are equal but for what changes without a
// write.
func (m Member) Same(o Member) bool {
	return m.Node == o.Node && m.Address == o.Address && m.DataCentre == o.DataCentre && m.Incarnation == o.Incarnation &&
		m.Serving == o.Serving && m.Key == o.Key && m.BodyOnDemand == o.BodyOnDemand && m.SameBackend(o)
}

// SameBackend reports whether the rows of two members tell the same of their backend servers.
func (m Member) SameBackend(o Member) bool {
	m.Backend.ColdMS, o.Backend.ColdMS = 0, 0
	return m.Backend == o.Backend && slices.Equal(m.Departures, o.Departures)
}

// Usable reports whether requests may be sent to the member's backend server.
func (m *Member) Usable() bool {
	return m.Serving && m.Backend.ID != "" && m.Backend.State == platform.Ready
}

// Encode returns the value of the member's row.
func (m *Member) Encode() ([]byte, error) { return json.Marshal(m) }

// Bounds of the figures in a row. They are far beyond those of any backend server, and keep
// sums and durations that are computed from them from overflowing.
const (
	maxSlots = 1 << 20
	maxCold  = time.Hour
	maxBorn  = 1 << 52 // Unix milliseconds
)

// Decode parses the value of a node's row. Other programs may write to the table, so a row
// that no node would write is an error.
func Decode(node string, value []byte) (*Member, error) {
	m := &Member{Node: node}
	if err := json.Unmarshal(value, m); err != nil {
		return nil, fmt.Errorf("row of node %q: %w", node, err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("row of node %q: %w", node, err)
	}
	return m, nil
}

func (m *Member) check() error {
	if m.DataCentre == "" {
		return errors.New("no data centre")
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if address.Port() == 0 {
		return fmt.Errorf("address %q has no port", m.Address)
	}
	if m.Key != "" && !validKey(m.Key) {
		return errors.New("invalid key")
	}
	if len(m.Departures) > backend.MaxDepartures {
		return fmt.Errorf("%d departures", len(m.Departures))
	}
	return m.Backend.check()
}

func (b *Backend) check() error {
	switch {
	case b.ID == "":
		return nil // the node has no backend server yet
	case b.Service == "":
		return errors.New("backend server has no service")
	case b.State < platform.Ready || b.State > platform.Gone:
		return fmt.Errorf("backend server has the unknown state %d", b.State)
	case b.Slots < 0 || b.Slots > maxSlots:
		return fmt.Errorf("backend server has %d slots", b.Slots)
	case b.Born < 0 || b.Born > maxBorn:
		return fmt.Errorf("backend server has the start time %d", b.Born)
	case b.ColdMS < 0 || b.ColdMS > maxCold.Milliseconds():
		return fmt.Errorf("backend server is cold for %d ms", b.ColdMS)
	}
	return nil
}

// View holds the members at the newest known versions of their rows. A row that cannot be
// decoded leaves the member known before: its node writes it again. After the store has
// come back from an older copy, the members known before are kept for a while, until
// their nodes have written their rows again. It is not safe for concurrent use.
type View struct {
	members map[string]*Member
	rows    map[string]rowState // newest known, by node
	kept    map[string]*Member  // from before the store came back; takes precedence
}

// rowState describes the newest known row of a node.
type rowState struct {
	version    uint64
	unreadable bool // it cannot be decoded
	deleted    bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[string]*Member{}, rows: map[string]rowState{}}
}

// ReplaceByCopy replaces the rows by those of a store that has come back from an older
// copy. Members known before are kept as they were until a later change of their row, or
// until DropKept. Without this, the number of nodes that share the rate of a workspace
// would fall for a moment, and each would allow itself a larger part.
func (v *View) ReplaceByCopy(rows []platform.Row) []error {
	kept := map[string]*Member{}
	for _, m := range v.Members() {
		kept[m.Node] = m
	}
	clear(v.rows) // of the earlier era
	errs := v.Replace(rows)
	v.kept = kept
	return errs
}

// DropKept ends the precedence of members known from before the store came back. It
// returns whether there were any.
func (v *View) DropKept() bool {
	had := len(v.kept) > 0
	v.kept = nil
	return had
}

// Replace replaces the view by all rows of the table. It returns the errors of rows that
// cannot be decoded.
func (v *View) Replace(rows []platform.Row) []error {
	previous, members := v.rows, v.members
	v.members, v.rows = map[string]*Member{}, map[string]rowState{}
	for _, r := range rows {
		if m := members[r.Key]; m != nil && !r.Deleted {
			v.members[r.Key] = m
		}
		if r.Version == previous[r.Key].version && v.kept[r.Key] != nil {
			continue
		}
		delete(v.kept, r.Key)
	}
	return v.apply(rows)
}

// Apply updates the view with changed rows and ignores rows that are older than the
// known ones. It returns the errors of rows that cannot be decoded.
func (v *View) Apply(rows []platform.Row) []error {
	for _, r := range rows {
		if r.Version > v.rows[r.Key].version {
			delete(v.kept, r.Key)
		}
	}
	return v.apply(rows)
}

func (v *View) apply(rows []platform.Row) []error {
	var errs []error
	for _, r := range rows {
		if r.Version < v.rows[r.Key].version {
			continue
		}
		v.rows[r.Key] = rowState{version: r.Version, deleted: r.Deleted}
		if r.Deleted {
			delete(v.members, r.Key)
			continue
		}
		m, err := Decode(r.Key, r.Value)
		if err != nil {
			v.rows[r.Key] = rowState{version: r.Version, unreadable: true}
			errs = append(errs, err)
			continue
		}
		v.members[r.Key] = m
	}
	return errs
}

// Row is a node's row as the store has it.
type Row struct {
	Member  *Member // nil if there is no row or it cannot be decoded
	Version uint64  // of the latest change; zero if the view has received none
	Deleted bool    // the latest change has removed the row
}

// Row returns a node's row as the store has it.
func (v *View) Row(node string) Row {
	state := v.rows[node]
	row := Row{Member: v.members[node], Version: state.version, Deleted: state.deleted}
	if state.unreadable {
		row.Member = nil
	}
	return row
}

// Members returns all members, sorted by node name.
func (v *View) Members() []*Member {
	out := make([]*Member, 0, len(v.members))
	for node, m := range v.members {
		if v.kept[node] == nil {
			out = append(out, m)
		}
	}
	for _, m := range v.kept {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// RendezvousOrder returns the members in order of preference for a purpose, such as
// holding the token bank. It uses rendezvous hashing: all nodes with the same view get
// the same order, and the loss of a member moves only the purposes for which it was
// first.
func RendezvousOrder(members []*Member, purpose string) []*Member {
	type ranked struct {
		*Member
		weight uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(purpose + "\x00" + m.Node)) // hash.Hash never returns an error
		list[i] = ranked{m, finalizeHash(h.Sum64())}
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

// finalizeHash is the 64-bit finalizer of MurmurHash3. It spreads the differences between
// the FNV hashes of similar names over all bits.
func finalizeHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
