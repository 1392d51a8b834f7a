package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Setting is the definition of a setting.
type Setting struct {
	Key  string
	Kind Kind // kind of branch in which it may be set, besides the defaults branch
	Type Type
	Unit string
	// Min and Max are the bounds of numbers, in Unit, and of durations, in seconds.
	Min, Max float64
	Default  string
	Doc      string
	// NoFleetDefault means that the defaults branch cannot set it.
	NoFleetDefault bool
	// NotInherited means that a branch does not inherit the value of its parent.
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

// Kinds lists all kinds of branches in the order in which Render writes them.
var Kinds = []Kind{KindDefaults, KindWorkspace, KindRoute, KindService}

var schema = []Setting{
	{
		Key: "rate", Kind: KindWorkspace, Type: TypeNumber, Unit: "calls/s", Min: 0, Max: 1e6, Default: "100",
		Doc: "Requests per second that the workspace may send, across the fleet.",
	},
	{
		Key: "burst", Kind: KindWorkspace, Type: TypeNumber, Unit: "calls", Min: 1, Max: 1e6, Default: "200",
		Doc: "Requests beyond the rate that the workspace may send at a time, across the fleet.",
	},
	{
		Key: "weight", Kind: KindWorkspace, Type: TypeNumber, Min: 0.01, Max: 1000, Default: "1",
		Doc: "Share of a contended backend server's capacity, relative to other workspaces.",
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
		Doc: "Host of the requests; any matches every host.",
	},
	{
		Key: "aim", Kind: KindRoute, Type: TypeDuration, Min: 0.001, Max: 600, Default: "1s",
		Doc: "Latency target: a response within this time has its full value. Requests that will miss it are refused while others wait.",
	},
	{
		Key: "workspaces", Kind: KindRoute, Type: TypeNames, Default: "*",
		Doc: "Workspaces that may use the route, separated by commas; * opens it to all.",
	},
	{
		Key: "importance", Kind: KindRoute, Type: TypeImportance, Default: "normal",
		Doc: "Importance of requests that do not specify one.",
	},
	{
		Key: "idempotent", Kind: KindRoute, Type: TypeBoolean, Default: "false",
		Doc: "Whether requests that do not specify it may be repeated.",
	},
	{
		Key: "timeout", Kind: KindRoute, Type: TypeDuration, Min: 0.001, Max: 600, Default: "5s",
		Doc: "Deadline of requests that do not specify one, and the longest deadline allowed.",
	},
	{
		Key: "retry_budget", Kind: KindRoute, Type: TypeInteger, Unit: "attempts", Min: 0, Max: 64, Default: "1",
		Doc: "Maximum number of further backend servers that a request may be sent to.",
	},
	{
		Key: "retry_ratio", Kind: KindService, Type: TypeNumber, Unit: "retries per first attempt", Min: 0, Max: 1, Default: "0.2",
		Doc: "Maximum number of retries as a fraction of first attempts; 0 allows none.",
	},
	{
		Key: "max_connections", Kind: KindService, Type: TypeInteger, Unit: "connections", Min: 1, Max: 100000, Default: "200",
		Doc: "Maximum number of connections that one backend server accepts.",
	},
	{
		Key: "max_body", Kind: KindService, Type: TypeInteger, Unit: "bytes", Min: 0, Max: 64 << 20, Default: "67108864",
		Doc: "Maximum size of a request body.",
	},
	{
		Key: "queue_time", Kind: KindService, Type: TypeDuration, Min: 0.01, Max: 60, Default: "10s",
		Doc: "Maximum time that a request is queued for a slot. Its latency target limits the time as well.",
	},
}

var schemaByKey = func() map[string]*Setting {
	m := map[string]*Setting{}
	for i := range schema {
		m[schema[i].Key] = &schema[i]
	}
	return m
}()

// Schema returns all settings in the order of the documentation.
func Schema() []Setting { return slices.Clone(schema) }

// Bounds returns the bounds of a setting as text; empty if its type has none.
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

// checkValue returns an error if the branch may not have the setting, or the setting not
// the value.
func checkValue(b Branch, key, value string) error {
	s, ok := schemaByKey[key]
	switch {
	case workspace.ContainsKey(value):
		return errors.New("value looks like a workspace key, which must not be stored")
	case !ok:
		return errors.New("unknown setting")
	case b.Kind == KindDefaults && s.NoFleetDefault:
		return errors.New("setting cannot have a fleet-wide default")
	case b.Kind != KindDefaults && b.Kind != s.Kind:
		return fmt.Errorf("setting is not allowed in a %s branch", b.Kind)
	case strings.TrimSpace(value) != value || strings.ContainsAny(value, "\r\n"):
		return errors.New("value has leading or trailing white space or more than one line")
	}
	return s.check(value)
}
