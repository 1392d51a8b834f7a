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
