package hop

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// SendToNode sends a call to the node beside a backend server.
func (p *Pool) SendToNode(ctx context.Context, addr string, c *Call) (*Response, *Error) {
	h := make(http.Header, len(c.Header)+1)
	for k, v := range c.Header {
		h[k] = v
	}
	if !p.setKey(h, addr) && !readableByPath(c.URI) {
		resp := Refused(request.ReasonPeerRelease, 0)
		resp.RetryElsewhere = true
		return resp, nil
	}
	h[CallHeader] = []string{c.encode(time.Now())}
	if c.AskConfig {
		h[askConfigHeader] = []string{"1"}
	}
	setTargetLimit(h, c.TargetLimit)
	setMaxWait(h, c.MaxWait)
	hold := c.Body.Rest != nil && p.asksForBody(addr)
	if hold {
		setAhead(h, &c.Body)
	}
	resp, err := p.do(ctx, exchange{
		addr: addr, call: c, header: h, accept: (*Response).readCallHeaders, choice: recentIf(!c.Idempotent || c.Repeated), hold: hold, memory: p.memory,
	})
	if err != nil {
		return nil, err
	}
	if resp.Refusal == nil {
		resp.ReachedBackend = true
	}
	return resp, nil
}

// SendToBackend sends a call to a backend server. If the backend server states that
// it has not run the call, the response is a refusal. Any other response must be
// complete, belong to this call and, if it is a success, be signed.
func (p *Pool) SendToBackend(ctx context.Context, addr string, c *Call) (*Response, *Error) {
	h := make(http.Header, len(c.Header)+4)
	for k, v := range c.Header {
		h[k] = v
	}
	platform.SetBackendRequestHeader(h, platform.BackendRequestHeader{
		Remaining: time.Until(c.Deadline), Workspace: c.Workspace, Caller: c.Caller, Target: c.Target,
	})
	var rh platform.ResponseHeader
	resp, err := p.do(ctx, exchange{
		addr: addr, call: c, header: h, checkID: true, choice: recentIf(!c.Idempotent), memory: p.memory,
		accept: func(resp *Response) error {
			RemoveNodeHeaders(resp.Header)
			rh = platform.ReadResponseHeader(resp.Status, resp.Header)
			return checkResponse(c, resp.Status, &rh)
		},
	})
	if err != nil {
		return nil, err
	}
	if rh.NotRun {
		resp.Close()
		reason := request.ReasonOverload
		if resp.Status == http.StatusMisdirectedRequest {
			reason = request.ReasonNoBackend
		}
		refused := Refused(reason, 0)
		refused.ReachedBackend, refused.RetryElsewhere, refused.ReportedLoad = true, true, rh.Load
		refused.Misdirected = resp.Status == http.StatusMisdirectedRequest
		if !refused.Misdirected { // another backend server sends that
			refused.Condition = &rh.Condition
		}
		return refused, nil
	}
	resp.ReachedBackend, resp.ReportedLoad, resp.Condition = true, rh.Load, &rh.Condition
	return resp, nil
}

// checkResponse rejects responses that are not the backend server's own, unmodified
// response to the call. A statement that the call has not run needs no signature.
func checkResponse(c *Call, status int, rh *platform.ResponseHeader) error {
	if rh.NotRun {
		return nil
	}
	if rh.Encoded {
		return errors.New("backend server response has an unrequested Content-Encoding")
	}
	if rh.ID == "" && c.ID != "" {
		return errors.New("backend server response has no request ID")
	}
	if status < 300 && !rh.Signed {
		return errors.New("backend server response with a success status is not signed")
	}
	return nil
}

// CheckHealth asks a backend server for its health.
func (p *Pool) CheckHealth(ctx context.Context, addr, path string) (platform.Health, error) {
	var health platform.Health
	c := &Call{Method: http.MethodGet, URI: path, Host: addr}
	resp, err := p.do(ctx, exchange{addr: addr, call: c, header: http.Header{}, checkID: true, accept: func(resp *Response) (err error) {
		health, err = platform.ReadHealth(resp.Header)
		return err
	}})
	if err != nil {
		return platform.Health{}, err
	}
	resp.Close()
	return health, nil
}

// Post sends a message from this node to another one, without retries. The response may
// have a ConfigFreshness.
func (p *Pool) Post(ctx context.Context, addr, path string, body []byte) (*Response, *Error) {
	return p.post(ctx, addr, path, body, connLatest)
}

// probeDelay is how long an idle connection has for the response to a probe until a new one
// is tried too. It allows for some round trips between data centres (3 ms).
const probeDelay = 50 * time.Millisecond

// errSilent is the cause for which a probe is ended on a connection that received nothing
// while a new one has answered.
var errSilent = errors.New("only a new connection has answered")

// Probe sends a message without a body, to which the peer responds at once, on the idle
// connection that was used least recently, and if that receives nothing soon also on a new
// one. If only the new one is answered, the other idle connections are closed too and lost
// is true.
func (p *Pool) Probe(ctx context.Context, addr, path string) (resp *Response, lost bool, err *Error) {
	type result struct {
		resp *Response
		err  *Error
	}
	idle, end := context.WithCancelCause(ctx)
	defer end(nil)
	first := make(chan result, 1)
	go func() {
		resp, err := p.post(idle, addr, path, nil, connOldest)
		first <- result{resp, err}
	}()
	t := time.NewTimer(probeDelay)
	defer t.Stop()
	select {
	case r := <-first:
		if r.err == nil || !r.err.ReuseFailed {
			return r.resp, false, r.err
		}
		first <- r
	case <-t.C:
	}
	resp, err = p.post(ctx, addr, path, nil, connNew)
	if err == nil {
		end(errSilent)
	}
	r := <-first
	if err != nil {
		return r.resp, false, r.err
	}
	return resp, r.err != nil && r.err.ReuseFailed, nil
}

func (p *Pool) post(ctx context.Context, addr, path string, body []byte, choice connChoice) (*Response, *Error) {
	c := &Call{Method: http.MethodPost, URI: path, Host: addr, Body: Body{Data: body, Length: int64(len(body))}}
	h := http.Header{}
	p.setKey(h, addr)
	return p.do(ctx, exchange{addr: addr, call: c, header: h, accept: (*Response).readNodeHeaders, choice: choice})
}
