package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// NodeSettings are the settings of a node process as the platform writes them.
type NodeSettings struct {
	Node, DataCentre, Service string
	// Addresses, IP:port.
	Callers, Peers, Ready, Announce, Backend, Store, Metrics string

	AnnounceInterval                      time.Duration
	Revoke, Drain, ConfigApply, StopGrace time.Duration
}

// File returns the settings file.
func (s *NodeSettings) File() ([]byte, error) {
	host, port, err := net.SplitHostPort(s.Metrics)
	if err != nil {
		return nil, err
	}
	first := json.Number(port)
	return json.Marshal(map[string]any{
		"node": s.Node, "ip": host, "zone": s.DataCentre, "service": s.Service, "appAddr": s.Backend,
		"listen":    map[string]string{"inbound": s.Peers, "outbound": s.Callers, "ready": s.Ready, "control": s.Announce},
		"portRange": []json.Number{first, first},
		"limits":    map[string]int{"memoryMb": 284, "maxFds": 4100}, "beatIntervalMs": s.AnnounceInterval.Milliseconds(),
		"platform": map[string]string{"address": s.Store},
		"bounds": map[string]any{
			"contactMs": 3000, "drainMs": s.Drain.Milliseconds(), "graceS": s.StopGrace.Seconds(),
			"configApplyMs": s.ConfigApply.Milliseconds(), "revokeMs": s.Revoke.Milliseconds(),
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 49,
		},
	})
}

// Sign sets the signature of a backend server on an answer.
func Sign(w http.ResponseWriter) { w.Header().Set("Response-Signature", "signed") }

// TruncateResponse begins an answer of a backend server that is longer than what it sends.
func TruncateResponse(w http.ResponseWriter) {
	Sign(w)
	w.Header().Set("Content-Length", "100000")
	_, _ = io.WriteString(w, "this answer ends early") // it is meant to be cut
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
