package obs

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/oops"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// TestWriterNeverBlocks guards against blocking a request while standard output is
// blocked.
func TestWriterNeverBlocks(t *testing.T) {
	r, blocked := io.Pipe() // nothing reads from r
	defer r.Close()
	w := NewWriter(blocked)
	start := time.Now()
	line := []byte(strings.Repeat("x", 200) + "\n")
	for range 5000 {
		w.Write(line)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing 5000 lines took %v, want at most 1s", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
}

// TestWriterSaysWhatItDropped guards against dropping lines without a trace in the log.
func TestWriterSaysWhatItDropped(t *testing.T) {
	var out lockedBuffer
	w := NewWriter(&out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 200 {
		w.Write(line)
	}
	w.Close(time.Second)
	if !strings.Contains(out.String(), "event=dropped lines=1") {
		t.Errorf("the number of dropped lines is not reported; the log ends with %q", out.String()[max(out.Len()-200, 0):])
	}
}

// TestVolume guards against a log volume that grows with the load, and against refusals
// crowding out failures.
func TestVolume(t *testing.T) {
	var out lockedBuffer
	log := slog.New(RateLimit(slog.NewTextHandler(&out, nil)))
	for range 10_000 {
		log.Info("refused")
	}
	for range 10 {
		log.Warn("failed")
	}
	lines := strings.Count(out.String(), "\n")
	if lines > burstLines+10 {
		t.Errorf("%d lines in one burst, want at most %d", lines, burstLines)
	}
	if got := strings.Count(out.String(), "level=WARN"); got != 10 {
		t.Errorf("%d of 10 failures were written", got)
	}
	if !strings.Contains(out.String(), "dropped_before=") {
		t.Error("the number of dropped records is not reported")
	}
}

// TestServedComeLast guards against lines about served requests crowding out refusals,
// and against dropping them without reporting it.
func TestServedComeLast(t *testing.T) {
	var out lockedBuffer
	log := slog.New(RateLimit(slog.NewTextHandler(&out, nil)))
	for range 1000 {
		log.Debug("served")
	}
	served := strings.Count(out.String(), "msg=served")
	if want := burstLines / 4; served < want || served > want+2 {
		t.Errorf("%d lines about served requests in one burst, want %d", served, want)
	}
	for range 10 {
		log.Info("refused")
	}
	if got := strings.Count(out.String(), "msg=refused"); got != 10 {
		t.Errorf("%d of 10 refusals were written", got)
	}
	if strings.Contains(out.String(), " dropped_before=") {
		t.Error("lines about served requests are counted in dropped_before")
	}
	time.Sleep(time.Second)
	log.Debug("served")
	if !strings.Contains(out.String(), "served_dropped_before=") {
		t.Error("the number of dropped lines about served requests is not reported")
	}
}

// TestServedFollowTheLevel guards against logging served requests when the log level
// is Warn.
func TestServedFollowTheLevel(t *testing.T) {
	var out lockedBuffer
	log := slog.New(RateLimit(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelWarn})))
	log.Debug("served")
	if out.String() != "" {
		t.Errorf("got %q, want no output", out.String())
	}
}

// TestErrorsAreOneLine guards against stack traces in the log, which cost more than the
// work that is logged.
func TestErrorsAreOneLine(t *testing.T) {
	var out lockedBuffer
	NewLogger(&out, slog.LevelInfo, "n").Warn("x", "err", oops.With("step", "read").Wrap(errors.New("cause")))
	if got := out.String(); strings.Contains(got, "stacktrace") || !strings.Contains(got, `err="cause step=read"`) || strings.Count(got, "\n") != 1 {
		t.Errorf("got %q, want one line with err=\"cause step=read\"", got)
	}
}

// BenchmarkRequestLine measures a request line that is written, one that is dropped by
// the rate limit, and a dropped one about a served request.
func BenchmarkRequestLine(b *testing.B) {
	for _, c := range []struct {
		name      string
		level     slog.Level
		available float64
	}{{"written", slog.LevelInfo, burstLines}, {"dropped", slog.LevelInfo, 0}, {"served, dropped", slog.LevelDebug, 0}} {
		b.Run(c.name, func(b *testing.B) {
			l := RateLimit(NewLogger(io.Discard, slog.LevelInfo, "node-0").Handler()).(rateLimited)
			log := slog.New(l)
			b.ReportAllocs()
			for b.Loop() {
				l.tokens, l.refilledAt = c.available, time.Now()
				log.Log(b.Context(), c.level, "request served", "event", "served", "id", "r000001", "route", "view-mill", "workspace", "guild",
					"status", 200, "took", time.Millisecond, "aim", time.Second, "peer", "i-node-1", "places", 1, "arrivals", 1)
			}
		})
	}
}
