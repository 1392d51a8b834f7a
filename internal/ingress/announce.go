package ingress

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
)

// maxAnnouncement is the largest announcement, in bytes.
const maxAnnouncement = 16 << 10

// serveAnnouncement takes the announcement of the backend server beside the
// node. It is refused from any other VM.
func (in *Ingress) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if !fromThisVM(r) {
		http.Error(w, "announcements are accepted from the same VM only", http.StatusForbidden)
		return
	}
	var a control.Announcement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement)).Decode(&a); err != nil {
		http.Error(w, "announcement is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil || a.Service == "" || a.Instance == "" {
		http.Error(w, "announcement needs service, instance and address (IP:port)", http.StatusBadRequest)
		return
	}
	in.backend.Announce(a, time.Now())
	in.control.Announce(r.Context(), a)
	w.WriteHeader(http.StatusNoContent)
}
