package settings

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestParseRefuses guards against accepting an invalid setting, and against an error
// that does not name the file, section, key and reason.
func TestParseRefuses(t *testing.T) {
	route := "[route a]\npath = /a\nservice = s\n"
	for _, c := range []struct{ in, section, key, reason string }{
		{"rate = 1\n", "", "rate", "outside a section"},
		{"[workspace a]\nrate = x\n", "workspace a", "rate", "not a number"},
		{"[workspace a]\nrate = NaN\n", "workspace a", "rate", "out of bounds 0 to 1e+06"},
		{"[workspace a]\nrate = 1\nrate = 1\n", "workspace a", "rate", "twice"},
		{"[workspace a]\nrate = 1\nrate =\n", "workspace a", "rate", "twice"},
		{"[workspace a]\n[workspace a]\n", "workspace a", "", "twice"},
		{"[workspace a]\n[workspace  a]\n", "workspace  a", "", "twice"},
		{"[workspace a]\npath = /a\n", "workspace a", "path", "is not allowed in a workspace branch"},
		{"[workspace a]\ncolour = red\n", "workspace a", "colour", "unknown setting"},
		{"[defaults]\npath = /a\n", "defaults", "path", "fleet-wide default"},
		{"[mills]\n", "mills", "", "not defaults"},
		{"[workspace tsk_abc]\n", "workspace (key removed)", "", "invalid name"},
		{"[service s]\nqueue_time = 61s\n", "service s", "queue_time", "out of bounds 10ms to 1m0s"},
		{"[service s]\nmax_body = 1.5\n", "service s", "max_body", "not a whole number"},
		{"[route a]\npath = /a\n", "route a", "service", "route has no service"},
		{"[route a]\nservice = s\n", "route a", "path", "route has no path"},
		{route + "[route a/b]\n", "route a/b", "path", "route has no path"},
		{route + "[route b]\npath = /a\nservice = s\n", "route b", "path", "same path"},
		{route + "workspaces = a,,b\n", "route a", "workspaces", "empty name"},
		{route + "workspaces = *,b\n", "route a", "workspaces", "cannot be combined with other names"},
		{route + "workspaces = b, b\n", "route a", "workspaces", "twice"},
		{route + "workspaces = b c\n", "route a", "workspaces", "invalid name"},
		{route + "idempotent = yes\n", "route a", "idempotent", "not true or false"},
		{route + "importance = top\n", "route a", "importance", "not one of"},
		{"[route a]\npath = /a/../b\nservice = s\n", "route a", "path", ".. segment"},
		{strings.Repeat("#", MaxFileBytes+1), "", "", "at most"},
	} {
		tree, err := Parse("f.ini", []byte(c.in))
		var p *Problem
		if !errors.As(err, &p) || tree != nil {
			t.Errorf("%.60q: got %v, %v", c.in, tree, err)
			continue
		}
		if p.File != "f.ini" || p.Section != c.section || p.Key != c.key || !strings.Contains(p.Reason, c.reason) {
			t.Errorf("%.60q: got %v", c.in, p)
		}
	}
}

// TestFirstProblemIsDeterministic guards against nodes that report different problems
// for the same tree, which checking in map order would cause.
func TestFirstProblemIsDeterministic(t *testing.T) {
	tree := NewTree()
	for i := range 20 {
		tree = tree.With(Branch{KindWorkspace, fmt.Sprintf("w%02d", i)}, Values{"rate": "x", "burst": "x", "weight": "x"})
	}
	for range 20 {
		var p *Problem
		if err := tree.Validate("f"); !errors.As(err, &p) || p.Section != "workspace w00" || p.Key != "burst" {
			t.Fatalf("got %v", err)
		}
	}
}

// validValues holds some valid values of each type.
var validValues = map[Type][]string{
	TypeNumber: {"1", "1.0", "1e0"}, TypeInteger: {"1", "50"}, TypeDuration: {"20ms", "1.5s"}, TypeBoolean: {"true", "false"},
	TypeImportance: {"high", "sheddable"}, TypeName: {"svc", "x/y.z"}, TypeNames: {"*", "a, b", "a"},
}

func drawTree(t *rapid.T) *Tree {
	tree := NewTree()
	for i := range rapid.IntRange(0, 6).Draw(t, "branches") {
		kind := rapid.SampledFrom(Kinds).Draw(t, "kind")
		b := Branch{Kind: kind}
		if kind != KindDefaults {
			b.Name = rapid.SampledFrom([]string{"a", "a/b", "a/b/c", "d", "DEFAULT"}).Draw(t, "name")
		}
		values := Values{}
		for _, s := range schema {
			if s.Type != TypePath && (s.Kind == kind || kind == KindDefaults && !s.NoFleetDefault) && rapid.Bool().Draw(t, s.Key) {
				values[s.Key] = rapid.SampledFrom(validValues[s.Type]).Draw(t, "value")
			}
		}
		if kind == KindRoute {
			values["path"], values["service"] = fmt.Sprintf("/p%d", i), "svc"
		}
		tree = tree.With(b, values)
	}
	return tree
}

