package sidecar

import (
	"context"
	"log/slog"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// logResponse logs the response of a backend server with the attempts of the call.
// Refusals by nodes are logged where they are written.
func (n *Node) logResponse(c *hop.Call, resp *hop.Response, p *progress) {
	if resp.Refusal != nil {
		return
	}
	took := time.Since(c.Arrived)
	switch {
	case resp.Status >= 500:
		n.logResponseEvent(slog.LevelInfo, "backend server failed a request", c, resp, p, took, "event", "failed")
	case c.TargetLatency > 0 && took > c.TargetLatency:
		n.logResponseEvent(slog.LevelInfo, "request answered after its latency target", c, resp, p, took, "event", "late")
	default:
		n.logResponseEvent(slog.LevelDebug, "request served", c, resp, p, took, "event", "served")
	}
}

// logResponseEvent writes the log line of logResponse. event is a key and a value, so that
// the test of the operations page finds the event name next to its key in the code.
func (n *Node) logResponseEvent(level slog.Level, text string, c *hop.Call, resp *hop.Response, p *progress, took time.Duration, event ...any) {
	if !n.requestLog.Enabled(context.Background(), level) {
		return // avoids building the arguments of a line that is not written
	}
	n.requestLog.Log(context.Background(), level, text, append(event, "id", c.ID, "route", c.Route, "workspace", c.Workspace,
		"status", resp.Status, "took", took, "aim", c.TargetLatency, "peer", p.lastEndpoint, "last_took", p.lastDuration, "places", p.Endpoints,
		"arrivals", p.Arrivals, "downstream", resp.DownstreamFailed)...)
}

// logRetryDecision logs whether a call that has reached a backend server is retried at
// another one.
func (n *Node) logRetryDecision(c *hop.Call, resp *hop.Response, p *progress, allowed bool) {
	outcome, reason := request.Completed, request.Reason("")
	if resp.Refusal != nil {
		outcome, reason = resp.Refusal.Outcome, resp.Refusal.Reason
	}
	n.requestLog.Info("decided whether to retry a call", "event", "repeat", "id", c.ID, "route", c.Route, "allowed", allowed,
		"peer", p.lastEndpoint, "outcome", outcome.String(), "reason", string(reason), "status", resp.Status,
		"arrivals", p.Arrivals, "runs", p.Runs)
}

// logSlow logs a call that exceeded its latency target at this node, with the time that
// it waited for a slot and the time that it ran.
func (g *guard) logSlow(c *hop.Call, waited, ran time.Duration) {
	if c.TargetLatency <= 0 || waited+ran <= c.TargetLatency {
		return
	}
	l := g.queue.load(c.Flow, c.Workspace == "")
	g.n.requestLog.Info("call exceeded its latency target at this node", "event", "slow", "id", c.ID, "route", c.Route,
		"waited", waited, "ran", ran, "aim", c.TargetLatency, "running", l.Running, "waiting", l.Queued, "limit", l.Limit)
}

// logChoice logs why a call goes to an endpoint, unless the choice is nil.
func (n *Node) logChoice(c *hop.Call, ep *endpoint, choice *routing.Choice) {
	if choice == nil {
		return
	}
	others := make([]string, choice.NOthers)
	for i, o := range choice.Others[:choice.NOthers] {
		others[i] = o.ID + " " + o.Expected.Round(time.Microsecond).String()
	}
	n.requestLog.Debug("endpoint selected for a call", "event", "choice", "route", c.Route, "service", c.Service,
		"cost", ep.cost, "endpoint", choice.ID, "expected", choice.Expected, "others", others)
}

// logOverShare logs the rate limit state of a workspace that has no token left.
func (n *Node) logOverShare(c *hop.Call, ws *catalog.Workspace) {
	tokens, bank := n.tokens.state(ws.Name)
	n.requestLog.Info("workspace has no rate token left", "event", "over_share", "id", c.ID, "workspace", ws.Name,
		"importance", c.Importance.String(), "rate", ws.Rate, "burst", ws.Burst, "tokens", tokens,
		"members", len(*n.state.members.Load()), "bank", bank.node, "bank_heard_ago", bank.ago)
}
