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

// Rows of the operator's table.
const (
	// TreeKey is the row with the settings tree as INI. Nodes take from it what the
	// configuration of the platform has no place for.
	TreeKey     = "tree"
	auditPrefix = "audit/"
)

// Store is what the package needs of the platform's store.
type Store interface {
	Read(ctx context.Context, table, part string) (platform.Changes, error)
	Commit(ctx context.Context, t platform.Transaction) (uint64, []platform.Row, error)
}

// Change is an entry of the audit trail.
type Change struct {
	Version uint64    `json:"version"` // of the configuration that it made
	At      time.Time `json:"at"`      // by the operator's clock
	Actor   string    `json:"actor"`
	Summary    string    `json:"what"` // in words, without keys
	// Branches are the branches of the tree that changed.
	Branches []settings.Change `json:"branches,omitempty"`
}

// Client makes changes in the name of one actor.
type Client struct {
	store Store
	actor string
	now   func() time.Time
}

// New returns an operator.
func New(store Store, actor string) *Client {
	return &Client{store: store, actor: actor, now: time.Now}
}

// loaded is a fleet with the versions of the rows that it was read from.
type loaded struct {
	*FleetConfig
	config, tree uint64
	audit        []Change
}

// FleetConfig reads the present configuration.
func (o *Client) FleetConfig(ctx context.Context) (*FleetConfig, error) {
	l, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	return l.FleetConfig, nil
}

// Audit reads the trail of changes, oldest first.
func (o *Client) Audit(ctx context.Context) ([]Change, error) {
	l, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	return l.audit, nil
}

func (o *Client) load(ctx context.Context) (*loaded, error) {
	rows, err := o.store.Read(ctx, platform.ConfigurationTable, "")
	if err != nil {
		return nil, err
	}
	l := &loaded{FleetConfig: &FleetConfig{Tree: settings.NewTree(), Keys: map[string][]string{}}}
	for _, r := range rows.Rows {
		if err := l.take(r); err != nil {
			return nil, fmt.Errorf("row %q of the operator: %w", r.Key, err)
		}
	}
	return l, nil
}

func (l *loaded) take(r platform.Row) error {
	switch {
	case r.Key == platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			return err
		}
		l.Version, l.config = c.Version, r.Version
		for _, w := range c.Workspaces {
			l.Keys[w.Name] = w.Keys
		}
	case r.Key == TreeKey:
		tree, err := settings.Parse(TreeKey, r.Value)
		if err != nil {
			return err
		}
		l.Tree, l.tree = tree, r.Version
	case strings.HasPrefix(r.Key, auditPrefix):
		var c Change
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		l.audit = append(l.audit, c)
	}
	return nil
}

// Apply makes a change. edit changes the fleet and says in words what it did; it
// is called once.
func (o *Client) Apply(ctx context.Context, edit func(*FleetConfig) (what string, err error)) (*Change, error) {
	l, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	before := l.Tree
	what, err := edit(l.FleetConfig)
	if err != nil {
		return nil, err
	}
	l.Version++
	c := &Change{Version: l.Version, At: o.now(), Actor: o.actor, Summary: what, Branches: settings.Diff(before, l.Tree)}
	tx, err := l.transaction(c)
	if err != nil {
		return nil, err
	}
	_, _, err = o.store.Commit(ctx, tx)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return nil, fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	case err != nil:
		return nil, err
	}
	return c, nil
}

func (l *loaded) transaction(c *Change) (platform.Transaction, error) {
	config, err := platform.EncodeConfiguration(l.NodeConfiguration())
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := json.Marshal(c)
	if err != nil {
		return platform.Transaction{}, err
	}
	auditKey := fmt.Sprintf("%s%020d", auditPrefix, c.Version)
	const table = platform.ConfigurationTable
	return platform.Transaction{
		Expected: []platform.Expect{
			{Table: table, Key: platform.ConfigurationKey, Version: l.config},
			{Table: table, Key: TreeKey, Version: l.tree},
			{Table: table, Key: auditKey},
		},
		Puts: []platform.Row{
			{Table: table, Key: platform.ConfigurationKey, Value: config},
			{Table: table, Key: TreeKey, Value: settings.Render(l.Tree)},
			{Table: table, Key: auditKey, Value: audit},
		},
	}, nil
}
