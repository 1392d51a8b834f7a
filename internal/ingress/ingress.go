// Package ingress is where callers, and the backend server beside the node for
// its nested calls, send requests. It turns a request into a call, sends it to
// a guard of the target service, retries what may be retried, and writes the
// complete response or a refusal.
package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/guard"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/settings"
)

// Control is what the ingress needs from the control state.
type Control interface {
	Snapshot() *control.Snapshot
	Fresh(now time.Time) bool
	Announce(ctx context.Context, a control.Announcement)
}

// Pressure refuses early what would fail behind the first hop.
type Pressure interface {
	// Admit returns a refusal if the call should not be sent.
	Admit(now time.Time, c *call.Call) *request.Refusal
	// Observe learns from the hints of a response.
	Observe(now time.Time, route string, load call.Load)
}

// Ingress serves callers. It is an http.Handler.
type Ingress struct {
	log      *slog.Logger
	control  Control
	guard    *guard.Guard
	backend  *guard.Backend
	forward  *Forwarder
	services *Services
	pressure Pressure
	metrics  *obs.Metrics
	bodies   memory
	leaving  atomic.Bool
}

// New returns the ingress of a node.
func New(log *slog.Logger, ctl Control, g *guard.Guard, b *guard.Backend, f *Forwarder, s *Services, p Pressure, m *obs.Metrics) *Ingress {
	return &Ingress{log: log, control: ctl, guard: g, backend: b, forward: f, services: s, pressure: p, metrics: m}
}

// AnnouncePath is where the backend server beside the node announces itself.
const AnnouncePath = "/teaselseam/announce"

// ServeHTTP serves one request.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == AnnouncePath {
		in.serveAnnouncement(w, r)
		return
	}
	if in.leaving.Load() {
		// The connection ends with this response, so that the listener can
		// close without a request under way on an idle connection.
		w.Header().Set("Connection", "close")
	}
	started := time.Now()
	c, parent, refusal := in.newCall(r, started)
	if refusal == nil {
		var release func()
		release, refusal = in.readBody(w, r, c)
		defer release()
	}
	bound(w, c, started)
	if refusal != nil {
		endBody(w, r)
		in.refused(c, refusal, "admit")
		writeRefusal(w, idOf(c), *refusal)
		return
	}
	resp := in.serve(r.Context(), c, parent)
	if resp.Refusal != nil {
		in.refused(c, resp.Refusal, "call")
		writeRefusal(w, c.ID, *resp.Refusal)
		return
	}
	writeResponse(w, c.ID, resp)
	in.metrics.Completed(time.Since(started))
}

// writeGrace is how long after the deadline a response may still be written. It
// ends the connection of a caller that went silent.
const writeGrace = 5 * time.Second

// bound limits the time in which the response is written to the caller.
func bound(w http.ResponseWriter, c *call.Call, started time.Time) {
	deadline := started
	if c != nil && c.Deadline.After(started) {
		deadline = c.Deadline
	}
	// A connection without deadlines, as in tests, is used without a bound.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// Leave asks callers to close their connections. Requests are still served.
func (in *Ingress) Leave() { in.leaving.Store(true) }

// serve runs the attempts of a call within the deadline and, for a nested call,
// within the lifetime of its parent.
func (in *Ingress) serve(ctx context.Context, c *call.Call, parent *guard.Entry) *call.Response {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	stop := func() bool { return true }
	giveBack := func(int) {}
	if parent != nil {
		stop = context.AfterFunc(parent.Context, cancel)
		c.Budget, giveBack = parent.Lend()
	}
	resp := in.admit(ctx, c)
	giveBack(resp.BudgetUnused)
	if parent != nil {
		parent.Learn(c.Service, resp.Load)
	}
	resp.WhenRead(func(bool) {
		stop()
		cancel()
	})
	return resp
}

// admit makes the attempts unless the call would fail behind the first hop.
func (in *Ingress) admit(ctx context.Context, c *call.Call) *call.Response {
	if refusal := in.pressure.Admit(time.Now(), c); refusal != nil {
		return final(call.Refused(*refusal), false, c.Budget)
	}
	return in.attempts(ctx, c)
}

func idOf(c *call.Call) request.ID {
	if c == nil {
		return ""
	}
	return c.ID
}

func (in *Ingress) refused(c *call.Call, r *request.Refusal, step string) {
	in.metrics.Refused(step, r)
	if !in.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := []any{"step", step, "reason", string(r.Reason), "outcome", r.Outcome.String()}
	if c != nil {
		attrs = append(attrs, "request", string(c.ID), "workspace", c.Workspace, "route", c.Route)
	}
	in.log.Debug("request refused", attrs...)
}

// fromThisVM reports whether a request comes from the VM that the node runs on.
func fromThisVM(r *http.Request) bool {
	remote, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(remote)
	if ip.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && local.IP.Equal(ip)
}

func newAttempt() string { return uuid.NewString() }

// routeFor finds the route of a request and checks that the workspace may use it.
func routeFor(c *settings.Compiled, path, workspace string) (*settings.Route, *request.Refusal) {
	route, ok := c.MatchRoute(path)
	if !ok {
		return nil, request.Refused(request.ReasonUnknownRoute, 0)
	}
	if !route.Allows(workspace) {
		return nil, request.Refused(request.ReasonRouteForbidden, 0)
	}
	return route, nil
}
