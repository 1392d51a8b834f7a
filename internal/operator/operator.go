// Package operator changes the configuration of a fleet whose operators use
// teaselseam's own settings tree.
//
// A fleet's configuration (FleetConfig) consists of the settings tree and the
// workspace keys. It is changed as a whole: an edit is validated against the rules
// of the tree, rendered to the configuration that nodes read, and committed together
// with the tree and an entry of the audit trail in one transaction. The transaction
// succeeds only if the configuration has not changed since it was read. If two
// operators change it at the same time, one of them gets ErrConflict and no part of
// that change takes effect.
//
// Operators of the users' platform write the configuration for nodes themselves, with
// their own tools. Nodes read it from the same row in both cases.
package operator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// Errors of changes, for use with errors.Is.
var (
	ErrConflict = errors.New("the configuration was changed concurrently; this change was not applied")
	ErrOutcomeUnknown  = errors.New("it is unknown whether the change took effect; check the audit trail")
	ErrInvalid  = errors.New("invalid change")
)

// Limits on callers' requests and connections, and the path of the backend servers'
// health check. They are the same for all fleets.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	healthPath     = "/healthz"
)

// FleetConfig is the configuration of a fleet.
type FleetConfig struct {
	Version uint64 // 0 if nothing is configured yet
	Tree    *settings.Tree
	Keys    map[string][]string // keys by workspace
}

// Edit replaces the values of the given branches of the tree. A branch without
// values is removed.
func (f *FleetConfig) Edit(branches map[settings.Branch]settings.Values) error {
	tree := f.Tree
	for b, v := range branches {
		tree = tree.With(b, v)
	}
	if err := tree.Validate("edit"); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	f.Tree = tree
	return nil
}

// IssueKey generates a key for a workspace and returns it.
func (f *FleetConfig) IssueKey(name string) (string, error) {
	if !settings.ValidName(name) {
		return "", fmt.Errorf("%w: %q is not a valid workspace name", ErrInvalid, name)
	}
	key := workspace.GenerateKey()
	f.Keys[name] = append(f.Keys[name], key)
	return key, nil
}

// RevokeKey removes a key, given as the key itself or its whole digest, and returns
// the name of its workspace.
func (f *FleetConfig) RevokeKey(key string) (name string, err error) {
	for name, keys := range f.Keys {
		for i, k := range keys {
			if k == key || workspace.DigestOf(k).String() == key {
				f.Keys[name] = slices.Delete(slices.Clone(keys), i, i+1)
				return name, nil
			}
		}
	}
	return "", fmt.Errorf("%w: no workspace has this key", ErrInvalid)
}

// NodeConfiguration renders the configuration that nodes read.
func (f *FleetConfig) NodeConfiguration() *platform.Configuration {
	compiled := settings.Compile(f.Tree)
	c := &platform.Configuration{
		Version: f.Version, Workspaces: []platform.Workspace{},
		Limits: platform.Limits{
			HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		},
	}
	services := map[string]bool{}
	for _, r := range compiled.Routes() {
		services[r.Service] = true
		c.Routes = append(c.Routes, platform.Route{
			Name: r.Name, Host: r.Host, Prefix: strings.TrimSuffix(r.Path, "/") + "/",
			Services:   []platform.WeightedService{{Service: r.Service, Weight: 1}},
			Idempotent: r.Idempotent, Timeout: r.Timeout, TargetLatency: r.TargetLatency,
			Priority: int(request.Critical - r.Importance), MaxAttempts: 1 + r.RetryBudget,
		})
	}
	for name := range services {
		c.Services = append(c.Services, platform.Service{
			Name: name, HealthPath: healthPath, MaxConns: compiled.Service(name).MaxConnections,
		})
	}
	names := compiled.Workspaces()
	for name := range f.Keys {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		w := compiled.Workspace(name)
		c.Workspaces = append(c.Workspaces, platform.Workspace{Name: name, Keys: f.Keys[name], Rate: w.Rate, Burst: w.Burst})
	}
	slices.SortFunc(c.Services, func(a, b platform.Service) int { return cmp.Compare(a.Name, b.Name) })
	return c
}
