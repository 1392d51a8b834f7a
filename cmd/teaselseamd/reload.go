package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// settingsCheckInterval is how often the settings file is read: it may change without a
// signal.
const settingsCheckInterval = 2 * time.Second

// reloader applies changed settings to a running node.
type reloader struct {
	log   *slog.Logger
	path  string
	apply func(*platform.Settings)
	last  []byte // content of the file when it was last read
}

// run reads the settings file periodically and on each signal until ctx ends, and applies
// it when its content has changed.
func (r *reloader) run(ctx context.Context, interval time.Duration, signals <-chan os.Signal) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.check()
		case <-signals:
			r.log.Info("received SIGHUP", "event", "reload")
			r.check()
		}
	}
}

func (r *reloader) check() {
	data, err := os.ReadFile(r.path)
	if err == nil && bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	var next *platform.Settings
	if err == nil {
		next, err = platform.ParseSettings(data)
	}
	if err != nil {
		r.log.Error("cannot load settings file; the settings in use stay in effect", "event", "reload", "err", err)
		return
	}
	r.apply(next)
}
