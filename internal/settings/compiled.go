package settings

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Workspace holds the effective settings of a workspace.
type Workspace struct {
	Name          string
	Rate          float64 // requests per second, fleet-wide
	Burst         float64 // requests, fleet-wide
	Weight        float64 // share of a contended backend server, relative to other workspaces
	MaxImportance request.Importance
}

// Route holds the effective settings of a route.
type Route struct {
	Name          string
	Host          string // AnyHost for every host
	Path          string
	Service       string
	Workspaces    map[string]bool // those that may use the route; nil means all
	Importance    request.Importance
	Idempotent    bool
	TargetLatency time.Duration // the latency target, set with the key aim
	Timeout       time.Duration
	RetryBudget   int // maximum number of attempts after the first
}

// Allows reports whether a workspace may use the route.
func (r *Route) Allows(workspace string) bool {
	return r.Workspaces == nil || r.Workspaces[workspace]
}

// Service holds the effective settings of a service.
type Service struct {
	Name           string
	RetryRatio     float64       // maximum number of retries per first attempt
	MaxConnections int           // that one backend server accepts
	MaxBody        int64         // bytes
	QueueTime      time.Duration // maximum time in the queue for a slot
}

// Compiled is a tree with all values resolved and parsed, for use while handling
// requests. It is immutable.
type Compiled struct {
	tree       *Tree
	routes     []*Route              // longest path first
	workspaces map[string]*Workspace // by name; the empty name holds the defaults
	services   map[string]*Service   // by name; the empty name holds the defaults
}

// Compile compiles a tree, which must be valid.
func Compile(t *Tree) *Compiled {
	c := &Compiled{
		tree:       t,
		workspaces: map[string]*Workspace{"": t.workspace("")},
		services:   map[string]*Service{"": t.service("")},
	}
	for b := range t.branches {
		switch b.Kind {
		case KindWorkspace:
			c.workspaces[b.Name] = t.workspace(b.Name)
		case KindService:
			c.services[b.Name] = t.service(b.Name)
		case KindRoute:
			r := t.route(b.Name)
			if r.Path == "" || r.Service == "" {
				continue // cannot occur in a valid tree
			}
			c.routes = append(c.routes, r)
		}
	}
	sort.Slice(c.routes, func(i, j int) bool {
		a, b := c.routes[i], c.routes[j]
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		return a.Name < b.Name
	})
	return c
}

// AnyHost is the host of a route that matches every host.
const AnyHost = "any"

// Routes returns all routes, longest path first.
func (c *Compiled) Routes() []*Route { return c.routes }

// Workspaces returns the names of all workspaces that have a branch.
func (c *Compiled) Workspaces() []string { return branchNames(c.workspaces) }

// Services returns the names of all services that have a branch.
func (c *Compiled) Services() []string { return branchNames(c.services) }

func branchNames[T any](entries map[string]*T) []string {
	var out []string
	for name := range entries {
		if name != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Tree returns the tree that c was compiled from.
func (c *Compiled) Tree() *Tree { return c.tree }

// MatchRoute returns the route with the longest path that is a prefix of the given one.
// A prefix matches only complete path segments.
func (c *Compiled) MatchRoute(path string) (*Route, bool) {
	for _, r := range c.routes {
		if rest, ok := strings.CutPrefix(path, r.Path); ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/")) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the settings of a workspace. A workspace without a branch of its own
// has those of its nearest ancestor. The method is small enough to be inlined, so the
// result stays on the caller's stack unless it escapes there.
func (c *Compiled) Workspace(name string) *Workspace {
	w := c.workspace(name)
	return &w
}

//go:noinline
func (c *Compiled) workspace(name string) Workspace {
	w := *nearest(c.workspaces, name)
	w.Name = name
	return w
}

// Service returns the settings of a service in the same way as Workspace.
func (c *Compiled) Service(name string) *Service {
	s := c.service(name)
	return &s
}

//go:noinline
func (c *Compiled) service(name string) Service {
	s := *nearest(c.services, name)
	s.Name = name
	return s
}

// nearest returns the entry of a name or else of its nearest ancestor. The entry of the
// empty name holds the defaults.
func nearest[T any](entries map[string]*T, name string) *T {
	for {
		if e, ok := entries[name]; ok {
			return e
		}
		name = name[:max(strings.LastIndexByte(name, '/'), 0)]
	}
}

func (t *Tree) workspace(name string) *Workspace {
	b := Branch{Kind: KindWorkspace, Name: name}
	return &Workspace{
		Name:          name,
		Rate:          t.float(b, "rate"),
		Burst:         t.float(b, "burst"),
		Weight:        t.float(b, "weight"),
		MaxImportance: t.importance(b, "max_importance"),
	}
}

func (t *Tree) route(name string) *Route {
	b := Branch{Kind: KindRoute, Name: name}
	path, _ := t.Lookup(b, "path")
	service, _ := t.Lookup(b, "service")
	host, _ := t.Lookup(b, "host")
	idempotent, _ := t.Lookup(b, "idempotent")
	return &Route{
		Name:          name,
		Host:          host,
		Path:          path,
		Service:       service,
		Workspaces:    t.workspaceSet(b),
		Importance:    t.importance(b, "importance"),
		Idempotent:    idempotent == "true",
		TargetLatency: t.duration(b, "aim"),
		Timeout:       t.duration(b, "timeout"),
		RetryBudget:   int(t.integer(b, "retry_budget")),
	}
}

func (t *Tree) service(name string) *Service {
	b := Branch{Kind: KindService, Name: name}
	return &Service{
		Name:           name,
		RetryRatio:     t.float(b, "retry_ratio"),
		MaxConnections: int(t.integer(b, "max_connections")),
		MaxBody:        t.integer(b, "max_body"),
		QueueTime:      t.duration(b, "queue_time"),
	}
}

func (t *Tree) workspaceSet(b Branch) map[string]bool {
	list, _ := t.Lookup(b, "workspaces")
	if strings.TrimSpace(list) == "*" {
		return nil
	}
	set := map[string]bool{}
	for _, name := range strings.Split(list, ",") {
		if name = strings.TrimSpace(name); name != "" {
			set[name] = true
		}
	}
	return set
}

// The typed lookups below ignore parse errors, because a tree is validated before it is
// compiled.

func (t *Tree) float(b Branch, key string) float64 {
	s, _ := t.Lookup(b, key)
	v, _ := strconv.ParseFloat(s, 64)
	return v
}

func (t *Tree) integer(b Branch, key string) int64 {
	s, _ := t.Lookup(b, key)
	v, _ := strconv.ParseInt(s, 10, 64)
	return v
}

func (t *Tree) duration(b Branch, key string) time.Duration {
	s, _ := t.Lookup(b, key)
	v, _ := time.ParseDuration(s)
	return v
}

func (t *Tree) importance(b Branch, key string) request.Importance {
	s, _ := t.Lookup(b, key)
	v, _ := request.ParseImportance(s)
	return v
}
