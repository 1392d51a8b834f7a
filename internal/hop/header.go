package hop

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Headers between nodes. Callers' requests lose them.
const (
	// CallHeader holds what the node of the caller has decided about a call:
	// importance, idempotent, remaining ms, aim ms, then the escaped route,
	// service, workspace, caller and target, separated by spaces.
	CallHeader = "Teaselseam-Call"
	// RefusalHeader marks a refusal by a node: reason, outcome, ms until the caller
	// may return, and whether another place may take the call.
	RefusalHeader = "Teaselseam-Refusal"
	// downstreamHeader marks a failure that a call of the backend server's own has
	// caused.
	downstreamHeader = "Teaselseam-Downstream"
	// askHeader asks for the configuration header on the answer.
	askHeader = "Teaselseam-Ask-Config"
	// configHeader holds a version and the age, in ms, of the knowledge that it is the
	// newest.
	configHeader = "Teaselseam-Config"
	loadHeader   = "Teaselseam-Load"  // load of the answering guard
	hintsHeader  = "Teaselseam-Hints" // load of services behind the answer
)

const callFields = 9

// encode returns the value of the call header as of now.
func (c *Call) encode(now time.Time) string {
	idempotent := "0"
	if c.Idempotent {
		idempotent = "1"
	}
	return strings.Join([]string{
		strconv.Itoa(int(c.Importance)), idempotent,
		strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 0), 10),
		strconv.FormatInt(c.TargetLatency.Milliseconds(), 10),
		url.QueryEscape(c.Route), url.QueryEscape(c.Service), url.QueryEscape(c.Workspace),
		url.QueryEscape(c.Caller), url.QueryEscape(c.Target),
	}, " ")
}

// decode reads the value of the call header.
func (c *Call) decode(value string, now time.Time) error {
	parts := strings.Split(value, " ")
	if len(parts) != callFields {
		return fmt.Errorf("call header has %d fields", len(parts))
	}
	var n [4]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(parts[i], 10, 64); err != nil {
			return fmt.Errorf("call header: %w", err)
		}
	}
	if n[0] < 0 || n[0] >= request.NumImportance {
		return fmt.Errorf("call header has importance %d", n[0])
	}
	c.Importance, c.Idempotent = request.Importance(n[0]), n[1] == 1
	c.Deadline = now.Add(time.Duration(n[2]) * time.Millisecond)
	c.TargetLatency = time.Duration(n[3]) * time.Millisecond
	for i, f := range []*string{&c.Route, &c.Service, &c.Workspace, &c.Caller, &c.Target} {
		v, err := url.QueryUnescape(parts[4+i])
		if err != nil {
			return fmt.Errorf("call header: %w", err)
		}
		*f = v
	}
	return nil
}

// writeAnswerHeaders sets the headers of an answer to another node.
func (a *Response) writeAnswerHeaders(h http.Header) {
	if a.Load != nil {
		h[loadHeader] = []string{pressure.EncodeLoad(*a.Load)}
	}
	if len(a.Hints) > 0 {
		h[hintsHeader] = []string{pressure.EncodeHints(a.Hints)}
	}
	if a.Config != nil {
		h[configHeader] = []string{fmt.Sprintf("%d %d", a.Config.Version, a.Config.Age.Milliseconds()+1)}
	}
	if a.DownstreamFailed {
		h[downstreamHeader] = []string{"1"}
	}
	if a.Refusal != nil {
		h[RefusalHeader] = []string{fmt.Sprintf("%s %s %d %t %t", a.Refusal.Reason, a.Refusal.Outcome,
			a.Refusal.RetryAfter.Milliseconds(), a.RetryElsewhere, a.ReachedBackend)}
	}
}

// readAnswerHeaders takes and removes the headers of an answer of another node.
func (a *Response) readAnswerHeaders(h http.Header) error {
	if v := h.Get(loadHeader); v != "" {
		l, err := pressure.ParseLoad(v)
		if err != nil {
			return err
		}
		a.Load = &l
	}
	if v := h.Get(hintsHeader); v != "" {
		hints, err := pressure.ParseHints(v)
		if err != nil {
			return err
		}
		a.Hints = hints
	}
	if v := h.Get(configHeader); v != "" {
		c, err := parseConfig(v)
		if err != nil {
			return err
		}
		a.Config = c
	}
	a.DownstreamFailed = h.Get(downstreamHeader) != ""
	v := h.Get(RefusalHeader)
	delete(h, configHeader)
	delete(h, downstreamHeader)
	delete(h, loadHeader)
	delete(h, hintsHeader)
	delete(h, RefusalHeader)
	if v == "" {
		return nil
	}
	return a.readRefusal(v)
}

func parseConfig(v string) (*ConfigFreshness, error) {
	version, age, _ := strings.Cut(v, " ")
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration header %q: %w", v, err)
	}
	ms, err := strconv.ParseInt(age, 10, 64)
	if err != nil || ms < 0 {
		return nil, fmt.Errorf("configuration header %q has no age", v)
	}
	return &ConfigFreshness{Version: n, Age: time.Duration(ms) * time.Millisecond}, nil
}

func (a *Response) readRefusal(v string) error {
	parts := strings.Split(v, " ")
	if len(parts) != 5 {
		return fmt.Errorf("refusal header %q", v)
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return fmt.Errorf("refusal header %q: %w", v, err)
	}
	a.Refusal = &request.Refusal{
		Reason: request.Reason(parts[0]), Outcome: request.ParseOutcome(parts[1]),
		RetryAfter: time.Duration(ms) * time.Millisecond,
	}
	a.RetryElsewhere, a.ReachedBackend = parts[3] == "true", parts[4] == "true"
	return nil
}

// singleHop are the headers that concern one connection.
var singleHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders returns a copy of the headers without those that concern only one
// connection.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range singleHop {
		delete(out, name)
	}
	return out
}
