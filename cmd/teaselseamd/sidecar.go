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

// memoryPart of the VM's memory is where garbage collection becomes eager. The
// rest holds what the runtime does not count, and bytes that the kernel buffers.
const memoryPart = 0.5

// gcPercent keeps the heap small: memory at its peak costs users more than the
// processor time of collecting it.
const gcPercent = 40

// lastLines is how long the end of the process waits for its log to be written.
const lastLines = 200 * time.Millisecond

type sidecarCmd struct{}

// Run serves with the settings that the platform names until SIGTERM.
func (s *sidecarCmd) Run(ctx context.Context, c *cli) error {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	}
	out := obs.NewWriter(os.Stdout)
	defer out.Close(lastLines)
	log := obs.NewLogger(out, c.LogLevel, settings.Node)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error("changed settings cannot be read; the present ones stay", "event", "reload", "err", err)
				continue
			}
			log.Info("settings were read again; addresses change at the next start", "event", "reload")
		}
	}()
	n, err := sidecar.New(log, settings)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
