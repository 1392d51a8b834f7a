// Package configcheck examines a configuration before an operator sends it to the fleet.
//
// Nodes reject a configuration that they cannot read as a whole, and go on with the one
// before. One that they can read may still do something else than its author meant: a
// route that another one hides, a burst without a rate, a key that is no longer there.
// Check returns what is wrong with a configuration in itself, Compare what it changes
// and takes away from callers.
//
// Findings and changes never contain a key, only digests of keys.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// Severity is how bad a finding is.
type Severity string

// Severities.
const (
	// Error means that nodes reject the configuration, ignore it, or cannot do what it says.
	Error Severity = "error"
	// Warning means that a part has no effect, or contradicts another one.
	Warning Severity = "warning"
	// Note explains an effect that is easily overlooked, in a configuration that is sound.
	Note Severity = "note"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file,omitempty"`
	Line     int      `json:"line,omitempty"`  // 0 if not known
	Entry    string   `json:"entry,omitempty"` // such as "route order"
	Problem  string   `json:"problem"`
	Remedy   string   `json:"remedy"`
}

// Origin finds the line of an entry in the file that it comes from.
type Origin struct {
	File string
	// Line returns the line of an entry, which is the index-th of its kind, or of a setting
	// in it; 0 if not known.
	Line func(kind settings.Kind, index int, name, key string) int
}

// JSONOrigin returns the origin of entries in a configuration in JSON.
func JSONOrigin(file string, lines platform.ConfigurationLines) Origin {
	tables := map[settings.Kind][]int{
		settings.KindRoute: lines.Routes, settings.KindService: lines.Services, settings.KindWorkspace: lines.Workspaces,
	}
	return Origin{File: file, Line: func(kind settings.Kind, index int, _, _ string) int {
		if kind == "" {
			return lines.Version
		}
		if table := tables[kind]; index >= 0 && index < len(table) {
			return table[index]
		}
		return 0
	}}
}

// TreeOrigin returns the origin of entries in a settings tree as INI.
func TreeOrigin(file string, lines settings.Lines) Origin {
	return Origin{File: file, Line: func(kind settings.Kind, _ int, name, key string) int {
		return lines.Of(settings.Branch{Kind: kind, Name: name}.String(), key)
	}}
}

// Config is a configuration to check or to compare.
type Config struct {
	*platform.Configuration // nil if it cannot be decoded at all
	// Faults keep nodes from reading the configuration, or parts of it.
	Faults []platform.ConfigurationFault
	// Tree is the settings tree that applies with the configuration; nil if not known.
	Tree *settings.Tree
	// Origin is where the entries come from, TreeOrigin where the branches of the tree do.
	// The zero value means that no file is known.
	Origin, TreeOrigin Origin
	// KeysSeparate is true if keys are issued on their own, so that a workspace without one
	// is nothing unusual. KeysUnknown is true if it is not known which have been issued.
	KeysSeparate, KeysUnknown bool
}

// FromProblems returns the findings for a settings tree with problems.
func FromProblems(problems []*settings.Problem) []Finding {
	var out []Finding
	for _, p := range problems {
		text := p.Reason
		if p.Key != "" {
			text = fmt.Sprintf("%s = %s: %s", p.Key, p.Value, p.Reason)
		}
		out = append(out, Finding{Error, p.File, p.Line, p.Section, text, "correct it: a tree with an invalid setting is rejected as a whole"})
	}
	return out
}

// Check returns the findings of a configuration, in the order of lines.
func Check(c Config) []Finding {
	k := newChecker(c)
	k.addFaults()
	if c.Configuration != nil {
		k.checkNames()
		k.checkRoutes()
		k.checkServices()
		k.checkWorkspaces()
		k.checkTree()
	}
	return Sorted(k.findings)
}

// Sorted returns findings in the order of files and lines; those of a line in the order of
// severity.
func Sorted(findings []Finding) []Finding {
	severities := []Severity{Error, Warning, Note}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)))
	})
	return redacted(findings)
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// redacted removes keys that were pasted into a name.
func redacted(findings []Finding) []Finding {
	for i := range findings {
		f := &findings[i]
		f.Entry, f.Problem, f.Remedy = workspace.Redact(f.Entry), workspace.Redact(f.Problem), workspace.Redact(f.Remedy)
	}
	return findings
}

// checker collects the findings of one configuration.
type checker struct {
	Config
	compiled *settings.Compiled // nil if the tree is not known
	faulty   map[string]bool    // entries that could be decoded in part only
	findings []Finding
}

func newChecker(c Config) *checker {
	k := &checker{Config: c, faulty: map[string]bool{}}
	if c.Tree != nil {
		k.compiled = settings.Compile(c.Tree)
	}
	return k
}

func (k *checker) addFaults() {
	for _, f := range k.Faults {
		severity, remedy := Error, "correct it: nodes reject the whole configuration"
		if f.Ignored {
			severity, remedy = Warning, "correct its name or remove it: nodes ignore it"
		}
		k.faulty[f.Entry] = !f.Ignored
		k.findings = append(k.findings, Finding{severity, k.Origin.File, f.Line, f.Entry, f.Problem, remedy})
	}
}

// entry is a route, service or workspace of the configuration.
type entry struct {
	kind  settings.Kind
	index int
	name  string
}

func (e entry) String() string {
	if e.kind == settings.KindDefaults {
		return string(e.kind)
	}
	if e.name == "" {
		return fmt.Sprintf("%s row %d", e.kind, e.index+1)
	}
	return fmt.Sprintf("%s %s", e.kind, e.name)
}

// add adds a finding for a setting of an entry; the key is empty for the entry itself. An
// entry with a fault gets no other findings, because its missing parts would cause them.
func (k *checker) add(s Severity, e entry, key, problem, remedy string) {
	if k.faulty[e.String()] {
		return
	}
	k.addAt(k.Origin, s, e, key, problem, remedy)
}

func (k *checker) addAt(o Origin, s Severity, e entry, key, problem, remedy string) {
	f := Finding{Severity: s, File: o.File, Entry: e.String(), Problem: problem, Remedy: remedy}
	if o.Line != nil {
		f.Line = o.Line(e.kind, e.index, e.name, key)
	}
	k.findings = append(k.findings, f)
}

// eachRoute calls visit for each route; eachService and eachWorkspace likewise.
func (c Config) eachRoute(visit func(entry, platform.Route)) {
	for i, r := range c.Routes {
		visit(entry{settings.KindRoute, i, r.Name}, r)
	}
}

func (c Config) eachService(visit func(entry, platform.Service)) {
	for i, s := range c.Services {
		visit(entry{settings.KindService, i, s.Name}, s)
	}
}

func (c Config) eachWorkspace(visit func(entry, platform.Workspace)) {
	for i, w := range c.Workspaces {
		visit(entry{settings.KindWorkspace, i, w.Name}, w)
	}
}
