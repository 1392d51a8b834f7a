package settings

import (
	"bytes"
	"fmt"
	"strings"
)

const documentHead = `# Settings

<!-- Generated from the schema; run go test ./internal/settings -run TestSettingsPage -update -->

Operators change these settings while traffic runs. They are branches of one tree: ` + "`defaults`" + `,
` + "`workspace NAME`, `route NAME` and `service NAME`" + `. A name may have several parts separated by "/". A
branch takes each value that it does not set from the branch above it, so ` + "`workspace mills/north`" + `
takes it from ` + "`workspace mills`" + `, and that one from ` + "`defaults`" + `. What no branch sets has the built-in
default.

How to change them is in [operations/settings-and-keys.md](operations/settings-and-keys.md).
`

var kindDocs = map[Kind]string{
	KindWorkspace: "A workspace without a branch of its own has the values of the nearest branch above it.",
	KindRoute:     "A route needs a path and a service. The longest path that matches a request wins.",
	KindService:   "A service without a branch of its own has the values of the nearest branch above it.",
}

// Document returns the settings page in Markdown.
func Document() []byte {
	var out bytes.Buffer
	out.WriteString(documentHead)
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
