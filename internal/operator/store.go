package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

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
	Read(ctx context.Context, table, part string) (platform.Changes, error)
	Commit(ctx context.Context, t platform.Transaction) (uint64, []platform.Row, error)
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	Version uint64    `json:"version"` // of the configuration that the change produced
	At      time.Time `json:"at"`      // by the operator's clock
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
	auditTrail                 []AuditEntry
}

// FleetConfig reads the current configuration.
func (c *Client) FleetConfig(ctx context.Context) (*FleetConfig, error) {
	s, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	return s.FleetConfig, nil
}

// Audit reads the audit trail, oldest change first.
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
	s := &snapshot{FleetConfig: &FleetConfig{Tree: settings.NewTree(), Keys: map[string][]string{}}}
	for _, r := range rows.Rows {
		if err := s.addRow(r); err != nil {
			return nil, fmt.Errorf("row %q of the operator's table: %w", r.Key, err)
		}
	}
	return s, nil
}

func (s *snapshot) addRow(r platform.Row) error {
	switch {
	case r.Key == platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			return err
		}
		s.Version, s.configVersion = c.Version, r.Version
		for _, w := range c.Workspaces {
			s.Keys[w.Name] = w.Keys
		}
	case r.Key == TreeKey:
		tree, err := settings.Parse(TreeKey, r.Value)
		if err != nil {
			return err
		}
		s.Tree, s.treeVersion = tree, r.Version
	case strings.HasPrefix(r.Key, auditPrefix):
		var change AuditEntry
		if err := json.Unmarshal(r.Value, &change); err != nil {
			return err
		}
		s.auditTrail = append(s.auditTrail, change)
	}
	return nil
}

// Apply reads the configuration, applies edit to it and commits the result. edit is
// called once and returns a summary of the change for the audit trail.
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
	s.Version++
	change := &AuditEntry{Version: s.Version, At: c.now(), Actor: c.actor, Summary: summary, Branches: settings.Diff(before, s.Tree)}
	tx, err := s.transactionFor(change)
	if err != nil {
		return nil, err
	}
	_, _, err = c.store.Commit(ctx, tx)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return nil, fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return nil, err
	}
	return change, nil
}

func (s *snapshot) transactionFor(change *AuditEntry) (platform.Transaction, error) {
	config, err := platform.EncodeConfiguration(s.NodeConfiguration())
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := json.Marshal(change)
	if err != nil {
		return platform.Transaction{}, err
	}
	auditKey := fmt.Sprintf("%s%020d", auditPrefix, change.Version)
	const table = platform.ConfigurationTable
	return platform.Transaction{
		Preconditions: []platform.Precondition{
			{Table: table, Key: platform.ConfigurationKey, Version: s.configVersion},
			{Table: table, Key: TreeKey, Version: s.treeVersion},
			{Table: table, Key: auditKey},
		},
		Puts: []platform.Row{
			{Table: table, Key: platform.ConfigurationKey, Value: config},
			{Table: table, Key: TreeKey, Value: settings.Render(s.Tree)},
			{Table: table, Key: auditKey, Value: audit},
		},
	}, nil
}
