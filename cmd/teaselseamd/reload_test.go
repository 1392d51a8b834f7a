package main

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

// TestReloadSettings guards against ignoring a settings file that changes, with a signal or
// without one, and against applying one that cannot be used.
func TestReloadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(revoke time.Duration) {
		settings := standin.NodeSettings{
			Node: "n", DataCentre: "dc", Service: "s", Callers: "127.0.0.1:1", Peers: "127.0.0.1:2", Ready: "127.0.0.1:3",
			Announce: "127.0.0.1:4", Backend: "127.0.0.1:5", Store: "127.0.0.1:6", Metrics: "127.0.0.1:7",
			Revoke: revoke, StopGrace: time.Second,
		}
		data, err := settings.File()
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(5 * time.Second)
	applied := make(chan time.Duration, 10)
	r := &reloader{log: slog.New(slog.DiscardHandler), path: path, apply: func(s *platform.Settings) { applied <- s.Bounds.Revoke }}
	r.check()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	go r.run(ctx, 20*time.Millisecond, signals)
	expect := func(want time.Duration) {
		t.Helper()
		select {
		case got := <-applied:
			if got != want {
				t.Errorf("applied %v, want %v", got, want)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("settings with %v were not applied", want)
		}
	}
	expect(5 * time.Second)
	write(6 * time.Second)
	expect(6 * time.Second)
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	write(7 * time.Second)
	signals <- syscall.SIGHUP
	expect(7 * time.Second)
	time.Sleep(100 * time.Millisecond)
	if len(applied) != 0 {
		t.Error("settings were applied again without a change")
	}
}
