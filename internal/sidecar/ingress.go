package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/internal/ahead"
	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/presence"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// defaultDeadline applies to requests for which neither the caller nor the route sets a
	// deadline.
	defaultDeadline = 10 * time.Second
	// returnMargin is the time reserved for sending the response, so that it reaches the
	// caller before the caller's deadline.
	returnMargin = 20 * time.Millisecond
	// maxActiveRequests bounds the concurrent requests of a node to bound its memory, beside
	// that of their bodies.
	maxActiveRequests = 1500
	// overShareRetryAfter is the Retry-After of refusals for workspaces above their rate.
	overShareRetryAfter = 500 * time.Millisecond
	// shortRetryAfter is the Retry-After of refusals whose cause is expected to pass soon.
	shortRetryAfter = 300 * time.Millisecond
)

// serveCaller handles a request of a caller on the VM or an internal call of the backend
// server.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	conn := ahead.FromContext(r.Context())
	arrived := conn.Begin(time.Now(), r.Close)
	defer conn.End()
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the caller has left while the request stood behind another one
	}
	n.activeRequests.Add(1)
	defer n.activeRequests.Add(-1)
	h := platform.ReadRequestHeader(r.Header)
	resp, c := n.handleRequest(r, h, arrived)
	defer resp.Close()
	if n.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	if c != nil {
		defer c.Body.Release()
		c.Body.LeaveUnread(w)
	}
	if resp.Refusal != nil { // also if the caller has left: without it the server would send an empty success
		n.writeRefusal(w, r, h.ID, resp.Refusal)
	} else {
		writeToCaller(w, r, resp, conn)
	}
	if c != nil {
		n.durations.observe(c, resp)
	}
}

// writeToCaller writes a backend server's response. A response to HTTP/1.0 may have no framing: if
// it is cut off, the connection is reset.
func writeToCaller(w http.ResponseWriter, r *http.Request, resp *hop.Response, conn *ahead.Conn) {
	whole := false
	defer func() {
		if !whole && !r.ProtoAtLeast(1, 1) && conn != nil {
			conn.ResetOnClose()
		}
	}()
	hop.WriteToCaller(w, resp)
	whole = true
}

// handleRequest admits or refuses a request and returns the response, and the call unless it is
// refused before there is one.
func (n *Node) handleRequest(r *http.Request, h platform.RequestHeader, arrived time.Time) (*hop.Response, *hop.Call) {
	if n.closing.Load() {
		return n.refusedByStop(), nil
	}
	if n.activeRequests.Load() > maxActiveRequests || n.memory.Full() {
		return hop.Refused(request.ReasonOverload, shortRetryAfter), nil
	}
	cat := n.state.catalog.Load()
	if cat == nil {
		return hop.Refused(request.ReasonNodeStale, shortRetryAfter), nil
	}
	route, ws, refused := n.matchRoute(cat, r, h)
	if refused != nil {
		return refused, nil
	}
	service := n.balancer.chooseService(route)
	body, err := hop.ReadBody(r, cat.Service(service).MaxBody, n.memory)
	if err != nil {
		if errors.Is(err, hop.ErrBodyTooLarge) {
			return hop.Refused(request.ReasonBodyTooLarge, 0), nil
		}
		return hop.Refused(request.ReasonBadRequest, 0), nil
	}
	c := n.newCall(cat, r, h, route, ws, arrived, body)
	c.Service, c.Flow = service, route.Flow(service)
	if !time.Now().Before(c.Deadline) { // it stood behind another request for too long
		c.Body.Release()
		return hop.Refused(request.ReasonDeadline, shortRetryAfter), nil
	}
	ctx, endWatch := r.Context(), func() {}
	if c.Body.Rest != nil { // the server does not watch the caller until it is read
		ctx, endWatch = presence.Watch(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(returnMargin/2))
	resp := n.forward(ctx, c, route, ws)
	cancelOnClose(resp, func() {
		cancel()
		endWatch()
	})
	return resp, c
}

// forward admits or refuses a request or an internal call and returns the response. ctx must
// not end before a streamed response body is read.
func (n *Node) forward(ctx context.Context, c *hop.Call, route *catalog.Route, ws *catalog.Workspace) *hop.Response {
	if !n.doneBeforeStop(c) {
		if c.Workspace == "" {
			n.guard.internalCallFailed()
		}
		return n.refusedByStop()
	}
	if c.Workspace == "" {
		return n.handleInternalCall(ctx, c, route)
	}
	if refusal, ok := n.downstream.admit(c, ws.Weight); !ok {
		return &hop.Response{Refusal: &refusal}
	}
	if !n.tokens.take(ctx, c.Workspace, c.Importance) {
		n.logOverShare(c, ws)
		return hop.Refused(request.ReasonOverShare, overShareRetryAfter)
	}
	resp := n.callWithRetries(ctx, c, route)
	n.downstream.observeHints(c, resp)
	if resp.Refusal != nil && resp.Refusal.Outcome == request.NotRun && !resp.ReachedBackend {
		n.tokens.refund(c.Workspace)
	}
	return resp
}

// handleInternalCall forwards a call that the backend server makes while it runs a request.
func (n *Node) handleInternalCall(ctx context.Context, c *hop.Call, route *catalog.Route) *hop.Response {
	n.downstream.internalCallStarted(c)
	resp := n.callWithRetries(ctx, c, route)
	n.downstream.internalCallEnded(c, resp)
	gaveUp := resp.Refusal != nil && resp.Refusal.Reason == request.ReasonCallerLeft
	if !gaveUp && (resp.Refusal != nil || resp.Status >= 500) {
		n.guard.internalCallFailed()
	}
	return resp
}

// matchRoute returns the route and workspace of a request, or a refusal. An unknown route
// or key or a forbidden route is reported only while the configuration is recent enough
// to be sure; otherwise the reason is ReasonNodeStale.
func (n *Node) matchRoute(cat *catalog.Catalog, r *http.Request, h platform.RequestHeader) (*catalog.Route, *catalog.Workspace, *hop.Response) {
	refuse := func(reason request.Reason) *hop.Response {
		if n.state.configAge() > maxDefinitiveAge {
			return hop.Refused(request.ReasonNodeStale, shortRetryAfter)
		}
		return hop.Refused(reason, 0)
	}
	if h.ID == "" {
		return nil, nil, hop.Refused(request.ReasonBadRequest, 0)
	}
	route, ok := cat.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, nil, refuse(request.ReasonUnknownRoute)
	}
	ws, known := cat.WorkspaceByKey(h.Key)
	if cat.NeedsKey(route) && !known {
		return nil, nil, refuse(request.ReasonUnknownKey)
	}
	if !route.Allows(ws) {
		return nil, nil, refuse(request.ReasonRouteForbidden)
	}
	if ws != nil && !n.state.keysValid() {
		return nil, nil, hop.Refused(request.ReasonNodeStale, shortRetryAfter)
	}
	return route, ws, nil
}

