package settings

import "strings"

// Lines holds the lines of the sections and settings of an INI file, counted from 1.
type Lines map[lineKey]int

type lineKey struct{ section, key string }

// ReadLines returns the lines of an INI file. Of one that occurs twice it has the second.
func ReadLines(data []byte) Lines {
	lines := Lines{}
	section := ""
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		name, isSection := strings.CutPrefix(text, "[")
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case isSection:
			section, _, _ = strings.Cut(name, "]")
			section = strings.TrimSpace(section)
			lines[lineKey{section, ""}] = i + 1
		default:
			key, _, found := strings.Cut(text, "=")
			if !found {
				key, _, _ = strings.Cut(text, " ")
			}
			lines[lineKey{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}

// Of returns the line of a setting, or else that of its section, or 0. The key is empty for
// the section itself.
func (l Lines) Of(section, key string) int {
	if line, ok := l[lineKey{section, key}]; ok {
		return line
	}
	return l[lineKey{section, ""}]
}

func setLines(problems []*Problem, data []byte) {
	lines := ReadLines(data)
	for _, p := range problems {
		p.Line = lines.Of(p.Section, p.Key)
	}
}
