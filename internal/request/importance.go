package request

import "fmt"

// Importance orders requests for load shedding. Those with a smaller value are shed first.
type Importance uint8

// Importance levels, least important first.
const (
	Sheddable Importance = iota
	Normal
	High
	Critical

	// NumImportance is the number of levels.
	NumImportance = 4
)

var importanceNames = [NumImportance]string{"sheddable", "normal", "high", "critical"}

// String returns the name of the level as used in headers and settings.
func (i Importance) String() string {
	if int(i) >= NumImportance {
		return fmt.Sprintf("importance(%d)", uint8(i))
	}
	return importanceNames[i]
}

// ParseImportance parses the name of a level.
func ParseImportance(s string) (Importance, error) {
	for i, name := range importanceNames {
		if s == name {
			return Importance(i), nil
		}
	}
	return Normal, fmt.Errorf("importance %q is not one of sheddable, normal, high, critical", s)
}
