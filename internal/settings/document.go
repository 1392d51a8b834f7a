package settings

import (
	"bytes"
	"fmt"
	"strings"
)

const pageHeader = `# Settings

<!-- Generated from the schema; run go test ./internal/settings -run TestSettingsPage -update -->

Operators can change these settings while the nodes run. They form a tree with the branches ` + "`defaults`" + `,
` + "`workspace NAME`, `route NAME` and `service NAME`" + `. A name may have several segments separated by "/".
A branch inherits each value that it does not set from its parent: ` + "`workspace mills/north`" + ` inherits
from ` + "`workspace mills`" + `, which inherits from ` + "`defaults`" + `. A setting that no branch sets has its built-in
default.

See also [OPERATIONS.md](OPERATIONS.md).
`

var kindDocs = map[Kind]string{
	KindWorkspace: "A workspace without a branch of its own has the values of its nearest ancestor.",
	KindRoute:     "A route needs a path and a service. A request takes the route with the longest matching path.",
	KindService:   "A service without a branch of its own has the values of its nearest ancestor.",
}

// Document returns the page docs/settings.md, in Markdown.
func Document() []byte {
	var out bytes.Buffer
	out.WriteString(pageHeader)
	for _, kind := range Kinds[1:] {
		fmt.Fprintf(&out, "\n## %s%s branches\n\n%s\n\n", strings.ToUpper(string(kind[:1])), kind[1:], kindDocs[kind])
		out.WriteString("| Setting | Type | Unit | Bounds | Default | Meaning |\n|---|---|---|---|---|---|\n")
		for _, s := range schema {
			if s.Kind == kind {
				fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | %s%s |\n", s.Key, s.Type, s.Unit, s.Bounds(), s.defaultDoc(), s.Doc, s.inheritanceDoc())
			}
		}
	}
	return out.Bytes()
}

func (s *Setting) defaultDoc() string {
	if s.Default == "" {
		return ""
	}
	return "`" + s.Default + "`"
}

func (s *Setting) inheritanceDoc() string {
	switch {
	case s.NotInherited:
		return " Not inherited."
	case s.NoFleetDefault:
		return " Not allowed in `defaults`."
	default:
		return ""
	}
}