// TestRenderRoundTrip guards against a tree that changes when an operator prints it,
// saves it and applies it again, and against an incomplete Diff.
func TestRenderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, other := drawTree(t), drawTree(t)
		again, err := Parse("f", Render(tree))
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(tree, again); len(d) > 0 {
			t.Fatalf("tree differs after rendering and parsing: %v", d)
		}
		for _, c := range Diff(tree, other) {
			again = again.With(c.Branch, c.New)
		}
		if !maps.EqualFunc(again.branches, other.branches, maps.Equal[Values, Values]) {
			t.Fatalf("tree after applying the difference:\n%s\nwant\n%s", Render(again), Render(other))
		}
	})
}

// TestCompiledMatchesEffective guards against handling requests by other values than
// those that Effective shows to operators.
func TestCompiledMatchesEffective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		name := rapid.SampledFrom([]string{"a", "a/b", "a/b/x", "a/x", "z"}).Draw(t, "name")
		c := Compile(tree)
		if got, want := *c.Workspace(name), *tree.workspace(name); got != want {
			t.Fatalf("workspace: got %+v, want %+v", got, want)
		}
		if got, want := *c.Service(name), *tree.service(name); got != want {
			t.Fatalf("service: got %+v, want %+v", got, want)
		}
		for _, e := range tree.Effective(Branch{KindWorkspace, name}) {
			value, origin := tree.Lookup(Branch{KindWorkspace, name}, e.Key)
			if e.Value != value || (origin == Branch{}) != (e.Origin == OriginBuiltIn) {
				t.Fatalf("got %+v, want %q from %v", e, value, origin)
			}
		}
	})
}

// TestLookupsDoNotAllocate guards the limit of one allocation on the request path, where
// the settings of workspace and service are looked up.
func TestLookupsDoNotAllocate(t *testing.T) {
	tree, err := Parse("f", []byte("[workspace a]\nrate = 5\n"))
	if err != nil {
		t.Fatal(err)
	}
	c := Compile(tree)
	for _, name := range []string{"a", "a/b", "other"} {
		if n := testing.AllocsPerRun(100, func() { _ = c.Workspace(name).Rate + float64(c.Service(name).MaxBody) }); n != 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"[workspace a]\nrate=1", "[route a]\npath=`/a`\nservice=\"s\"", "a=1\n[DEFAULT]\n-=2", "[a.b]\nk=%(x)s\n\"\"\""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Parse("f", data)
		if err != nil {
			var p *Problem
			if tree != nil || !errors.As(err, &p) {
				t.Fatalf("got %v, %v", tree, err)
			}
			return
		}
		again, err := Parse("f", Render(tree))
		if err != nil || len(Diff(tree, again)) > 0 {
			t.Fatalf("%q: tree differs after rendering and parsing: %v", data, err)
		}
	})
}

var update = flag.Bool("update", false, "write docs/settings.md")

// TestSettingsPage guards against a settings page that does not match the schema.
func TestSettingsPage(t *testing.T) {
	const file = "../../docs/settings.md"
	want := Document()
	if *update {
		if err := os.WriteFile(file, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("%s is not up to date (%v); run go test ./internal/settings -run TestSettingsPage -update", file, err)
	}
}

// TestInspect guards against problems that are left out, or reported at another line.
func TestInspect(t *testing.T) {
	const text = "# fleet\n[workspace w]\nrate = many\nweight=0\n\n[shop x]\n[route r]\nmax_body = 1\n"
	_, problems := Inspect("f", []byte(text))
	var got []string
	for _, p := range problems {
		got = append(got, fmt.Sprint(p.Line, " ", p.Section, " ", p.Key))
	}
	if want := []string{"3 workspace w rate", "4 workspace w weight", "6 shop x ", "8 route r max_body"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if _, problems = Inspect("f", []byte("[route b]\nservice = s\n\n[route a]\npath = /a\n")); len(problems) != 2 || problems[0].Line != 4 || problems[1].Line != 1 {
		t.Errorf("routes: got %v", problems)
	}
	if _, problems = Inspect("f", []byte("[defaults]\nrate 5\n")); len(problems) != 1 {
		t.Errorf("missing =: got %v", problems)
	}
}

// TestRemovedKeys guards against a tree of an earlier release that nodes refuse as a whole
// because of a setting that no longer exists.
func TestRemovedKeys(t *testing.T) {
	tree, err := Parse("tree", []byte("[service stock]\nretry_ratio = 0.05\nrefuse_failing = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseBranch("service stock")
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := tree.Lookup(b, "retry_ratio"); got != "0.05" {
		t.Errorf("retry_ratio is %q", got)
	}
	if v, _ := tree.Lookup(b, "refuse_failing"); v != "" {
		t.Errorf("refuse_failing is %q", v)
	}
}
