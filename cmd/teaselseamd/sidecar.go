package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/sidecar"
	"github.com/teaselseam/teaselseam/platform"
)

// memoryLimitRatio is the fraction of the memory limit in the settings file that becomes
// the Go runtime's soft memory limit, near which garbage collection runs more often. The
// rest is for memory that the runtime does not count and for kernel buffers.
const memoryLimitRatio = 0.5

// gcPercent is below Go's default of 100, which keeps the heap small: peak memory costs
// users more than the CPU time of garbage collection.
const gcPercent = 40

// logFlushTimeout bounds how long the process waits at exit for its log to be written.
const logFlushTimeout = 200 * time.Millisecond

type sidecarCmd struct{}

// Run runs the node until ctx is cancelled by SIGINT or SIGTERM. It applies the settings
// file again when that changes.
func (s *sidecarCmd) Run(ctx context.Context, c *cli) error {
	path := os.Getenv(platform.SettingsVariable)
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.With("step", "read settings", "file", path).Wrap(err)
	}
	settings, err := platform.ParseSettings(data)
	if err != nil {
		return oops.With("step", "parse settings", "file", path).Wrap(err)
	}
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(settings)
	out := obs.NewWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := obs.NewLogger(out, c.LogLevel, settings.Node)
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	node, err := sidecar.New(log, settings)
	if err != nil {
		return err
	}
	reload := &reloader{log: log, path: path, last: data, apply: func(next *platform.Settings) {
		setMemoryLimit(next)
		node.Reload(next)
	}}
	go reload.run(ctx, settingsCheckInterval, sighup)
	return node.Run(ctx)
}

func setMemoryLimit(s *platform.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	}
}
