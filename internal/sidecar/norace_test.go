//go:build !race

package sidecar

// raceEnabled is set if the race detector is on, which multiplies what a process needs.
const raceEnabled = false
