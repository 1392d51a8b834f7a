package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Forwarder sends calls to the guards of other nodes.
type Forwarder struct {
	log   *slog.Logger
	peers http.RoundTripper
}

// NewForwarder returns a forwarder over authenticated connections between nodes.
func NewForwarder(log *slog.Logger, client *http.Client) *Forwarder {
	// Not the client itself, which would follow a backend server's redirect.
	return &Forwarder{log: log, peers: client.Transport}
}

// Send sends a call to the guard of a node and reads its response.
func (f *Forwarder) Send(ctx context.Context, target membership.Member, c *call.Call) *call.Response {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := "https://" + target.PeerAddress + call.PathPrefix + c.URI
	req, err := http.NewRequestWithContext(traced, c.Method, url, call.Body(c.Body))
	if err != nil {
		return call.Refused(request.Refuse(request.ReasonBadRequest, 0))
	}
	c.EncodeRequest(req.Header, time.Now())
	req.ContentLength = int64(len(c.Body))
	resp, err := f.peers.RoundTrip(req)
	if err != nil {
		f.log.Debug("forward failed", "step", "forward", "peer", target.ID, "request", string(c.ID), "error", err)
		return lost(ctx, connected.Load())
	}
	out, err := call.ReadResponse(c, resp)
	if err != nil {
		if ctx.Err() != nil {
			return lost(ctx, true)
		}
		f.log.Warn("response rejected", "step", "forward", "peer", target.ID, "request", string(c.ID), "error", err)
		return call.Refused(request.Unknown(request.ReasonBadAnswer))
	}
	return out
}

// lost classifies a forwarded call without a response. It did not run if no
// connection to the guard was available.
func lost(ctx context.Context, connected bool) *call.Response {
	reason := request.ReasonPeerLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = request.ReasonDeadline
	case ctx.Err() != nil:
		reason = request.ReasonCancelled
	}
	if connected {
		return call.Refused(request.Unknown(reason))
	}
	return call.Refused(request.Refuse(reason, 0))
}
