package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/platform"
)

// lastEvacuationKey is the key of the row that each change of an evacuation writes, so that
// one that the store performs late fails if there was another since.
const lastEvacuationKey = "last-evacuation"

// Evacuation is an evacuated data centre.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Members is the number of nodes there; zero for a data centre that no node names.
	Members int `json:"members"`
}

// BeginEvacuation requests that nothing more be sent to the backend servers of a data
// centre. It fails with ErrInvalid if no node of the fleet names the data centre, unless
// forced, or if it is evacuated already.
func (c *Client) BeginEvacuation(ctx context.Context, dataCentre string, force bool) (*AuditEntry, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	switch known, err := c.dataCentres(ctx); {
	case err != nil:
		return nil, err
	case dataCentre == "":
		return nil, fmt.Errorf("%w: the name of the data centre is empty", ErrInvalid)
	case s.evacuations[dataCentre] != 0:
		return nil, fmt.Errorf("%w: data centre %q is evacuated already", ErrInvalid, dataCentre)
	case known[dataCentre] == 0 && !force:
		return nil, fmt.Errorf("%w: no node is in data centre %q", ErrInvalid, dataCentre)
	}
	row := platform.Row{Table: platform.ConfigurationTable, Key: platform.EvacuationKey(dataCentre), Value: []byte(platform.EvacuationValue)}
	return c.commitEvacuation(ctx, s, dataCentre, "evacuated data centre "+dataCentre, platform.Transaction{Puts: []platform.Row{row}})
}

// EndEvacuation takes a data centre back. It fails with ErrInvalid if that is not evacuated.
func (c *Client) EndEvacuation(ctx context.Context, dataCentre string) (*AuditEntry, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	if s.evacuations[dataCentre] == 0 {
		return nil, fmt.Errorf("%w: data centre %q is not evacuated", ErrInvalid, dataCentre)
	}
	row := platform.Row{Table: platform.ConfigurationTable, Key: platform.EvacuationKey(dataCentre)}
	return c.commitEvacuation(ctx, s, dataCentre, "took data centre "+dataCentre+" back", platform.Transaction{Removes: []platform.Row{row}})
}

// commitEvacuation commits a change of a data centre's row with its entry of the audit
// trail, on condition that no evacuation has changed since s was read.
func (c *Client) commitEvacuation(ctx context.Context, s *snapshot, dataCentre, summary string, tx platform.Transaction) (*AuditEntry, error) {
	entry := &AuditEntry{Version: s.Version, At: c.now(), Actor: c.actor, Summary: summary}
	audit, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	const table = platform.ConfigurationTable
	key := newAuditKey(entry)
	tx.Puts = append(tx.Puts,
		platform.Row{Table: table, Key: key, Value: audit},
		platform.Row{Table: table, Key: lastEvacuationKey, Value: audit})
	tx.Preconditions = append(s.auditPreconditions(key),
		platform.Precondition{Table: table, Key: platform.EvacuationKey(dataCentre), Version: s.evacuations[dataCentre]},
		platform.Precondition{Table: table, Key: lastEvacuationKey, Version: s.lastEvacuation})
	if _, _, err := c.store.Commit(ctx, tx); err != nil {
		return nil, commitError(err)
	}
	return entry, nil
}

// Evacuations returns the evacuated data centres by name.
func (c *Client) Evacuations(ctx context.Context) ([]Evacuation, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	members, err := c.dataCentres(ctx)
	if err != nil {
		return nil, err
	}
	out := []Evacuation{}
	for dc := range s.evacuations {
		out = append(out, Evacuation{DataCentre: dc, Members: members[dc]})
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out, nil
}

// dataCentres returns the number of nodes by data centre.
func (c *Client) dataCentres(ctx context.Context) (map[string]int, error) {
	rows, err := c.store.Read(ctx, fleet.Table, "")
	if err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, r := range rows.Rows {
		m, err := fleet.Decode(r.Key, r.Value)
		if err != nil {
			return nil, err
		}
		out[m.DataCentre]++
	}
	return out, nil
}
