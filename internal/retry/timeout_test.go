package retry

import (
	"testing"
	"time"
)

// TestTimeoutEstimator guards against abandoning attempts that take as long as usual, and
// against waiting many times the usual duration of short ones.
func TestTimeoutEstimator(t *testing.T) {
	var e TimeoutEstimator
	if got := e.Timeout(); got != maxTimeout {
		t.Errorf("before the first observation: %v, want %v", got, maxTimeout)
	}
	for range 100 {
		e.Observe(15 * time.Millisecond)
	}
	if got := e.Timeout(); got != minTimeout {
		t.Errorf("with responses after 15 ms: %v, want %v", got, minTimeout)
	}
	for i := range 100 {
		e.Observe(time.Duration(100+i%2*300) * time.Millisecond)
	}
	if got := e.Timeout(); got < 400*time.Millisecond {
		t.Errorf("with responses after 100 and 400 ms: %v, want at least 400 ms", got)
	}
	for range 100 {
		e.Observe(10 * time.Second)
	}
	if got := e.Timeout(); got != maxTimeout {
		t.Errorf("with responses after 10 s: %v, want %v", got, maxTimeout)
	}
}
