package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// maxPathLength is the maximum length of a route's path in bytes.
const maxPathLength = 1024

// check returns an error if a value does not have the type of the setting or is out of
// bounds.
func (s *Setting) check(value string) error {
	switch s.Type {
	case TypeNumber:
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("not a number")
		}
		return s.boundsError(v >= s.Min && v <= s.Max)
	case TypeInteger:
		v, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.New("not a whole number")
		}
		return s.boundsError(v >= int64(s.Min) && v <= int64(s.Max))
	case TypeDuration:
		v, err := time.ParseDuration(value)
		if err != nil {
			return errors.New("not a duration such as 200ms or 5s")
		}
		return s.boundsError(v >= seconds(s.Min) && v <= seconds(s.Max))
	case TypeBoolean:
		if value != "true" && value != "false" {
			return errors.New("not true or false")
		}
	case TypeImportance:
		_, err := request.ParseImportance(value)
		return err
	case TypePath:
		return checkPath(value)
	case TypeName:
		if !validName(value) {
			return errors.New("not a valid name")
		}
	case TypeNames:
		return checkNames(value)
	}
	return nil
}

func (s *Setting) boundsError(inBounds bool) error {
	if !inBounds {
		return fmt.Errorf("out of bounds %s", s.Bounds())
	}
	return nil
}

func checkPath(s string) error {
	switch {
	case !strings.HasPrefix(s, "/"):
		return errors.New("path does not start with /")
	case len(s) > maxPathLength:
		return fmt.Errorf("path is longer than %d bytes", maxPathLength)
	case strings.Contains(s, "//"):
		return errors.New("path has an empty segment")
	}
	for _, c := range s {
		if !isNameChar(c) && !strings.ContainsRune("~:@%+,!$&*()", c) {
			return fmt.Errorf("path contains %q", c)
		}
	}
	for _, segment := range strings.Split(s, "/") {
		if segment == "." || segment == ".." {
			return errors.New("path has a . or .. segment")
		}
	}
	return nil
}

// checkNames checks a comma-separated list of workspace names.
func checkNames(s string) error {
	if s == "*" {
		return nil
	}
	seen := map[string]bool{}
	for _, name := range strings.Split(s, ",") {
		name = strings.TrimSpace(name)
		switch {
		case name == "":
			return errors.New("list has an empty name")
		case name == "*":
			return errors.New("* cannot be combined with other names")
		case !validName(name):
			return fmt.Errorf("list has an invalid name %q", name)
		case seen[name]:
			return fmt.Errorf("list contains %q twice", name)
		}
		seen[name] = true
	}
	return nil
}
