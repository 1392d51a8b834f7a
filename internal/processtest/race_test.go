//go:build race

package processtest

func init() { buildFlags = append(buildFlags, "-race") }
