package obs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long lines are collected before they are written, since
	// each write call costs CPU time.
	flushInterval = 100 * time.Millisecond
	// maxPending is the size of the buffer for lines to be written, in bytes.
	maxPending = 64 << 10
)

// Writer buffers log lines and writes them in the background. Write never blocks: if
// the underlying writer is blocked and the buffer is full, lines are dropped and
// counted, and the count is logged with the next flush.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// NewWriter returns a Writer to out, to be closed with Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call must pass a complete line. It never fails.
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

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close stops the Writer and flushes pending lines, waiting at most the given time.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	wasClosed := w.closed
	w.closed = true
	w.mu.Unlock()
	if wasClosed {
		return
	}
	close(w.wake)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
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
	_, _ = w.out.Write(lines) // a failure of the log output cannot be reported anywhere
}
