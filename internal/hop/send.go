package hop

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// SendToNode sends a call to the node beside a backend server and returns its answer.
func (p *Pool) SendToNode(ctx context.Context, addr string, c *Call) (*Response, *Error) {
	h := make(http.Header, len(c.Header)+1)
	for k, v := range c.Header {
		h[k] = v
	}
	h[CallHeader] = []string{c.encode(time.Now())}
	if c.AskConfig {
		h[askHeader] = []string{"1"}
	}
	a, err := p.do(ctx, exchange{addr: addr, call: c, header: h})
	if err != nil {
		return nil, err
	}
	if err := a.readAnswerHeaders(a.Header); err != nil {
		a.Close()
		return nil, &Error{Sent: true, Err: err}
	}
	if a.Refusal == nil {
		a.ReachedBackend = true
	}
	return a, nil
}

// SendToBackend sends a call to a backend server. A refusal that the backend server
// states itself becomes one of the answer; any other answer must be whole, signed
// if it is a success, and to this call.
func (p *Pool) SendToBackend(ctx context.Context, addr string, c *Call) (*Response, *Error) {
	h := make(http.Header, len(c.Header)+4)
	for k, v := range c.Header {
		h[k] = v
	}
	platform.SetForBackend(h, platform.ForBackend{
		Remaining: time.Until(c.Deadline), Workspace: c.Workspace, Caller: c.Caller, Target: c.Target,
	})
	a, err := p.do(ctx, exchange{addr: addr, call: c, header: h, checkID: true, newest: !c.Idempotent})
	if err != nil {
		return nil, err
	}
	rh := platform.ReadResponseHeader(a.Status, a.Header)
	if rh.NotRun {
		a.Close()
		reason := request.ReasonOverload
		if a.Status == http.StatusMisdirectedRequest {
			reason = request.ReasonNoBackend
		}
		refused := Refused(reason, 0)
		refused.ReachedBackend, refused.RetryElsewhere, refused.ReportedLoad = true, true, rh.Load
		return refused, nil
	}
	if e := checkAnswer(c, a, &rh); e != nil {
		a.Close()
		return nil, &Error{Sent: true, Err: e}
	}
	a.ReachedBackend, a.ReportedLoad = true, rh.Load
	return a, nil
}

// checkAnswer rejects what is not the backend server's own whole answer.
func checkAnswer(c *Call, a *Response, rh *platform.ResponseHeader) error {
	if rh.Encoded {
		return errors.New("the answer has an encoding that nobody asked for")
	}
	if rh.ID == "" && c.ID != "" {
		return errors.New("the answer names no request")
	}
	if a.Status < 300 && !rh.Signed {
		return errors.New("the answer is a success without a signature")
	}
	return nil
}

// Post sends a message of the node's own to another node. It is not repeated.
func (p *Pool) Post(ctx context.Context, addr, path string, body []byte) (*Response, *Error) {
	c := &Call{Method: http.MethodPost, URI: path, Host: addr, Body: Body{Data: body, Length: int64(len(body))}}
	return p.do(ctx, exchange{addr: addr, call: c, header: http.Header{}})
}
