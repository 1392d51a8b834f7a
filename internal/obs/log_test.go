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

// lockedBuffer is a buffer for several goroutines.
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

// TestWriterNeverBlocks guards against a request that waits because standard output
// stands still.
func TestWriterNeverBlocks(t *testing.T) {
	r, stuck := io.Pipe()
	defer r.Close()
	w := NewWriter(stuck)
	began := time.Now()
	line := []byte(strings.Repeat("x", 200) + "\n")
	for range 5000 {
		w.Write(line)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("5000 lines took %v", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
}

// TestWriterSaysWhatItDropped guards against gaps that nobody can see.
func TestWriterSaysWhatItDropped(t *testing.T) {
	var out lockedBuffer
	w := NewWriter(&out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 200 {
		w.Write(line)
	}
	w.Close(time.Second)
	if !strings.Contains(out.String(), "event=dropped lines=1") {
		t.Errorf("the log ends with %q", out.String()[max(out.Len()-200, 0):])
	}
}

// TestVolume guards against a log that grows with the load, and against refusals
// that crowd out failures.
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
		t.Errorf("%d lines at one moment, want at most %d", lines, burstLines)
	}
	if got := strings.Count(out.String(), "level=WARN"); got != 10 {
		t.Errorf("%d of 10 failures were written", got)
	}
	if !strings.Contains(out.String(), "dropped_before=") {
		t.Error("what was dropped is not said")
	}
}

// TestServedComeLast guards against lines about served requests that crowd out
// refusals, and against their loss going unsaid.
func TestServedComeLast(t *testing.T) {
	var out lockedBuffer
	log := slog.New(RateLimit(slog.NewTextHandler(&out, nil)))
	for range 1000 {
		log.Debug("served")
	}
	served := strings.Count(out.String(), "msg=served")
	if want := burstLines / 4; served < want || served > want+2 {
		t.Errorf("%d lines about served requests at one moment, want %d", served, want)
	}
	for range 10 {
		log.Info("refused")
	}
	if got := strings.Count(out.String(), "msg=refused"); got != 10 {
		t.Errorf("%d of 10 refusals were written", got)
	}
	if strings.Contains(out.String(), " dropped_before=") {
		t.Error("served requests count as dropped lines")
	}
	time.Sleep(time.Second)
	log.Debug("served")
	if !strings.Contains(out.String(), "served_dropped_before=") {
		t.Error("lines about served requests were dropped unsaid")
	}
}

// TestServedFollowTheLevel guards against lines about served requests where the
// operator wants warnings only.
func TestServedFollowTheLevel(t *testing.T) {
	var out lockedBuffer
	log := slog.New(RateLimit(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelWarn})))
	log.Debug("served")
	if out.String() != "" {
		t.Errorf("got %q", out.String())
	}
}

// TestErrorsAreOneLine guards against stack traces in the log, which cost more than
// the work that they are about.
func TestErrorsAreOneLine(t *testing.T) {
	var out lockedBuffer
	NewLogger(&out, slog.LevelInfo, "n").Warn("x", "err", oops.With("step", "read").Wrap(errors.New("cause")))
	if got := out.String(); strings.Contains(got, "stacktrace") || !strings.Contains(got, `err="cause step=read"`) || strings.Count(got, "\n") != 1 {
		t.Errorf("got %q", got)
	}
}

// BenchmarkRequestLine is a line about a request that is written, one that finds no room,
// and one about a served request that finds none.
func BenchmarkRequestLine(b *testing.B) {
	for _, c := range []struct {
		name  string
		level slog.Level
		room  float64
	}{{"written", slog.LevelInfo, burstLines}, {"dropped", slog.LevelInfo, 0}, {"served, dropped", slog.LevelDebug, 0}} {
		b.Run(c.name, func(b *testing.B) {
			l := RateLimit(NewLogger(io.Discard, slog.LevelInfo, "node-0").Handler()).(limited)
			log := slog.New(l)
			b.ReportAllocs()
			for b.Loop() {
				l.tokens, l.at = c.room, time.Now()
				log.Log(b.Context(), c.level, "request served", "event", "served", "id", "r000001", "route", "view-mill", "workspace", "guild",
					"status", 200, "took", time.Millisecond, "aim", time.Second, "peer", "i-node-1", "places", 1, "arrivals", 1)
			}
		})
	}
}
