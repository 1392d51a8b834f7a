package obs

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond is the rate limit for log lines about requests, and burstLines the
	// size of the token bucket. At 40 lines of 250 bytes a node writes 10 KB/s.
	linesPerSecond = 40
	burstLines     = 80
	// reservedForWarnings is the part of the bucket that only warnings and errors may
	// use, so that refusals under load do not crowd out failures.
	reservedForWarnings = burstLines / 2
	// reservedForInfo is the further part that records below level Info, about served
	// requests, may not use, so that they do not crowd out refusals.
	reservedForInfo = burstLines / 4
)

// droppedLine returns the log line that reports how many lines were dropped.
func droppedLine(n int) string {
	return fmt.Sprintf("time=%s level=WARN msg=\"log lines were dropped\" event=dropped lines=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
}

// rateLimited is a handler that limits the rate of records. Warnings and errors take
// precedence over Info, and Info over lower levels, which are about served requests.
// Dropped records are counted, and the count is added to the next record. Those about
// served requests are counted separately, since most of them are dropped under load.
type rateLimited struct {
	slog.Handler
	*tokenBucket
}

type tokenBucket struct {
	mu           sync.Mutex
	tokens       float64
	refilledAt   time.Time
	dropped      int // records of level Info and above
	droppedDebug int // records below level Info
}

// RateLimit returns a handler that limits the rate of records passed to next.
func RateLimit(next slog.Handler) slog.Handler {
	return rateLimited{next, &tokenBucket{tokens: burstLines, refilledAt: time.Now()}}
}

// Enabled implements slog.Handler. Records below Info are enabled if Info is enabled
// and the rate limit allows them. Those that the limit rejects are counted as dropped
// here, which saves building them.
func (l rateLimited) Enabled(ctx context.Context, level slog.Level) bool {
	if level >= slog.LevelInfo {
		return l.Handler.Enabled(ctx, level)
	}
	return l.Handler.Enabled(ctx, slog.LevelInfo) && l.allow(level)
}

func (l rateLimited) Handle(ctx context.Context, r slog.Record) error {
	ok, dropped, droppedDebug := l.take(r.Level)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("dropped_before", dropped))
	}
	if droppedDebug > 0 {
		r.AddAttrs(slog.Int("served_dropped_before", droppedDebug))
	}
	return l.Handler.Handle(ctx, r)
}

func (l rateLimited) WithAttrs(as []slog.Attr) slog.Handler {
	return rateLimited{l.Handler.WithAttrs(as), l.tokenBucket}
}

func (l rateLimited) WithGroup(name string) slog.Handler {
	return rateLimited{l.Handler.WithGroup(name), l.tokenBucket}
}

// allow reports whether a record may be written, and counts it as dropped if not. It
// does not take a token.
func (b *tokenBucket) allow(level slog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowLocked(level)
}

// take takes a token for a record. If there is one, it returns and resets the numbers of
// records dropped since the last one written: of level Info and above, and, if the
// record itself is below Info, of those below Info.
func (b *tokenBucket) take(level slog.Level) (ok bool, dropped, droppedDebug int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allowLocked(level) {
		return false, 0, 0
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	if level < slog.LevelInfo {
		droppedDebug, b.droppedDebug = b.droppedDebug, 0
	}
	return true, dropped, droppedDebug
}

// allowLocked is allow for callers that hold mu. It refills the bucket first.
func (b *tokenBucket) allowLocked(level slog.Level) bool {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*linesPerSecond, burstLines)
	b.refilledAt = now
	need := 1.0
	if level < slog.LevelWarn {
		need += reservedForWarnings
	}
	if level < slog.LevelInfo {
		need += reservedForInfo
	}
	switch {
	case b.tokens >= need:
		return true
	case level < slog.LevelInfo:
		b.droppedDebug++
	default:
		b.dropped++
	}
	return false
}
