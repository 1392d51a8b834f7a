package replica

import (
	"github.com/teaselseam/teaselseam/internal/fleet"
)

const (
	// nodesPerFollower is how many nodes of a data centre one follower serves at most.
	nodesPerFollower = 48
	// spareSources is how many nodes beyond the followers a node may ask.
	spareSources = 2
	// followPurpose is the key of the rendezvous hash that selects the followers.
	followPurpose = "follow the store"
)

// Plan tells from whom a node learns of changes.
type Plan struct {
	// Follow is true if the node watches the store.
	Follow bool
	// Sources are the nodes to ask otherwise, in order of preference.
	Sources []*fleet.Member
}

// NewPlan returns the plan of a node, given all members. The followers of a data centre
// are the same in the plans of all nodes with the same view.
func NewPlan(node, dataCentre string, members []*fleet.Member) Plan {
	var local []*fleet.Member
	for _, m := range members {
		if m.Serving && m.DataCentre == dataCentre {
			local = append(local, m)
		}
	}
	order := fleet.RendezvousOrder(local, followPurpose)
	followers := (len(order) + nodesPerFollower - 1) / nodesPerFollower
	for _, m := range order[:followers] {
		if m.Node == node {
			return Plan{Follow: true}
		}
	}
	// Each node prefers another follower, so that all have about as much to do.
	sources := fleet.RendezvousOrder(order[:followers], node)
	for _, m := range order[followers:] {
		if len(sources) < followers+spareSources && m.Node != node {
			sources = append(sources, m)
		}
	}
	return Plan{Follow: len(sources) == 0, Sources: sources}
}
