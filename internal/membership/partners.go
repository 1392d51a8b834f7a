package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// allPartners is the number of other members of a data centre up to which a node
// exchanges with every one of them.
const allPartners = 8

// choosePartners chooses the members to exchange with. With random partners, a
// node of 1,800 would open a connection for almost every exchange; a TLS handshake
// costs about as much as ten exchanges.
//
// Members of a data centre stand on a ring by the hash of their names. A node
// takes those 1, 2, 4, 8 ... places after it, so that news crosses the ring in a
// logarithmic number of steps and each member has as many that probe it. In
// another data centre it takes the member at its own place by name.
func (s *State) choosePartners(v *view) {
	own := byHash(append([]string{s.self.ID}, v.live[s.self.DataCentre]...))
	place := slices.Index(own, s.self.ID)
	if len(own)-1 <= allPartners {
		v.near = v.live[s.self.DataCentre]
	} else {
		for d := 1; d < len(own); d *= 2 {
			v.near = append(v.near, own[(place+d)%len(own)])
		}
	}
	v.far = make(map[string]string, len(v.dcs))
	for dc, ids := range v.live {
		if dc != s.self.DataCentre {
			// Scaled, so that a smaller data centre meets members from all of a larger one.
			v.far[dc] = ids[place*max(1, len(ids)/len(own))%len(ids)]
		}
	}
}

func byHash(ids []string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return out
}
