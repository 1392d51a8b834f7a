package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/platform"
)

// Keys of rows in the operator's table.
const (
	// TreeKey is the key of the row with the settings tree as INI. Nodes read from it
	// the settings that the platform's configuration cannot express.
	TreeKey     = "tree"
	auditPrefix = "audit/"
)

// Store is the part of the platform's store that the package uses.
type Store interface {
	Read(ctx context.Context, table, partition string) (platform.Changes, error)
	Commit(ctx context.Context, t platform.Transaction) (platform.Revision, []platform.Row, error)
}

// AuditEntry describes one change of the configuration in the audit trail.
type AuditEntry struct {
	Version uint64    `json:"version"` // of the configuration that the change produced
	At      time.Time `json:"at"`      // by the clock of the operator's machine
	Actor   string    `json:"actor"`
	Summary string    `json:"what"` // free text; must not contain keys
	// Branches are the branches of the tree that changed.
	Branches []settings.Change `json:"branches,omitempty"`
}

// Client reads and changes the configuration. Its changes are recorded in the audit
// trail under one actor.
type Client struct {
	store Store
	actor string
	now   func() time.Time
}

// New returns a client whose changes are recorded under the name of actor.
func New(store Store, actor string) *Client {
	return &Client{store: store, actor: actor, now: time.Now}
}

// snapshot is the configuration as read from the store, with the versions of its
// rows at that time. A row that does not exist has version 0.
type snapshot struct {
	*FleetConfig
	configVersion, treeVersion uint64
	configuration              *platform.Configuration // nil if there is none
	auditTrail                 []AuditEntry
	// lastAudit is the row of the newest entry of the audit trail; its key is empty if
	// there is none.
	lastAudit   platform.Row
	evacuations map[string]uint64 // versions of the rows, by data centre
	// lastEvacuation is the version of the row with the last change of an evacuation.
	lastEvacuation uint64
	era            uint64 // of the versions
}

// FleetConfig reads the current configuration.
func (c *Client) FleetConfig(ctx context.Context) (*FleetConfig, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	return s.FleetConfig, nil
}

// InForce is the configuration that nodes have, as read from the store.
type InForce struct {
	*FleetConfig
	// Configuration is as its operator wrote it; nil if there is none yet.
	Configuration *platform.Configuration
	HasTree       bool // whether the store has a settings tree
}

// InForce reads the configuration in force.
func (c *Client) InForce(ctx context.Context) (*InForce, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	return &InForce{FleetConfig: s.FleetConfig, Configuration: s.configuration, HasTree: s.treeVersion > 0}, nil
}

// Audit reads the audit trail, oldest entry first.
func (c *Client) Audit(ctx context.Context) ([]AuditEntry, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	return s.auditTrail, nil
}

func (c *Client) load(ctx context.Context) (*snapshot, error) {
	rows, err := c.store.Read(ctx, platform.ConfigurationTable, "")
	if err != nil {
		return nil, err
	}
	return newSnapshot(rows)
}

// newSnapshot decodes the rows of the operator's table.
func newSnapshot(rows platform.Changes) (*snapshot, error) {
	s := &snapshot{FleetConfig: &FleetConfig{Tree: settings.NewTree(), Keys: map[string][]string{}}, evacuations: map[string]uint64{}, era: rows.Era}
	for _, r := range rows.Rows {
		if err := s.addRow(r); err != nil {
			return nil, fmt.Errorf("row %q of the operator's table: %w", r.Key, err)
		}
	}
	return s, nil
}

func (s *snapshot) addRow(r platform.Row) error {
	if dc, ok := platform.EvacuatedDataCentre(r.Key); ok {
		s.evacuations[dc] = r.Version
		return nil
	}
	switch {
	case r.Key == platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			return err
		}
		s.Version, s.configVersion, s.configuration = c.Version, r.Version, c
		for _, w := range c.Workspaces {
			s.Keys[w.Name] = w.Keys
		}
	case r.Key == TreeKey:
		tree, err := settings.Parse(TreeKey, r.Value)
		if err != nil {
			return err
		}
		s.Tree, s.treeVersion = tree, r.Version
	case r.Key == lastEvacuationKey:
		s.lastEvacuation = r.Version
	case strings.HasPrefix(r.Key, auditPrefix):
		entry, err := decodeAuditEntry(r)
		if err != nil {
			return err
		}
		s.auditTrail = append(s.auditTrail, *entry)
		if r.Version >= s.lastAudit.Version {
			s.lastAudit = r
		}
	}
	return nil
}

