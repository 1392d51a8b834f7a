// Package catalog compiles the operator's configuration into lookup tables for
// requests: the route for a host and path, the workspace for a key, and the
// access rules, importance and timeout of each request.
//
// Routes, services and workspaces come from the platform's configuration. Settings
// that it cannot express, such as weights, allowed workspaces and limits of
// services, come from the settings tree, in which each branch inherits from the one
// above.
//
// A Catalog is immutable. A node replaces it as a whole when it learns of a newer
// version and never returns to an older one, so each request is handled with one
// version from start to end.
package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// Catalog is one compiled version of the operator's configuration.
type Catalog struct {
	Version uint64

	services         map[string]platform.Service
	routesByHost     map[string][]*Route // longest prefix first
	routes           []*Route
	keys             *workspace.Keys
	workspaces       []*Workspace
	workspacesByName map[string]*Workspace
	tree             *settings.Compiled
	importanceByRank map[rank]request.Importance
	flows            map[request.Flow]*Route
	requireKeys      bool
}

// Route is a route of the platform's configuration with its settings from the tree.
type Route struct {
	platform.Route
	flows       []request.Flow  // by index of Services
	totalWeight float64         // sum of the weights of Services
	allowed     map[string]bool // workspaces that may use the route; nil for all
}

// Allows reports whether a workspace may use the route. w is nil for requests
// without a key.
func (r *Route) Allows(w *Workspace) bool { return r.allowed == nil || w != nil && r.allowed[w.Name] }

// Workspace is a workspace with its limits. It does not contain the keys: the
// catalog stores only their digests.
type Workspace struct {
	Name     string
	Priority *int // compared before the priority of the route, 0 is the highest; nil if not set
	Rate     float64
	Burst    float64
	// Weight sets the workspace's share of an overloaded service relative to other
	// workspaces.
	Weight        float64
	MaxImportance request.Importance
}

// New compiles a configuration with a settings tree, which may be nil.
func New(c *platform.Configuration, tree *settings.Tree) *Catalog {
	if tree == nil {
		tree = settings.NewTree()
	}
	compiled := settings.Compile(tree)
	allowed := map[string]map[string]bool{}
	for _, r := range compiled.Routes() {
		allowed[r.Name] = r.Workspaces
	}
	out := &Catalog{
		tree:             compiled,
		Version:          c.Version,
		services:         make(map[string]platform.Service, len(c.Services)),
		routesByHost:     make(map[string][]*Route),
		workspacesByName: make(map[string]*Workspace, len(c.Workspaces)),
		flows:            make(map[request.Flow]*Route, len(c.Routes)),
		requireKeys:      c.Workspaces != nil,
	}
	for _, s := range c.Services {
		out.services[s.Name] = s
	}
	for _, r := range c.Routes {
		route := &Route{Route: r, allowed: allowed[r.Name]}
		for _, s := range r.Services {
			route.totalWeight += s.Weight
			flow := request.FlowOf(r.Name, s.Service)
			route.flows = append(route.flows, flow)
			out.flows[flow] = route
		}
		host := strings.ToLower(r.Host)
		out.routesByHost[host] = append(out.routesByHost[host], route)
		out.routes = append(out.routes, route)
	}
	for _, rs := range out.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	issued := map[workspace.Digest]string{}
	for _, w := range c.Workspaces {
		treeSettings := compiled.Workspace(w.Name)
		ws := &Workspace{
			Name: w.Name, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst,
			Weight: treeSettings.Weight * max(w.Rate, 1), MaxImportance: treeSettings.MaxImportance,
		}
		out.workspaces = append(out.workspaces, ws)
		out.workspacesByName[w.Name] = ws
		for _, k := range w.Keys {
			issued[workspace.DigestOf(k)] = w.Name
		}
	}
	out.keys = workspace.NewKeysFrom(issued, nil)
	out.assignImportance()
	return out
}

// NewerThan reports whether c has a higher version than old. A nil old is older
// than any catalog.
func (c *Catalog) NewerThan(old *Catalog) bool { return old == nil || c.Version > old.Version }

// CanonicalHost returns the one spelling of a host that a request may write in several: with or
// without a port, in letters of either case.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i] // the colons of an IPv6 address are inside brackets
	}
	return strings.ToLower(host)
}

