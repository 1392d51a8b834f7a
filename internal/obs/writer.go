package obs

import (
	"io"
	"sync"
	"time"
)

const (
	// writerInterval is how often lines are written. Writing costs processor time
	// for each call, so lines are collected.
	writerInterval = 100 * time.Millisecond
	// maxPending bounds the lines that wait to be written, in bytes.
	maxPending = 64 << 10
)

// Writer collects log lines and writes them in the background. Write never waits:
// if the underlying writer stands still and the buffer is full, lines are dropped,
// counted, and their number is written once there is room.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// NewWriter returns a Writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes whole lines and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns how many lines have been dropped and not yet been reported.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending, waiting for at most the given time.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	already := w.closed
	w.closed = true
	w.mu.Unlock()
	if already {
		return
	}
	close(w.wake)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(writerInterval)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	_, _ = w.out.Write(lines) // there is nowhere to report the failure of the log itself
}
