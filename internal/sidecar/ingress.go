package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// defaultWait bounds requests whose caller and route name no deadline.
	defaultWait = 10 * time.Second
	// wayBack is the time kept for the way of the answer to the caller, so that it
	// gets the final answer before it gives up.
	wayBack = 20 * time.Millisecond
	// maxActive bounds the requests that a node serves at once, for memory: each
	// takes about 60 KB with its bodies.
	maxActive = 1500
	// overShareReturn is when a workspace beyond its rate may come back.
	overShareReturn = 500 * time.Millisecond
	// shortReturn is when a request may come back whose cause passes soon.
	shortReturn = 300 * time.Millisecond
)

// serveCaller takes a request of a caller on the VM or of the backend server.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	n.active.Add(1)
	defer n.active.Add(-1)
	h := platform.ReadRequestHeader(r.Header)
	if n.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	a := n.answer(r, h, arrived)
	defer a.Close()
	if r.Context().Err() != nil && a.Refusal != nil {
		return // the caller has left
	}
	if a.Refusal != nil {
		n.refuse(w, r, h.ID, a.Refusal)
		return
	}
	hop.WriteToCaller(w, a)
}

// answer decides on a request and runs it.
func (n *Node) answer(r *http.Request, h platform.RequestHeader, arrived time.Time) *hop.Response {
	if n.closing.Load() {
		return hop.Refused(request.ReasonDraining, shortReturn)
	}
	if n.active.Load() > maxActive {
		return hop.Refused(request.ReasonOverload, shortReturn)
	}
	cat := n.knowledge.catalog.Load()
	if cat == nil {
		return hop.Refused(request.ReasonNodeStale, shortReturn)
	}
	route, ws, refused := n.match(cat, r, h)
	if refused != nil {
		return refused
	}
	service := n.places.service(route)
	body, err := hop.ReadBody(r, cat.Service(service).MaxBody)
	if err != nil {
		if errors.Is(err, hop.ErrBodyTooLarge) {
			return hop.Refused(request.ReasonBodyTooLarge, 0)
		}
		return hop.Refused(request.ReasonBadRequest, 0)
	}
	c := n.call(cat, r, h, route, ws, arrived, body)
	c.Service = service
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline.Add(wayBack/2))
	defer cancel()
	if c.Workspace == "" {
		return n.answerCall(ctx, c, route)
	}
	if !n.takes() {
		return hop.Refused(request.ReasonDraining, shortReturn)
	}
	if refusal, ok := n.behind.admit(c, ws.Weight); !ok {
		return &hop.Response{Refusal: &refusal}
	}
	if !n.tokens.take(ctx, c.Workspace) {
		n.logOverShare(c, ws)
		return hop.Refused(request.ReasonOverShare, overShareReturn)
	}
	a := n.attempts(ctx, c, route)
	n.behind.learn(c, a)
	if a.Refusal != nil && a.Refusal.Outcome == request.NotRun && !a.ReachedBackend {
		n.tokens.refund(c.Workspace)
	}
	return a
}

// answerCall runs a call that the backend server makes for a request of its own.
func (n *Node) answerCall(ctx context.Context, c *hop.Call, route *catalog.Route) *hop.Response {
	n.behind.called(c)
	a := n.attempts(ctx, c, route)
	n.behind.answered(c, a)
	if a.Refusal != nil || a.Status >= 500 {
		n.guard.noteCallFailed()
	}
	return a
}

// match finds the route and workspace of a request, or the refusal. That a route
// or key does not exist is said only while the configuration is known to be new.
func (n *Node) match(cat *catalog.Catalog, r *http.Request, h platform.RequestHeader) (*catalog.Route, *catalog.Workspace, *hop.Response) {
	unsure := func(reason request.Reason) *hop.Response {
		if n.knowledge.age() > sureAge {
			return hop.Refused(request.ReasonNodeStale, shortReturn)
		}
		return hop.Refused(reason, 0)
	}
	if h.ID == "" {
		return nil, nil, hop.Refused(request.ReasonBadRequest, 0)
	}
	route, ok := cat.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, nil, unsure(request.ReasonUnknownRoute)
	}
	ws, known := cat.WorkspaceByKey(h.Key)
	if cat.NeedsKey(route) && !known {
		return nil, nil, unsure(request.ReasonUnknownKey)
	}
	if !route.Allows(ws) {
		return nil, nil, unsure(request.ReasonRouteForbidden)
	}
	if ws != nil && !n.knowledge.keysHold() {
		return nil, nil, hop.Refused(request.ReasonNodeStale, shortReturn)
	}
	return route, ws, nil
}

func (n *Node) call(cat *catalog.Catalog, r *http.Request, h platform.RequestHeader, route *catalog.Route, ws *catalog.Workspace, arrived time.Time, body hop.Body) *hop.Call {
	c := &hop.Call{
		ID: h.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: hop.EndToEndHeaders(r.Header), Body: body,
		Route: route.Name, Caller: n.settings.Service,
		Importance: cat.Importance(route, ws), Idempotent: route.Idempotent,
		Arrived: arrived, Deadline: arrived.Add(route.EffectiveTimeout(h.Deadline, defaultWait) - wayBack), TargetLatency: route.TargetLatency,
	}
	delete(c.Header, hop.CallHeader)
	platform.RemoveTrustedHeaders(c.Header)
	if ws != nil {
		c.Workspace = ws.Name
	}
	return c
}

// refuse writes the final answer to a request that the node gives up on.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, id string, f *request.Refusal) {
	n.metrics.CountRefusal("ingress", f)
	status := refusalStatus(f)
	n.requests.Info("request refused", "event", "answered", "id", id, "host", r.Host, "path", r.URL.Path, "status", status,
		"reason", string(f.Reason), "outcome", f.Outcome.String(), "return_after", f.RetryAfter,
		"configuration_age", n.knowledge.age())
	h := w.Header()
	h["Date"] = nil
	platform.SetRequestID(h, id)
	if f.Outcome == request.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		platform.SetRetryAfter(h, max(f.RetryAfter, time.Millisecond))
	}
	text := string(f.Reason)
	h["Content-Type"] = []string{"text/plain"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have left
}

// refusalStatus returns the status of a refusal. 429 and 503 promise that the
// request has not run and will not; 502 and 504 promise nothing.
func refusalStatus(f *request.Refusal) int {
	if f.Outcome != request.NotRun {
		if f.Reason == request.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch f.Reason {
	case request.ReasonUnknownRoute:
		return http.StatusNotFound
	case request.ReasonUnknownKey:
		return http.StatusUnauthorized
	case request.ReasonRouteForbidden:
		return http.StatusForbidden
	case request.ReasonOverShare:
		return http.StatusTooManyRequests
	case request.ReasonBadRequest:
		return http.StatusBadRequest
	case request.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

func itoa(n int) string { return strconv.Itoa(n) }

// service chooses the service of a request on a route.
func (p *places) service(r *catalog.Route) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.PickService(p.rnd)
}
