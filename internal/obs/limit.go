package obs

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines about requests, and burstLines those at one
	// moment. At 40 lines of 250 bytes a node writes 10 KB a second.
	linesPerSecond = 40
	burstLines     = 80
	// keptForFailures is the part of the burst that only warnings may use, so that
	// refusals under load do not crowd out failures.
	keptForFailures = burstLines / 2
	// keptForRefusals is the further part that lines about served requests, at
	// level Debug, leave to refusals.
	keptForRefusals = burstLines / 4
)

// droppedLine is the line that reports lines which were not written.
func droppedLine(n int) string {
	return fmt.Sprintf("time=%s level=WARN msg=\"log lines were dropped\" event=dropped lines=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
}

// limited passes on as many records a second as allowed. Warnings come before
// others, and records below Info, about requests that were served, come last. What
// is dropped is counted and said with the next line: served requests apart, since
// under load most of them are dropped.
type limited struct {
	slog.Handler
	*budget
}

type budget struct {
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int // of level Info and above
	served  int // below Info
}

// RateLimit returns a handler that bounds the volume of next.
func RateLimit(next slog.Handler) slog.Handler {
	return limited{next, &budget{tokens: burstLines, at: time.Now()}}
}

// Enabled implements slog.Handler. Records below Info are written wherever those at
// Info are, while there is room; without room they are counted here, before their
// arguments cost anything.
func (l limited) Enabled(ctx context.Context, level slog.Level) bool {
	if level >= slog.LevelInfo {
		return l.Handler.Enabled(ctx, level)
	}
	return l.Handler.Enabled(ctx, slog.LevelInfo) && l.hasRoom(level)
}

// Handle implements slog.Handler.
func (l limited) Handle(ctx context.Context, r slog.Record) error {
	ok, dropped, served := l.take(r.Level)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("dropped_before", dropped))
	}
	if served > 0 {
		r.AddAttrs(slog.Int("served_dropped_before", served))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l limited) WithAttrs(as []slog.Attr) slog.Handler {
	return limited{l.Handler.WithAttrs(as), l.budget}
}

// WithGroup implements slog.Handler.
func (l limited) WithGroup(name string) slog.Handler {
	return limited{l.Handler.WithGroup(name), l.budget}
}

// hasRoom tells whether a record may be written, and counts it as dropped if not.
func (b *budget) hasRoom(level slog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(level)
}

func (b *budget) take(level slog.Level) (ok bool, dropped, served int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.room(level) {
		return false, 0, 0
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	if level < slog.LevelInfo {
		served, b.served = b.served, 0
	}
	return true, dropped, served
}

func (b *budget) room(level slog.Level) bool {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*linesPerSecond, burstLines)
	b.at = now
	need := 1.0
	if level < slog.LevelWarn {
		need += keptForFailures
	}
	if level < slog.LevelInfo {
		need += keptForRefusals
	}
	switch {
	case b.tokens >= need:
		return true
	case level < slog.LevelInfo:
		b.served++
	default:
		b.dropped++
	}
	return false
}
