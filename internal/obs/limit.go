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
)

// droppedLine is the line that reports lines which were not written.
func droppedLine(n int) string {
	return fmt.Sprintf("time=%s level=WARN msg=\"log lines were dropped\" event=dropped lines=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
}

// limited passes on as many records a second as allowed. Warnings come before
// others, and what is dropped is counted and said with the next line.
type limited struct {
	slog.Handler
	*budget
}

type budget struct {
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int
}

// Limit returns a handler that bounds the volume of next.
func Limit(next slog.Handler) slog.Handler {
	return limited{next, &budget{tokens: burstLines, at: time.Now()}}
}

// Handle implements slog.Handler.
func (l limited) Handle(ctx context.Context, r slog.Record) error {
	ok, dropped := l.take(r.Level)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("dropped_before", dropped))
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

func (b *budget) take(level slog.Level) (ok bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*linesPerSecond, burstLines)
	b.at = now
	need := 1.0
	if level < slog.LevelWarn {
		need += keptForFailures
	}
	if b.tokens < need {
		b.dropped++
		return false, 0
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return true, dropped
}
