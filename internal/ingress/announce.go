package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
)

// maxAnnouncement is the largest announcement, in bytes.
const maxAnnouncement = 16 << 10

// announcementWait bounds the time in which an announcement arrives.
const announcementWait = time.Second

// serveAnnouncement takes the announcement of the backend server beside the
// node. It is refused from any other VM.
func (in *Ingress) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	// A connection without deadlines, as in tests, is read without a bound.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(announcementWait))
	if !fromThisVM(r) {
		http.Error(w, "announcements are accepted from the same VM only", http.StatusForbidden)
		return
	}
	if r.Method != http.MethodPost {
		http.Error(w, "announcements are sent by POST", http.StatusMethodNotAllowed)
		return
	}
	a, err := decodeAnnouncement(io.LimitReader(r.Body, maxAnnouncement))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s := in.control.Snapshot().Settings; a.MaxConnections == 0 && s != nil {
		a.MaxConnections = s.Service(a.Service).MaxConnections
	}
	in.backend.Announce(a, time.Now())
	in.control.Announce(r.Context(), a)
	w.WriteHeader(http.StatusNoContent)
}

// Limits of an announcement's fields.
const (
	maxName   = 128     // bytes
	maxFigure = 1 << 20 // connections or calls
)

// decodeAnnouncement reads and checks an announcement.
func decodeAnnouncement(r io.Reader) (control.Announcement, error) {
	var a control.Announcement
	if err := json.NewDecoder(r).Decode(&a); err != nil {
		return a, fmt.Errorf("announcement is not valid JSON: %w", err)
	}
	for _, name := range []string{a.Service, a.Instance} {
		if name == "" || len(name) > maxName {
			return a, fmt.Errorf("announcement needs service and instance of at most %d bytes", maxName)
		}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return a, errors.New("announcement needs an address (IP:port)")
	}
	for _, figure := range []int{a.MaxConnections, a.Slots, a.Running, a.Queued} {
		if figure < 0 || figure > maxFigure {
			return a, fmt.Errorf("a figure of the announcement is not from 0 to %d", maxFigure)
		}
	}
	return a, nil
}
