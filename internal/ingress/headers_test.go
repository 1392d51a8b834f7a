package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/ingress"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// FuzzRequestHeaders guards G4 and the ingress's reading of headers: whatever a
// caller sends, there is an answer, and neither key nor digest reaches the
// backend server or the log.
func FuzzRequestHeaders(f *testing.F) {
	f.Add(testKey, "id", "100", "high", "true", "X-Other", "v")
	f.Add("tsk_unknownunknownunknownunknown", "", "-1", "critical ", "1", "Connection", "Teaselseam-Key")
	f.Add(testKey, "\x00", "99999999999999999999", "", "", "Teaselseam_Key", testKey)
	var mu sync.Mutex
	var seen http.Header
	address := handled(f, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = r.Header
	})
	node := newFixture(f, address, false)
	in := ingress.New(node.logger(), node.ctl, node.guard, node.backend, nil, ingress.NewServices(), ingress.NewPressureTable(func(string) float64 { return 1 }), obs.NewMetrics())
	f.Fuzz(func(t *testing.T, key, id, timeout, importance, idempotent, name, value string) {
		node.backend.Announce(control.Announcement{Service: "echo", Address: address, Instance: "i1"}, time.Now())
		r := httptest.NewRequest(http.MethodGet, "/idem/x", nil)
		for h, v := range map[string]string{
			request.HeaderKey: key, request.HeaderID: id, request.HeaderTimeout: timeout,
			request.HeaderImportance: importance, request.HeaderIdempotent: idempotent,
		} {
			r.Header.Set(h, v)
		}
		if strings.Contains(value, testKey) && !strings.HasPrefix(strings.ToLower(name), "teaselseam") {
			return // a header of the caller's own, which is passed on as it is
		}
		r.Header.Add(name, value)
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if w.Code < 200 || w.Code == http.StatusInternalServerError {
			t.Fatalf("status %d", w.Code)
		}
		mu.Lock()
		defer mu.Unlock()
		for h, vs := range seen {
			if all := h + strings.Join(vs, ""); strings.Contains(all, testKey) || strings.Contains(all, workspace.DigestOf(testKey).String()) {
				t.Fatalf("key reached the backend server in %s", h)
			}
		}
		if text := node.log.text(); strings.Contains(text, testKey) || strings.Contains(text, "tsk_unknown") {
			t.Fatalf("key reached the log")
		}
	})
}

// TestHeadersPass guards what crosses between caller, nodes and backend server:
// their own headers do, those of one connection or of the nodes do not.
func TestHeadersPass(t *testing.T) {
	for _, viaPeer := range []bool{false, true} {
		var seen http.Header
		address := handled(t, func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header
			h := w.Header()
			for _, name := range []string{"X-Answer", "X-Hop", request.HeaderAttempt, request.HeaderDraining, request.HeaderOutcome} {
				h.Set(name, "true")
			}
			h.Set("Connection", "X-Hop")
		})
		a := newFixture(t, address, viaPeer).send(t, "PUT", "/idem", "body", "User-Agent", "", "X-Asked", "1", "X-Hop", "1",
			"Connection", "X-Hop", request.HeaderDepth, "7", request.HeaderWorkspace, "other")
		if seen.Get("X-Asked") != "1" || seen.Get(request.HeaderWorkspace) != "guild" {
			t.Errorf("peer=%v: backend server got %v", viaPeer, seen)
		}
		for _, name := range []string{"User-Agent", "X-Hop", request.HeaderDepth, request.HeaderKey, request.HeaderKeyDigest, request.HeaderAttempt} {
			if seen.Get(name) != "" {
				t.Errorf("peer=%v: %s reached the backend server", viaPeer, name)
			}
		}
		if a.header.Get("X-Answer") != "true" || a.header.Get(request.HeaderID) == "" {
			t.Errorf("peer=%v: caller got %v", viaPeer, a.header)
		}
		for _, name := range []string{"X-Hop", request.HeaderAttempt, request.HeaderDraining, request.HeaderOutcome, request.HeaderBudget} {
			if a.header.Get(name) != "" {
				t.Errorf("peer=%v: %s reached the caller", viaPeer, name)
			}
		}
	}
}
