package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// field describes one setting.
type field struct {
	kinds []Kind // branches in which it may be set, besides the defaults
	def   string
	doc   string // meaning, with the unit
	check func(string) error
	// ownBranch means that the defaults cannot hold it.
	ownBranch bool
}

var schema = map[string]field{
	"rate":             {kinds: []Kind{KindWorkspace}, def: "100", doc: "calls per second across the fleet", check: float(0, 1e6)},
	"burst":            {kinds: []Kind{KindWorkspace}, def: "200", doc: "calls above the rate at one moment, across the fleet", check: float(1, 1e6)},
	"weight":           {kinds: []Kind{KindWorkspace}, def: "1", doc: "share of a contended backend server relative to other workspaces", check: float(0.01, 1000)},
	"max_importance":   {kinds: []Kind{KindWorkspace}, def: "critical", doc: "highest importance that the workspace's requests may have", check: importance},
	"path":             {kinds: []Kind{KindRoute}, doc: "path prefix of the route, for example /spec", check: path, ownBranch: true},
	"service":          {kinds: []Kind{KindRoute}, doc: "service that serves the route", check: name, ownBranch: true},
	"workspaces":       {kinds: []Kind{KindRoute}, def: "*", doc: "workspaces that may use the route, separated by commas; * opens it to all", check: anyText},
	"importance":       {kinds: []Kind{KindRoute}, def: "normal", doc: "importance of requests that name none", check: importance},
	"idempotent":       {kinds: []Kind{KindRoute}, def: "false", doc: "whether requests that do not say may be repeated", check: boolean},
	"timeout":          {kinds: []Kind{KindRoute}, def: "5s", doc: "deadline of requests that name none, and the longest allowed", check: duration(time.Millisecond, 10*time.Minute)},
	"retry_budget":     {kinds: []Kind{KindRoute}, def: "3", doc: "extra attempts for a whole call tree", check: integer(0, 100)},
	"retry_ratio":      {kinds: []Kind{KindService}, def: "0.1", doc: "retries as a fraction of first attempts", check: float(0, 1)},
	"max_connections":  {kinds: []Kind{KindService}, def: "200", doc: "connections to one backend server", check: integer(1, 100000)},
	"max_body":         {kinds: []Kind{KindService}, def: "1048576", doc: "largest request body, in bytes", check: integer(0, 64<<20)},
	"queue_time":       {kinds: []Kind{KindService}, def: "200ms", doc: "longest wait in a guard's queue", check: duration(0, time.Minute)},
	"progress_timeout": {kinds: []Kind{KindService}, def: "2s", doc: "time without a byte on a connection with a call outstanding before it is probed", check: duration(10*time.Millisecond, time.Minute)},
}

// Problem is an invalid setting.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: section %q, key %q, value %q: %s", p.File, p.Section, p.Key, p.Value, p.Reason)
}

func checkValue(b Branch, key, value string) error {
	f, ok := schema[key]
	if !ok {
		return fmt.Errorf("unknown setting")
	}
	if b.Kind == KindDefaults && f.ownBranch {
		return fmt.Errorf("setting cannot have a fleet-wide default")
	}
	if b.Kind != KindDefaults && !slices.Contains(f.kinds, b.Kind) {
		return fmt.Errorf("setting does not belong in a %s branch", b.Kind)
	}
	return f.check(value)
}

func float(lo, hi float64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return fmt.Errorf("not a number")
		}
		if !(v >= lo && v <= hi) {
			return fmt.Errorf("out of bounds %g to %g", lo, hi)
		}
		return nil
	}
}

func integer(lo, hi int64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return fmt.Errorf("not a whole number")
		}
		if v < lo || v > hi {
			return fmt.Errorf("out of bounds %d to %d", lo, hi)
		}
		return nil
	}
}

func duration(lo, hi time.Duration) func(string) error {
	return func(s string) error {
		v, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("not a duration such as 200ms or 5s")
		}
		if v < lo || v > hi {
			return fmt.Errorf("out of bounds %s to %s", lo, hi)
		}
		return nil
	}
}

func boolean(s string) error {
	if s != "true" && s != "false" {
		return fmt.Errorf("not true or false")
	}
	return nil
}

func importance(s string) error {
	_, err := request.ParseImportance(s)
	return err
}

func path(s string) error {
	if !strings.HasPrefix(s, "/") {
		return fmt.Errorf("path does not start with /")
	}
	return nil
}

func name(s string) error {
	if !validName(s) {
		return fmt.Errorf("not a valid name")
	}
	return nil
}

func anyText(string) error { return nil }
