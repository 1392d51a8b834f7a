package sidecar

import (
	"context"
	"log/slog"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
)

// logEnd logs the answer of a backend server with what became of the call on its
// way. A node's own answers are logged where they are written.
func (n *Node) logEnd(c *hop.Call, a *hop.Response, p *progress) {
	if a.Refusal != nil {
		return
	}
	took := time.Since(c.Arrived)
	switch {
	case a.Status >= 500:
		n.logAnswer(slog.LevelInfo, "backend server failed a request", c, a, p, took, "event", "failed")
	case c.TargetLatency > 0 && took > c.TargetLatency:
		n.logAnswer(slog.LevelInfo, "request answered after its aim", c, a, p, took, "event", "late")
	default:
		n.logAnswer(slog.LevelDebug, "request served", c, a, p, took, "event", "served")
	}
}

// logAnswer writes the line about an answer. The event comes as key and value, so that
// the test of the operations page finds its name in the code.
func (n *Node) logAnswer(level slog.Level, text string, c *hop.Call, a *hop.Response, p *progress, took time.Duration, event ...any) {
	if !n.requests.Enabled(context.Background(), level) {
		return // its arguments would cost more than the line is worth
	}
	n.requests.Log(context.Background(), level, text, append(event, "id", c.ID, "route", c.Route, "workspace", c.Workspace,
		"status", a.Status, "took", took, "aim", c.TargetLatency, "peer", p.last, "last_took", p.lastTook, "places", p.places,
		"arrivals", p.arrivals, "downstream", a.DownstreamFailed)...)
}

// logRepeat logs the decision whether a call that has reached a backend server is
// sent to another one.
func (n *Node) logRepeat(c *hop.Call, a *hop.Response, p *progress, allowed bool) {
	outcome, reason := request.Completed, request.Reason("")
	if a.Refusal != nil {
		outcome, reason = a.Refusal.Outcome, a.Refusal.Reason
	}
	n.requests.Info("repeat of a call decided", "event", "repeat", "id", c.ID, "route", c.Route, "allowed", allowed,
		"peer", p.last, "outcome", outcome.String(), "reason", string(reason), "status", a.Status,
		"arrivals", p.arrivals, "runs", p.runs)
}

// logSlow logs a call that exceeded its aim at the backend server beside the node,
// with what it waited for a slot and what it ran.
func (g *guard) logSlow(c *hop.Call, waited, ran time.Duration) {
	if c.TargetLatency <= 0 || waited+ran <= c.TargetLatency {
		return
	}
	l := g.line.load(c.Route, c.Workspace == "")
	g.n.requests.Info("call exceeded its aim here", "event", "slow", "id", c.ID, "route", c.Route,
		"waited", waited, "ran", ran, "aim", c.TargetLatency, "running", l.Running, "waiting", l.Queued, "limit", l.Limit)
}

// logOverShare logs why a workspace has no token left.
func (n *Node) logOverShare(c *hop.Call, ws *catalog.Workspace) {
	tokens, bank := n.tokens.state(ws.Name)
	n.requests.Info("workspace has no token", "event", "over_share", "id", c.ID, "workspace", ws.Name,
		"rate", ws.Rate, "burst", ws.Burst, "tokens", tokens,
		"members", len(*n.knowledge.members.Load()), "bank", bank.keeper, "bank_heard_ago", bank.ago)
}