// newCall returns the call for a request. The caller's deadline counts from its arrival; the
// route's timeout and latency target count from its turn, since the node does not work on a
// request that stands behind another one on its connection.
func (n *Node) newCall(cat *catalog.Catalog, r *http.Request, h platform.RequestHeader, route *catalog.Route, ws *catalog.Workspace, arrived time.Time, body hop.Body) *hop.Call {
	turn := time.Now()
	patience := h.Deadline // zero if the caller states none
	if patience > 0 {
		patience = max(patience-turn.Sub(arrived), time.Nanosecond)
	}
	c := &hop.Call{
		ID: h.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: hop.EndToEndHeaders(r.Header), Body: body,
		Route: route.Name, Caller: n.settings.Service,
		Importance: cat.Importance(route, ws), Idempotent: route.Idempotent,
		Arrived: turn, Deadline: turn.Add(route.EffectiveTimeout(patience, defaultDeadline) - returnMargin), TargetLatency: route.TargetLatency,
	}
	hop.RemoveNodeHeaders(c.Header)
	platform.RemoveTrustedHeaders(c.Header)
	if ws != nil {
		c.Workspace = ws.Name
	}
	return c
}

// writeRefusal writes the response to a request that the node refuses or has failed to
// complete.
func (n *Node) writeRefusal(w http.ResponseWriter, r *http.Request, id string, refusal *request.Refusal) {
	n.metrics.CountRefusal("ingress", refusal)
	status := refusalStatus(refusal)
	n.requestLog.Info("request refused", "event", "answered", "id", id, "host", r.Host, "path", r.URL.Path, "status", status,
		"reason", string(refusal.Reason), "outcome", refusal.Outcome.String(), "return_after", refusal.RetryAfter,
		"configuration_age", n.state.configAge())
	h := w.Header()
	h["Date"] = nil
	platform.SetRequestID(h, id)
	if refusal.Outcome == request.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		platform.SetRetryAfter(h, max(refusal.RetryAfter, time.Millisecond))
	}
	text := string(refusal.Reason)
	h["Content-Type"] = []string{"text/plain"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have disconnected
}

// refusalStatus returns the HTTP status of a refusal. 429 and 503 guarantee that the
// request has not run and will not run; after 502 and 504 it may have run or may still run.
func refusalStatus(refusal *request.Refusal) int {
	if refusal.Outcome != request.NotRun {
		if refusal.Reason == request.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch refusal.Reason {
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

// chooseService selects the service for a request, by the weights of the route.
func (b *balancer) chooseService(r *catalog.Route) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.PickService(b.rng)
}
