package retry

import (
	"testing"
	"time"
)

// TestPatience guards against giving up calls that take as long as usual, and against
// waiting many times the usual time of short ones.
func TestPatience(t *testing.T) {
	var p TimeoutEstimator
	if got := p.Timeout(); got != maxPatience {
		t.Errorf("before any answer: %v, want %v", got, maxPatience)
	}
	for range 100 {
		p.Observe(15 * time.Millisecond)
	}
	if got := p.Timeout(); got != minPatience {
		t.Errorf("with answers after 15 ms: %v, want %v", got, minPatience)
	}
	for i := range 100 {
		p.Observe(time.Duration(100+i%2*300) * time.Millisecond)
	}
	if got := p.Timeout(); got < 400*time.Millisecond {
		t.Errorf("with answers after 100 and 400 ms: %v, want at least 400 ms", got)
	}
	for range 100 {
		p.Observe(10 * time.Second)
	}
	if got := p.Timeout(); got != maxPatience {
		t.Errorf("with answers after 10 s: %v, want %v", got, maxPatience)
	}
}
