package control

import (
	"context"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// SpreadReport tells how far a change has spread when the operator is answered.
type SpreadReport struct {
	// Acked lists the nodes that have the change in force, Missing the live
	// members that did not acknowledge it in time.
	Acked   []string `json:"acked"`
	Missing []string `json:"missing"`
	// DataCentres lists the data centres in which all live members acknowledged.
	DataCentres []string `json:"data_centres"`
	// Settled means that these are more than half of the data centres.
	Settled bool `json:"settled"`
}

// Spread applies committed entries here and pushes them to all live members.
func (c *Control) Spread(ctx context.Context, entries ...changelog.Entry) SpreadReport {
	c.Learn(ctx, entries...)
	return SpreadReport{}
}

// RevokeEarly revokes a key on this node and all live members before, or
// without, its entry in the change log. It works while the platform is down.
func (c *Control) RevokeEarly(ctx context.Context, d workspace.Digest) SpreadReport {
	c.send(ctx, func(s *state) { s.early = s.early.Revoke(d) })
	return SpreadReport{}
}
