// Package catalog is the operator's configuration in the form in which requests
// are matched against it: the route of a host and path, the workspace of a key,
// and what each request may do.
//
// Routes, services and workspaces come from the platform's configuration. What that
// has no place for, such as weights, allowed workspaces and limits of services,
// comes from the settings tree, in which each branch inherits from the one above.
//
// A Catalog is immutable. A node swaps it as a whole when it learns of a newer
// version (Newer), so a request is handled by one version from its start to its
// end, and a node never goes back to an older one.
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

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version uint64

	hosts      map[string][]*Route // longest prefix first
	routes     []*Route
	keys       *workspace.Keys
	workspaces []*Workspace
	byName     map[string]*Workspace
	tree       *settings.Compiled
	levels     map[rank]request.Importance
	withKeys   bool
}

// Route is a route of the catalog.
type Route struct {
	platform.Route
	weight  float64         // sum over the parts
	allowed map[string]bool // workspaces; nil for all
}

// Allows tells whether a workspace may use the route.
func (r *Route) Allows(w *Workspace) bool { return r.allowed == nil || w != nil && r.allowed[w.Name] }

// Workspace is a workspace of the catalog. Its keys are kept as digests only.
type Workspace struct {
	Name  string
	Rank  *int
	Rate  float64
	Burst float64
	// Weight is the share of a contended service relative to other workspaces.
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
		tree:     compiled,
		Version:  c.Version,
		hosts:    make(map[string][]*Route),
		byName:   make(map[string]*Workspace, len(c.Workspaces)),
		withKeys: c.Workspaces != nil,
	}
	for _, r := range c.Routes {
		route := &Route{Route: r, allowed: allowed[r.Name]}
		for _, p := range r.Services {
			route.weight += p.Weight
		}
		host := strings.ToLower(r.Host)
		out.hosts[host] = append(out.hosts[host], route)
		out.routes = append(out.routes, route)
	}
	for _, rs := range out.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	issued := map[workspace.Digest]string{}
	for _, w := range c.Workspaces {
		set := compiled.Workspace(w.Name)
		ws := &Workspace{
			Name: w.Name, Rank: w.Priority, Rate: w.Rate, Burst: w.Burst,
			Weight: set.Weight * max(w.Rate, 1), MaxImportance: set.MaxImportance,
		}
		out.workspaces = append(out.workspaces, ws)
		out.byName[w.Name] = ws
		for _, k := range w.Keys {
			issued[workspace.DigestOf(k)] = w.Name
		}
	}
	out.keys = workspace.NewKeysFrom(issued, nil)
	out.rankAll()
	return out
}

// NewerThan tells whether c replaces old, which may be nil.
func (c *Catalog) NewerThan(old *Catalog) bool { return old == nil || c.Version > old.Version }

// Route returns the route of a host, with or without a port, and a path: the one
// with the longest prefix that begins the path.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i] // the colons of an IPv6 address stand in brackets
	}
	for _, h := range []string{strings.ToLower(host), settings.AnyHost} {
		for _, r := range c.hosts[h] {
			if strings.HasPrefix(path, r.Prefix) {
				return r, true
			}
		}
	}
	return nil, false
}

// Routes returns all routes.
func (c *Catalog) Routes() []*Route { return c.routes }

// WorkspaceByKey returns the workspace that holds a key.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	if key == "" {
		return nil, false
	}
	name, verdict := c.keys.Check(workspace.DigestOf(key))
	return c.byName[name], verdict == workspace.Valid
}

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []*Workspace { return c.workspaces }

// NeedsKey tells whether requests on the route carry a workspace key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.withKeys && !r.Public }

// Service returns the settings of a service.
func (c *Catalog) Service(name string) *settings.Service { return c.tree.Service(name) }

// PickService chooses the service of a request by the weights of the route's parts.
// A part that is short of room keeps its weight: what does not fit there is
// refused, so that no part gets more than the operator gave it.
func (r *Route) PickService(rnd *rand.Rand) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	x := rnd.Float64() * r.weight
	for _, p := range r.Services {
		if x -= p.Weight; x < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// EffectiveTimeout is the time that a request on the route is kept waiting at most: the
// caller's deadline or the operator's timeout, whichever is shorter. Without
// either it is fallback.
func (r *Route) EffectiveTimeout(deadline, fallback time.Duration) time.Duration {
	wait := deadline
	if wait <= 0 || r.Timeout > 0 && r.Timeout < wait {
		wait = r.Timeout
	}
	if wait <= 0 {
		return fallback
	}
	return wait
}

// rank orders requests: the rank of the workspace goes before that of the route.
// Lower ones are more important.
type rank struct {
	keyed            bool // requests with and without a key are ranked apart
	workspace, route int
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

func rankOf(r *Route, w *Workspace) rank {
	if w != nil && w.Rank != nil {
		return rank{true, *w.Rank, r.Priority}
	}
	return rank{w != nil, r.Priority, r.Priority}
}

// rankAll spreads the ranks that can occur over the levels of importance, so that
// ranks that differ get different levels as far as there are enough.
func (c *Catalog) rankAll() {
	var open, keyed []rank
	for _, r := range c.routes {
		if !c.NeedsKey(r) {
			open = append(open, rankOf(r, nil))
			continue
		}
		for _, w := range c.workspaces {
			keyed = append(keyed, rankOf(r, w))
		}
	}
	c.levels = make(map[rank]request.Importance, len(open)+len(keyed))
	for _, ranks := range [][]rank{open, keyed} {
		slices.SortFunc(ranks, rank.compare)
		ranks = slices.Compact(ranks)
		for i, k := range ranks {
			c.levels[k] = request.Critical - request.Importance(i*int(request.Critical)/max(len(ranks)-1, 1))
		}
	}
}

// Importance returns the importance of a request on the route for a workspace,
// nil for requests without a key.
func (c *Catalog) Importance(r *Route, w *Workspace) request.Importance {
	i, ok := c.levels[rankOf(r, w)]
	if !ok {
		i = request.Normal
	}
	if w != nil {
		i = min(i, w.MaxImportance)
	}
	return i
}
