package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Setting describes one setting: its type, unit, bounds, default and meaning.
type Setting struct {
	Key  string
	Kind Kind // branches in which it may be set, besides the defaults
	Type Type
	Unit string
	// Min and Max bound numbers, in the unit, and durations, in seconds.
	Min, Max float64
	Default  string
	Doc      string
	// NoFleetDefault means that the defaults cannot hold the setting.
	NoFleetDefault bool
	// NotInherited means that a branch does not take the value of the branch
	// above it.
	NotInherited bool
}

// Type is the type of a setting's value.
type Type string

// Types of settings.
const (
	TypeNumber     Type = "number"
	TypeInteger    Type = "whole number"
	TypeDuration   Type = "duration"
	TypeBoolean    Type = "true or false"
	TypeImportance Type = "importance"
	TypePath       Type = "path"
	TypeName       Type = "name"
	TypeNames      Type = "list of names"
)

// Kinds are the kinds of branches in the order in which a tree is written.
var Kinds = []Kind{KindDefaults, KindWorkspace, KindRoute, KindService}

var schema = []Setting{
	{
		Key: "rate", Kind: KindWorkspace, Type: TypeNumber, Unit: "calls/s", Min: 0, Max: 1e6, Default: "100",
		Doc: "Calls per second that the workspace may send, across the fleet.",
	},
	{
		Key: "burst", Kind: KindWorkspace, Type: TypeNumber, Unit: "calls", Min: 1, Max: 1e6, Default: "200",
		Doc: "Calls above the rate that the workspace may send at one moment, across the fleet.",
	},
	{
		Key: "weight", Kind: KindWorkspace, Type: TypeNumber, Min: 0.01, Max: 1000, Default: "1",
		Doc: "Share of a contended backend server relative to other workspaces.",
	},
	{
		Key: "max_importance", Kind: KindWorkspace, Type: TypeImportance, Default: "critical",
		Doc: "Highest importance that the workspace's requests may have.",
	},
	{
		Key: "path", Kind: KindRoute, Type: TypePath, NoFleetDefault: true, NotInherited: true,
		Doc: "Path prefix of the route, for example /spec. Each route has its own.",
	},
	{
		Key: "service", Kind: KindRoute, Type: TypeName, NoFleetDefault: true,
		Doc: "Service that serves the route.",
	},
	{
		Key: "host", Kind: KindRoute, Type: TypeName, Default: "any",
		Doc: "Host that requests name; any stands for every host.",
	},
	{
		Key: "aim", Kind: KindRoute, Type: TypeDuration, Min: 0.001, Max: 600, Default: "1s",
		Doc: "Time within which an answer has its full worth. Requests that will miss it are refused while others wait.",
	},
	{
		Key: "workspaces", Kind: KindRoute, Type: TypeNames, Default: "*",
		Doc: "Workspaces that may use the route, separated by commas; * opens it to all.",
	},
	{
		Key: "importance", Kind: KindRoute, Type: TypeImportance, Default: "normal",
		Doc: "Importance of requests that name none.",
	},
	{
		Key: "idempotent", Kind: KindRoute, Type: TypeBoolean, Default: "false",
		Doc: "Whether requests that do not say may be repeated.",
	},
	{
		Key: "timeout", Kind: KindRoute, Type: TypeDuration, Min: 0.001, Max: 600, Default: "5s",
		Doc: "Deadline of requests that name none, and the longest allowed.",
	},
	{
		Key: "retry_budget", Kind: KindRoute, Type: TypeInteger, Unit: "attempts", Min: 0, Max: 64, Default: "1",
		Doc: "Further backend servers that one request may be sent to.",
	},
	{
		Key: "retry_ratio", Kind: KindService, Type: TypeNumber, Unit: "retries per first attempt", Min: 0, Max: 1, Default: "0.1",
		Doc: "Retries as a fraction of first attempts; 0 allows none.",
	},
	{
		Key: "max_connections", Kind: KindService, Type: TypeInteger, Unit: "connections", Min: 1, Max: 100000, Default: "200",
		Doc: "Connections that one backend server accepts.",
	},
	{
		Key: "max_body", Kind: KindService, Type: TypeInteger, Unit: "bytes", Min: 0, Max: 64 << 20, Default: "67108864",
		Doc: "Largest request body.",
	},
	{
		Key: "queue_time", Kind: KindService, Type: TypeDuration, Min: 0.01, Max: 60, Default: "10s",
		Doc: "Longest time that a request waits for a slot. Its aim bounds the wait as well.",
	},
}

var byKey = func() map[string]*Setting {
	m := map[string]*Setting{}
	for i := range schema {
		m[schema[i].Key] = &schema[i]
	}
	return m
}()

// Schema returns all settings in the order of the documentation.
func Schema() []Setting { return slices.Clone(schema) }

// Bounds returns the bounds of a setting in words; empty if it has none.
func (s *Setting) Bounds() string {
	switch s.Type {
	case TypeNumber:
		return fmt.Sprintf("%g to %g", s.Min, s.Max)
	case TypeInteger:
		return fmt.Sprintf("%d to %d", int64(s.Min), int64(s.Max))
	case TypeDuration:
		return fmt.Sprintf("%s to %s", seconds(s.Min), seconds(s.Max))
	default:
		return ""
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkValue returns why a value may not stand in a branch.
func checkValue(b Branch, key, value string) error {
	s, ok := byKey[key]
	switch {
	case workspace.ContainsKey(value):
		return errors.New("value looks like a workspace key, which must not be stored")
	case !ok:
		return errors.New("unknown setting")
	case b.Kind == KindDefaults && s.NoFleetDefault:
		return errors.New("setting cannot have a fleet-wide default")
	case b.Kind != KindDefaults && b.Kind != s.Kind:
		return fmt.Errorf("setting does not belong in a %s branch", b.Kind)
	case strings.TrimSpace(value) != value || strings.ContainsAny(value, "\r\n"):
		return errors.New("value has white space around it or more than one line")
	}
	return s.check(value)
}
