package ingress

import (
	"bytes"
	"testing"
)

// FuzzDecodeAnnouncement guards against an announcement that panics the node or
// brings figures out of bounds.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service": "spec", "address": "127.0.0.1:9000", "instance": "i", "slots": 15, "running": 3}`))
	f.Add([]byte(`{"service": "spec", "address": "[::1%x]:9", "instance": "i", "queued": 9223372036854775807}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnnouncement(bytes.NewReader(data))
		if err != nil {
			return
		}
		if a.Service == "" || a.Slots < 0 || a.Running+a.Queued < 0 || a.MaxConnections > maxFigure {
			t.Fatalf("accepted %+v", a)
		}
	})
}

// TestMemory guards the limit on buffered bodies: it is not exceeded, and a
// refused reservation or a release leaves nothing behind.
func TestMemory(t *testing.T) {
	var m memory
	release, ok := m.reserve(60, 100)
	if _, second := m.reserve(41, 100); !ok || second {
		t.Errorf("reserving 60 and 41 of 100: got %v and %v, want only the first", ok, second)
	}
	release()
	if n := m.used.Load(); n != 0 {
		t.Errorf("%d bytes in use after the release", n)
	}
}
