package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/teaselseam/teaselseam/platform"
)

// A store that has come back from an older copy lacks the latest changes of the
// configuration and their entries in the audit trail. A backup holds the whole operator's
// table, so that the changes are not made again by hand: they keep their versions, which
// nodes that run have in force already.

// maxRowsPerCommit bounds the rows of one transaction. The platform allows 100 entries,
// preconditions included.
const maxRowsPerCommit = 40

// Backup is a copy of the operator's table. It contains workspace keys in plain text.
type Backup struct {
	Version uint64      `json:"version"` // of the configuration
	Era     uint64      `json:"era"`     // of the store from which it was read
	Rows    []BackupRow `json:"rows"`    // sorted by key
}

// BackupRow is a row of the operator's table.
type BackupRow struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Restoration describes what a restore writes, or would write.
type Restoration struct {
	From  uint64       `json:"from_version"` // version of the configuration in the store
	To    uint64       `json:"to_version"`   // version after the restore
	Audit []AuditEntry `json:"audit"`        // entries of the audit trail that are missing
}

// ErrDiverged means that the configuration in the store is not an earlier state of the
// backup: it has been changed since the store came back.
var ErrDiverged = errors.New("the configuration was changed since the backup; make the missing changes again instead")

// Backup reads the whole operator's table.
func (c *Client) Backup(ctx context.Context) (*Backup, error) {
	changes, err := c.store.Read(ctx, platform.ConfigurationTable, "")
	if err != nil {
		return nil, err
	}
	s, err := newSnapshot(changes)
	if err != nil {
		return nil, err
	}
	b := &Backup{Version: s.Version, Era: changes.Era}
	for _, r := range changes.Rows {
		b.Rows = append(b.Rows, BackupRow{Key: r.Key, Value: r.Value})
	}
	return b, nil
}

// PlanRestore returns what Restore would write.
func (c *Client) PlanRestore(ctx context.Context, b *Backup) (*Restoration, error) {
	plan, err := c.planRestore(ctx, b)
	if err != nil {
		return nil, err
	}
	return &plan.Restoration, nil
}

// Restore writes the rows of a backup that the store lacks or has in an earlier state. The
// configuration in the store must be an earlier state of the backup (ErrDiverged), and
// must not change meanwhile (ErrConflict). The entries of the audit trail are written
// first, so that a restore that was cut short can be repeated.
func (c *Client) Restore(ctx context.Context, b *Backup) (*Restoration, error) {
	plan, err := c.planRestore(ctx, b)
	if err != nil {
		return nil, err
	}
	for _, tx := range plan.transactions() {
		if _, _, err := c.store.Commit(ctx, tx); err != nil {
			return nil, commitError(err)
		}
	}
	return &plan.Restoration, nil
}

// restorePlan is what a restore writes, and on which condition.
type restorePlan struct {
	Restoration
	unchanged []platform.Precondition // the configuration is still as it was read
	audit     []platform.Row          // missing entries of the audit trail
	current   []platform.Row          // configuration and tree; empty if they are not older
	// evacuations are the rows to write and to remove, if the store has an earlier state.
	evacuations, ended []platform.Row
}

func (c *Client) planRestore(ctx context.Context, b *Backup) (*restorePlan, error) {
	changes, err := c.store.Read(ctx, platform.ConfigurationTable, "")
	if err != nil {
		return nil, err
	}
	stored, err := newSnapshot(changes)
	if err != nil {
		return nil, err
	}
	wanted, err := newSnapshot(b.changes())
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if err := checkAncestor(changes.Rows, b, stored.Version, wanted.Version); err != nil {
		return nil, err
	}
	plan := &restorePlan{Restoration: Restoration{From: stored.Version, To: max(stored.Version, wanted.Version)}}
	plan.unchanged = []platform.Precondition{
		{Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Version: stored.configVersion},
		{Table: platform.ConfigurationTable, Key: TreeKey, Version: stored.treeVersion},
	}
	have := make(map[string]bool, len(changes.Rows))
	for _, r := range changes.Rows {
		have[r.Key] = true
	}
	for _, r := range b.changes().Rows {
		_, isEvacuation := platform.EvacuatedDataCentre(r.Key)
		switch isAudit := strings.HasPrefix(r.Key, auditPrefix); {
		case isEvacuation:
		case isAudit && !have[r.Key]:
			entry, err := decodeAuditEntry(r)
			if err != nil {
				return nil, fmt.Errorf("backup: %w", err)
			}
			plan.audit, plan.Audit = append(plan.audit, r), append(plan.Audit, *entry)
		case !isAudit && wanted.Version > stored.Version:
			plan.current = append(plan.current, r)
		}
	}
	if wanted.Version > stored.Version || len(plan.audit) > 0 {
		plan.addEvacuations(stored, wanted)
	}
	return plan, nil
}

// addEvacuations adds the evacuations in which the store differs from the backup.
func (p *restorePlan) addEvacuations(stored, wanted *snapshot) {
	row := func(dataCentre string) platform.Row {
		return platform.Row{Table: platform.ConfigurationTable, Key: platform.EvacuationKey(dataCentre), Value: []byte(platform.EvacuationValue)}
	}
	for dc := range wanted.evacuations {
		if _, ok := stored.evacuations[dc]; !ok {
			p.evacuations = append(p.evacuations, row(dc))
		}
	}
	for dc := range stored.evacuations {
		if _, ok := wanted.evacuations[dc]; !ok {
			p.ended = append(p.ended, row(dc))
		}
	}
}

// checkAncestor returns ErrDiverged unless all changes that the store has are in the
// backup.
func checkAncestor(stored []platform.Row, b *Backup, storedVersion, backupVersion uint64) error {
	known := make(map[string]bool, len(b.Rows))
	for _, r := range b.Rows {
		known[r.Key] = true
	}
	for _, r := range stored {
		if strings.HasPrefix(r.Key, auditPrefix) && !known[r.Key] {
			return fmt.Errorf("%w: the backup lacks %s", ErrDiverged, r.Key)
		}
	}
	if storedVersion > backupVersion {
		return fmt.Errorf("%w: version %d is newer than the backup's %d", ErrDiverged, storedVersion, backupVersion)
	}
	return nil
}

// transactions returns the transactions of the plan: the audit trail in parts, then the
// configuration and the evacuations.
func (p *restorePlan) transactions() []platform.Transaction {
	var out []platform.Transaction
	for start := 0; start < len(p.audit); start += maxRowsPerCommit {
		part := p.audit[start:min(start+maxRowsPerCommit, len(p.audit))]
		tx := platform.Transaction{Preconditions: append([]platform.Precondition(nil), p.unchanged...), Puts: part}
		for _, r := range part {
			tx.Preconditions = append(tx.Preconditions, platform.Precondition{Table: r.Table, Key: r.Key})
		}
		out = append(out, tx)
	}
	if puts := slices.Concat(p.current, p.evacuations); len(puts)+len(p.ended) > 0 {
		out = append(out, platform.Transaction{Preconditions: p.unchanged, Puts: puts, Removes: p.ended})
	}
	return out
}

// changes returns the rows of the backup as if they had been read from a store.
func (b *Backup) changes() platform.Changes {
	out := platform.Changes{Revision: platform.Revision{Era: b.Era}}
	for _, r := range b.Rows {
		out.Rows = append(out.Rows, platform.Row{Table: platform.ConfigurationTable, Key: r.Key, Value: r.Value})
	}
	return out
}