// Route returns the route for a host, with or without a port, and a path. Of the
// host's routes whose prefix matches the path, the longest prefix wins; routes for
// any host are tried last.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	for _, h := range []string{CanonicalHost(host), settings.AnyHost} {
		for _, r := range c.routesByHost[h] {
			if strings.HasPrefix(path, r.Prefix) {
				return r, true
			}
		}
	}
	return nil, false
}

// Routes returns all routes.
func (c *Catalog) Routes() []*Route { return c.routes }

// WorkspaceByKey returns the workspace to which a key was issued.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	if key == "" {
		return nil, false
	}
	name, status := c.keys.Check(workspace.DigestOf(key))
	return c.workspacesByName[name], status == workspace.Valid
}

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []*Workspace { return c.workspaces }

// NeedsKey reports whether requests on the route must carry a workspace key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.requireKeys && !r.Public }

// Service returns the tree's settings of a service.
func (c *Catalog) Service(name string) *settings.Service { return c.tree.Service(name) }

// Backends returns what the platform's configuration says of the backend servers of a
// service; the zero value if it does not name the service.
func (c *Catalog) Backends(service string) platform.Service { return c.services[service] }

// Carries reports whether a flow is that of the same requests at the same service as in an
// earlier configuration, which may be nil.
func (c *Catalog) Carries(earlier *Catalog, f request.Flow) bool {
	if earlier == nil {
		return false
	}
	now, before := c.flows[f], earlier.flows[f]
	return now != nil && before != nil && now.Host == before.Host && now.Prefix == before.Prefix
}

// Flow returns the flow of the route's requests at one of its services.
func (r *Route) Flow(service string) request.Flow {
	for i, s := range r.Services {
		if s.Service == service {
			return r.flows[i]
		}
	}
	return request.FlowOf(r.Name, service)
}

// PickService chooses the service of a request at random in proportion to the
// weights of the route's services. An overloaded service keeps its weight: its
// excess requests are refused instead of being moved to the others, so that no
// service gets more than its configured fraction.
func (r *Route) PickService(rnd *rand.Rand) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	x := rnd.Float64() * r.totalWeight
	for _, s := range r.Services {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// EffectiveTimeout returns the longest time that a request on the route may take:
// the caller's deadline, given as the time left, or the operator's timeout,
// whichever is shorter. It returns fallback if neither is set.
func (r *Route) EffectiveTimeout(deadline, fallback time.Duration) time.Duration {
	timeout := deadline
	if timeout <= 0 || r.Timeout > 0 && r.Timeout < timeout {
		timeout = r.Timeout
	}
	if timeout <= 0 {
		return fallback
	}
	return timeout
}

// rank orders requests by importance: first by the priority of the workspace, then
// by that of the route. Lower values are more important.
type rank struct {
	hasWorkspace     bool // requests with and without a workspace are ranked separately
	workspace, route int
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

func rankOf(r *Route, w *Workspace) rank {
	if w != nil && w.Priority != nil {
		return rank{true, *w.Priority, r.Priority}
	}
	return rank{w != nil, r.Priority, r.Priority}
}

// assignImportance maps the ranks that can occur onto the levels of importance,
// spread evenly. Different ranks get different levels as long as there are enough
// levels.
func (c *Catalog) assignImportance() {
	var withoutKey, withKey []rank
	for _, r := range c.routes {
		if !c.NeedsKey(r) {
			withoutKey = append(withoutKey, rankOf(r, nil))
			continue
		}
		for _, w := range c.workspaces {
			withKey = append(withKey, rankOf(r, w))
		}
	}
	c.importanceByRank = make(map[rank]request.Importance, len(withoutKey)+len(withKey))
	for _, ranks := range [][]rank{withoutKey, withKey} {
		slices.SortFunc(ranks, rank.compare)
		ranks = slices.Compact(ranks)
		for i, k := range ranks {
			c.importanceByRank[k] = request.Critical - request.Importance(i*int(request.Critical)/max(len(ranks)-1, 1))
		}
	}
}

// Importance returns the importance of a workspace's requests on a route. w is nil
// for requests without a key.
func (c *Catalog) Importance(r *Route, w *Workspace) request.Importance {
	i, ok := c.importanceByRank[rankOf(r, w)]
	if !ok {
		i = request.Normal
	}
	if w != nil {
		i = min(i, w.MaxImportance)
	}
	return i
}
