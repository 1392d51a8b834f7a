package configcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// ChangeKind is what happens to an entry.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference of one entry between two configurations.
type Change struct {
	Entry string     `json:"entry"`
	Kind  ChangeKind `json:"change"`
	// TakesAway is true if callers lose something by the change: a route, a key, or a part
	// of a limit.
	TakesAway bool          `json:"takesAway"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field of an entry. Old or New is empty if the field
// is not set there.
type FieldChange struct {
	Field     string `json:"field"`
	Old       string `json:"old"`
	New       string `json:"new"`
	TakesAway bool   `json:"takesAway"`
}

// CheckVersion returns a finding if nodes would ignore a configuration because its version
// is not above the one in force.
func CheckVersion(updated, inForce Config) []Finding {
	if updated.Version > inForce.Version {
		return nil
	}
	f := Finding{
		Severity: Error, File: updated.Origin.File, Entry: "version",
		Problem: fmt.Sprintf("version %d is not above version %d, which is in force, so nodes ignore it", updated.Version, inForce.Version),
		Remedy:  fmt.Sprintf("set a version of %d or more", inForce.Version+1),
	}
	if updated.Version == inForce.Version && len(Compare(inForce, updated)) == 0 {
		f.Severity, f.Problem, f.Remedy = Warning, fmt.Sprintf("version %d is in force already", updated.Version), "nothing to send"
	}
	if updated.Origin.Line != nil {
		f.Line = updated.Origin.Line("", 0, "", "")
	}
	return []Finding{f}
}

// Compare returns the entries that differ, in the order of kinds and names.
func Compare(old, updated Config) []Change {
	before, after := fieldsByEntry(old), fieldsByEntry(updated)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		oldFields, inOld := before[name]
		newFields, inNew := after[name]
		c := Change{Entry: workspace.Redact(name), Kind: Changed}
		switch {
		case !inOld:
			c.Kind = Added
		case !inNew:
			c.Kind, c.TakesAway = Removed, !strings.HasPrefix(name, string(settings.KindService))
		}
		c.Fields = compareFields(oldFields, newFields)
		switch c.Kind {
		case Removed: // what else it had says nothing once it is gone
			c.Fields = slices.DeleteFunc(c.Fields, func(f FieldChange) bool { return !oldFields[f.Field].granted })
		case Changed:
			c.TakesAway = slices.ContainsFunc(c.Fields, func(f FieldChange) bool { return f.TakesAway })
		}
		if c.Kind == Changed && len(c.Fields) == 0 {
			continue
		}
		out = append(out, c)
	}
	return out
}

// field is one field of an entry in a form that can be compared and shown.
type field struct {
	value string
	// limit is what callers get by the field; NaN if that has no order.
	limit float64
	// granted is true if callers lose something when the field changes or goes.
	granted bool
	// allowed are the workspaces that may use a route; nil in other fields.
	allowed *allowedWorkspaces
}

// allowedWorkspaces is a list of workspaces; nil means all.
type allowedWorkspaces struct{ names map[string]bool }

func (a *allowedWorkspaces) String() string {
	if a.names == nil {
		return "all"
	}
	return strings.Join(slices.Sorted(maps.Keys(a.names)), ",")
}

// within reports whether b allows all that a allows.
func (a *allowedWorkspaces) within(b *allowedWorkspaces) bool {
	if b == nil || b.names == nil || a.names == nil {
		return b == nil || b.names == nil
	}
	for name := range a.names {
		if !b.names[name] {
			return false
		}
	}
	return true
}

func plain(v any) field   { return field{value: fmt.Sprint(v), limit: math.NaN()} }
func granted(v any) field { return field{value: fmt.Sprint(v), limit: math.NaN(), granted: true} }

// takesAway reports whether callers lose something when the field becomes b.
func (f field) takesAway(b field) bool {
	if f.allowed != nil {
		return !f.allowed.within(b.allowed)
	}
	return f.granted || b.limit < f.limit
}

// limit returns a field of which callers get more when it is higher.
func limit(v float64) field { return field{value: strconv.FormatFloat(v, 'g', -1, 64), limit: v} }

// optionalLimit returns a limit for which 0 means none.
func optionalLimit(v float64) field {
	if v == 0 {
		return field{value: "none", limit: math.Inf(1)}
	}
	return limit(v)
}

func timeLimit(d time.Duration) field {
	f := optionalLimit(d.Seconds())
	if d != 0 {
		f.value = d.String()
	}
	return f
}

func compareFields(old, updated map[string]field) []FieldChange {
	all := maps.Clone(old)
	if all == nil {
		all = map[string]field{}
	}
	maps.Copy(all, updated)
	var out []FieldChange
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, b := old[name], updated[name]
		if a.value == b.value {
			continue
		}
		out = append(out, FieldChange{
			Field: name, Old: workspace.Redact(a.value), New: workspace.Redact(b.value), TakesAway: a.takesAway(b),
		})
	}
	return out
}

// fieldsByEntry returns the fields of all entries of a configuration, by kind and name.
func fieldsByEntry(c Config) map[string]map[string]field {
	var tree *settings.Compiled
	if c.Tree != nil {
		tree = settings.Compile(c.Tree)
	}
	out := map[string]map[string]field{"limits": {
		"bytes of a header": limit(float64(c.Limits.HeaderBytes)), "bytes of a body": limit(float64(c.Limits.BodyBytes)),
		"time for a header": timeLimit(c.Limits.HeaderTimeout), "idle time": timeLimit(c.Limits.IdleTimeout),
	}}
	c.eachRoute(func(e entry, r platform.Route) { out[e.String()] = routeFields(r, c.Workspaces != nil, tree) })
	c.eachService(func(e entry, s platform.Service) { out[e.String()] = serviceFields(s, tree) })
	c.eachWorkspace(func(e entry, w platform.Workspace) { out[e.String()] = workspaceFields(w, tree) })
	return out
}

func routeFields(r platform.Route, keysNeeded bool, tree *settings.Compiled) map[string]field {
	weights := make([]string, 0, len(r.Services))
	for _, s := range r.Services {
		if len(r.Services) > 1 {
			weights = append(weights, fmt.Sprintf("%s:%g", s.Service, s.Weight))
		} else {
			weights = append(weights, s.Service)
		}
	}
	needsKey := keysNeeded && !r.Public
	out := map[string]field{
		"host": granted(strings.ToLower(r.Host)), "prefix": granted(r.Prefix), "services": plain(strings.Join(weights, " ")),
		"idempotent": plain(r.Idempotent), "timeout": timeLimit(r.Timeout), "latency target": plain(r.TargetLatency),
		"priority": plain(r.Priority), "attempts": limit(float64(r.MaxAttempts)),
		"needs a key": {value: strconv.FormatBool(needsKey), limit: math.NaN(), granted: !needsKey},
	}
	if tree == nil {
		return out
	}
	allowed := &allowedWorkspaces{}
	for _, x := range tree.Routes() {
		if x.Name == r.Name {
			allowed.names = x.Workspaces
		}
	}
	out["allowed workspaces"] = field{value: allowed.String(), limit: math.NaN(), allowed: allowed}
	return out
}

func serviceFields(s platform.Service, tree *settings.Compiled) map[string]field {
	out := map[string]field{
		"health path": plain(s.HealthPath), "connections": limit(float64(s.MaxConns)),
		"cold time": plain(s.ColdTime), "cold rate": optionalLimit(s.ColdRate),
	}
	if tree != nil {
		t := tree.Service(s.Name)
		out["retry ratio"], out["bytes of a body"], out["queue time"] = limit(t.RetryRatio), limit(float64(t.MaxBody)), timeLimit(t.QueueTime)
	}
	return out
}

func workspaceFields(w platform.Workspace, tree *settings.Compiled) map[string]field {
	out := map[string]field{"rate": optionalLimit(w.Rate), "burst": limit(w.Burst), "priority": plain("none")}
	if w.Priority != nil {
		out["priority"] = plain(*w.Priority)
	}
	for _, k := range w.Keys {
		out[fmt.Sprintf("key %s", workspace.DigestOf(k))] = granted("held")
	}
	if tree != nil {
		t := tree.Workspace(w.Name)
		out["weight"], out["highest importance"] = plain(t.Weight), plain(t.MaxImportance)
	}
	return out
}
