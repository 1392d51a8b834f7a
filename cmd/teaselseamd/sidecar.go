package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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

// Run runs the node until ctx is cancelled by SIGINT or SIGTERM. On SIGHUP it validates the
// settings file again but does not apply it.
func (s *sidecarCmd) Run(ctx context.Context, c *cli) error {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
	out := obs.NewWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := obs.NewLogger(out, c.LogLevel, settings.Node)
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	go func() {
		for range sighup {
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error("cannot load settings file; the settings in use stay in effect", "event", "reload", "err", err)
				continue
			}
			log.Info("settings file is valid; changes take effect at the next start", "event", "reload")
		}
	}()
	node, err := sidecar.New(log, settings)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}