func decodeAuditEntry(r platform.Row) (*AuditEntry, error) {
	var entry AuditEntry
	if err := json.Unmarshal(r.Value, &entry); err != nil {
		return nil, fmt.Errorf("row %q: %w", r.Key, err)
	}
	return &entry, nil
}

// Apply reads the configuration, applies edit to it, commits the result and returns its
// entry in the audit trail. edit is called once and returns the entry's summary.
func (c *Client) Apply(ctx context.Context, edit func(*FleetConfig) (summary string, err error)) (*AuditEntry, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	before := s.Tree
	summary, err := edit(s.FleetConfig)
	if err != nil {
		return nil, err
	}
	s.Version = nextVersion(s.Version, s.era)
	entry := &AuditEntry{Version: s.Version, At: c.now(), Actor: c.actor, Summary: summary, Branches: settings.Diff(before, s.Tree)}
	tx, err := s.transactionFor(entry)
	if err != nil {
		return nil, err
	}
	if _, _, err = c.store.Commit(ctx, tx); err != nil {
		return nil, commitError(err)
	}
	return entry, nil
}

// commitError adds the package's own error to the error of a transaction.
func commitError(err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

// eraVersionBits is the position of the store's era in configuration versions.
const eraVersionBits = 32

// nextVersion returns the version of the configuration that follows the given one. Once
// the store has come back from an older copy, versions start from a new base: nodes may
// hold versions that the copy lacks and would ignore others with the same numbers.
func nextVersion(version, era uint64) uint64 {
	if era <= 1 {
		return version + 1
	}
	return max(version, era<<eraVersionBits) + 1
}

// transactionFor returns the transaction that writes the configuration, the tree and the
// audit entry, on condition that none of their rows has changed since s was read.
//
// If the store comes back from an older copy in between, it gives versions out again, and
// the rows may have been written by somebody else under the same versions. The condition
// that the newest audit entry exists excludes that: its key is unique to the change that
// wrote it, in the same transaction as the other rows.
func (s *snapshot) transactionFor(entry *AuditEntry) (platform.Transaction, error) {
	config, err := platform.EncodeConfiguration(s.NodeConfiguration())
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := json.Marshal(entry)
	if err != nil {
		return platform.Transaction{}, err
	}
	auditKey := newAuditKey(entry)
	const table = platform.ConfigurationTable
	tx := platform.Transaction{
		Preconditions: append(s.auditPreconditions(auditKey),
			platform.Precondition{Table: table, Key: platform.ConfigurationKey, Version: s.configVersion},
			platform.Precondition{Table: table, Key: TreeKey, Version: s.treeVersion},
		),
		Puts: []platform.Row{
			{Table: table, Key: platform.ConfigurationKey, Value: config},
			{Table: table, Key: TreeKey, Value: settings.Render(s.Tree)},
			{Table: table, Key: auditKey, Value: audit},
		},
	}
	return tx, nil
}

// newAuditKey returns the key of the row of an audit entry. It is unique, and sorts by the
// version of the configuration.
func newAuditKey(entry *AuditEntry) string {
	return fmt.Sprintf("%s%020d-%s", auditPrefix, entry.Version, uuid.Must(uuid.NewV7()))
}

// auditPreconditions returns the conditions that an audit entry does not exist yet and that
// the newest one that was read does.
func (s *snapshot) auditPreconditions(key string) []platform.Precondition {
	out := []platform.Precondition{{Table: platform.ConfigurationTable, Key: key}}
	if last := s.lastAudit; last.Key != "" {
		out = append(out, platform.Precondition{Table: platform.ConfigurationTable, Key: last.Key, Version: last.Version})
	}
	return out
}
