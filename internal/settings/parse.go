package settings

import (
	"gopkg.in/ini.v1"
)

// Parse reads and validates a whole tree in INI form. The file name is used in
// errors only. The first invalid setting is returned as *Problem.
func Parse(file string, data []byte) (*Tree, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, &Problem{File: file, Reason: err.Error()}
	}
	t := NewTree()
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				k := section.Keys()[0]
				return nil, &Problem{File: file, Key: k.Name(), Value: k.Value(), Reason: "setting stands outside a section"}
			}
			continue
		}
		b, err := ParseBranch(section.Name())
		if err != nil {
			return nil, &Problem{File: file, Section: section.Name(), Reason: err.Error()}
		}
		values := Values{}
		for _, k := range section.Keys() {
			values[k.Name()] = k.Value()
		}
		t.branches[b] = values
	}
	return t, t.Validate(file)
}

// Validate checks every value of the tree against the schema.
func (t *Tree) Validate(file string) error {
	for b, values := range t.branches {
		for key, value := range values {
			if err := checkValue(b, key, value); err != nil {
				return &Problem{File: file, Section: b.String(), Key: key, Value: value, Reason: err.Error()}
			}
		}
	}
	return nil
}
