package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// NodeSettings are the settings that the platform writes for a node process.
type NodeSettings struct {
	Node, DataCentre, Service string
	// The address (IP:port) of each listener, of the backend server beside the node
	// and of the store.
	Callers, Peers, Ready, Announce, Backend, Store, Metrics string

	AnnounceInterval time.Duration
	// The time limits that the platform gives to nodes.
	Revoke, Drain, ConfigApply, StopGrace time.Duration
}

// File returns the content of the settings file.
func (s *NodeSettings) File() ([]byte, error) {
	host, port, err := net.SplitHostPort(s.Metrics)
	if err != nil {
		return nil, err
	}
	metricsPort := json.Number(port)
	return json.Marshal(map[string]any{
		"node": s.Node, "ip": host, "zone": s.DataCentre, "service": s.Service, "appAddr": s.Backend,
		"listen":    map[string]string{"inbound": s.Peers, "outbound": s.Callers, "ready": s.Ready, "control": s.Announce},
		"portRange": []json.Number{metricsPort, metricsPort},
		"limits":    map[string]int{"memoryMb": 284, "maxFds": 4100}, "beatIntervalMs": s.AnnounceInterval.Milliseconds(),
		"platform": map[string]string{"address": s.Store},
		"bounds": map[string]any{
			"contactMs": 3000, "drainMs": s.Drain.Milliseconds(), "graceS": s.StopGrace.Seconds(),
			"configApplyMs": s.ConfigApply.Milliseconds(), "revokeMs": s.Revoke.Milliseconds(),
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 49,
		},
	})
}

// Sign sets the signature header by which a response is known to come from a backend
// server.
func Sign(w http.ResponseWriter) { w.Header().Set("Response-Signature", "signed") }

// TruncateResponse writes a signed response whose body is shorter than its
// Content-Length.
func TruncateResponse(w http.ResponseWriter) {
	Sign(w)
	w.Header().Set("Content-Length", "100000")
	_, _ = io.WriteString(w, "this answer ends early") // an error changes nothing: the response is incomplete anyway
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// SendEndlessHead writes a response head that does not end until the connection is closed.
func SendEndlessHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended already
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(conn, "X-Filler: without end\r\n")
	}
}

// SendEndlessBody writes a signed response with a body that does not end until the
// connection is closed.
func SendEndlessBody(w http.ResponseWriter, r *http.Request) {
	Sign(w)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	filler := make([]byte, 16<<10)
	for {
		if _, err := w.Write(filler); err != nil {
			return
		}
	}
}
