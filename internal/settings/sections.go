package settings

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/teaselseam/teaselseam/internal/workspace"
)

// MaxFileBytes is the maximum size of an INI file. A tree with 160 services, 1,000
// routes and 2,000 workspaces, each with four or five values, has 306 kB.
const MaxFileBytes = 1 << 20

// Section is one section of an INI file.
type Section struct {
	Name   string // empty for settings before the first section
	Values []Value
}

// Value is one setting of a section.
type Value struct {
	Key   string
	Value string
}

// Problem is the error for an invalid setting. Workspace keys in it are redacted.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 0 if not known
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
}

func (p *Problem) Error() string {
	file := p.File
	if p.Line > 0 {
		file = fmt.Sprintf("%s:%d", file, p.Line)
	}
	return fmt.Sprintf("%s: section %q, key %q, value %q: %s", file, p.Section, p.Key, p.Value, p.Reason)
}

// NewProblem returns a problem in which workspace keys are redacted.
func NewProblem(file, section, key, value, reason string) *Problem {
	return &Problem{
		File:    workspace.Redact(file),
		Section: workspace.Redact(section),
		Key:     workspace.Redact(key),
		Value:   workspace.Redact(value),
		Reason:  workspace.Redact(reason),
	}
}

// ReadSections parses an INI file and returns its sections in order. A duplicate section
// or key is a *Problem, because only one of the two could take effect. References such as
// %(name)s are not expanded.
func ReadSections(file string, data []byte) ([]Section, error) {
	if len(data) > MaxFileBytes {
		return nil, NewProblem(file, "", "", "", fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), MaxFileBytes))
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
		IgnoreContinuation:         true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, data)
	var noDelimiter ini.ErrDelimiterNotFound
	if errors.As(err, &noDelimiter) {
		// The error contains only the first word, because the rest may be a secret.
		word, _, _ := strings.Cut(strings.TrimSpace(noDelimiter.Line), " ")
		return nil, NewProblem(file, "", word, "", "line has no = sign")
	}
	if err != nil {
		return nil, NewProblem(file, "", "", "", err.Error())
	}
	var sections []Section
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		section := Section{Name: s.Name()}
		if section.Name == ini.DefaultSection {
			section.Name = ""
			if len(s.Keys()) == 0 {
				continue
			}
		}
		if seen[section.Name] {
			return nil, NewProblem(file, section.Name, "", "", "section occurs twice")
		}
		seen[section.Name] = true
		for _, k := range s.Keys() {
			if values := k.ValueWithShadows(); len(values) > 1 {
				return nil, NewProblem(file, section.Name, k.Name(), values[1], "key occurs twice in its section")
			}
			section.Values = append(section.Values, Value{Key: k.Name(), Value: k.Value()})
		}
		sections = append(sections, section)
	}
	return sections, nil
}
