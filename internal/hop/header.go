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

// headerPrefix begins the names of all headers between nodes.
const headerPrefix = "Teaselseam-"

// RemoveNodeHeaders removes the headers between nodes. What a caller or a backend server
// sends under their names has no meaning: a forged refusal, for example, would claim
// that a call that has run has not.
func RemoveNodeHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Headers between nodes. Callers and backend servers cannot set them.
const (
	// CallHeader holds what the caller's node has determined about a call:
	// importance, idempotent (0 or 1), ms until the deadline, ms until the latency
	// target, then the escaped route, service, workspace, caller and target, separated
	// by spaces.
	CallHeader = headerPrefix + "Call"
	// RefusalHeader marks a refusal by a node: reason, outcome, ms until the caller
	// may retry, RetryElsewhere and ReachedBackend, separated by spaces.
	RefusalHeader = headerPrefix + "Refusal"
	// downstreamHeader marks a backend server's failure that followed the failure of
	// one of its internal calls (Response.DownstreamFailed).
	downstreamHeader = headerPrefix + "Downstream"
	// askConfigHeader requests configHeader on the response.
	askConfigHeader = headerPrefix + "Ask-Config"
	// configHeader holds a ConfigFreshness: the version and the age in ms, separated
	// by a space.
	configHeader = headerPrefix + "Config"
	// eraHeader holds ConfigFreshness.Era beside configHeader.
	eraHeader = headerPrefix + "Era"
	// newestHeader holds ConfigFreshness.Newest beside configHeader.
	newestHeader = headerPrefix + "Newest-Row"
	loadHeader   = headerPrefix + "Load"  // load at the node beside the backend server
	hintsHeader  = headerPrefix + "Hints" // load of services downstream of the backend server
)

// callFields is the number of fields in CallHeader.
const callFields = 9

// encode returns the value of CallHeader. Times are relative to now.
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

// decode parses the value of CallHeader. Times are relative to now.
func (c *Call) decode(value string, now time.Time) error {
	parts := strings.Split(value, " ")
	if len(parts) != callFields {
		return fmt.Errorf("call header has a wrong number of fields: %d", len(parts))
	}
	var n [4]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(parts[i], 10, 64); err != nil {
			return fmt.Errorf("call header: %w", err)
		}
	}
	if n[0] < 0 || n[0] >= request.NumImportance {
		return fmt.Errorf("call header has unknown importance %d", n[0])
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
	c.Flow = request.FlowOf(c.Route, c.Service)
	return nil
}

// writeNodeHeaders sets the headers of a response to another node.
func (resp *Response) writeNodeHeaders(h http.Header) {
	if resp.Load != nil {
		h[loadHeader] = []string{pressure.EncodeLoad(*resp.Load)}
	}
	if len(resp.Hints) > 0 {
		h[hintsHeader] = []string{pressure.EncodeHints(resp.Hints)}
	}
	SetFreshness(h, resp.Config)
	setBackendState(h, resp.Backend)
	setWork(h, resp.Work)
	if resp.DownstreamFailed {
		h[downstreamHeader] = []string{"1"}
	}
	if resp.Refusal != nil {
		h[RefusalHeader] = []string{fmt.Sprintf("%s %s %d %t %t", resp.Refusal.Reason, resp.Refusal.Outcome,
			resp.Refusal.RetryAfter.Milliseconds(), resp.RetryElsewhere, resp.ReachedBackend)}
	}
}

// SetFreshness adds a node's configuration freshness to a response to another node, unless
// it is nil.
func SetFreshness(h http.Header, c *ConfigFreshness) {
	if c == nil {
		return
	}
	// The age is rounded up, so that it is never understated.
	h[configHeader] = []string{fmt.Sprintf("%d %d", c.Version, c.Age.Milliseconds()+1)}
	h[eraHeader] = []string{strconv.FormatUint(c.Era, 10)}
	h[newestHeader] = []string{strconv.FormatUint(c.Newest, 10)}
}

// readCallHeaders reads the headers of the response to a call.
func (resp *Response) readCallHeaders() error {
	if !isFromNode(resp.Header) {
		return errNotFromNode
	}
	return resp.readNodeHeaders()
}

// readNodeHeaders reads the headers of a response from another node and removes them.
func (resp *Response) readNodeHeaders() error {
	h := resp.Header
	if v := h.Get(loadHeader); v != "" {
		l, err := pressure.ParseLoad(v)
		if err != nil {
			return err
		}
		resp.Load = &l
	}
	if v := h.Get(hintsHeader); v != "" {
		hints, err := pressure.ParseHints(v)
		if err != nil {
			return err
		}
		resp.Hints = hints
	}
	if h.Get(configHeader) != "" {
		c, err := parseConfigFreshness(h)
		if err != nil {
			return err
		}
		resp.Config = c
	}
	state, err := readBackendState(h)
	if err != nil {
		return err
	}
	resp.Backend = state
	if resp.Work, err = parseWork(h.Get(workHeader)); err != nil {
		return err
	}
	resp.DownstreamFailed = h.Get(downstreamHeader) != ""
	v := h.Get(RefusalHeader)
	RemoveNodeHeaders(h)
	if v == "" {
		return nil
	}
	return resp.readRefusal(v)
}

// parseConfigFreshness parses the headers that SetFreshness sets. Nodes of earlier releases
// send only the first ones.
func parseConfigFreshness(h http.Header) (*ConfigFreshness, error) {
	v := h.Get(configHeader)
	version, age, _ := strings.Cut(v, " ")
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration header %q: %w", v, err)
	}
	ms, err := strconv.ParseInt(age, 10, 64)
	if err != nil || ms < 0 {
		return nil, fmt.Errorf("configuration header %q has no valid age", v)
	}
	c := &ConfigFreshness{Version: n, Age: time.Duration(ms) * time.Millisecond}
	for name, field := range map[string]*uint64{eraHeader: &c.Era, newestHeader: &c.Newest} {
		if v := h.Get(name); v != "" {
			if *field, err = strconv.ParseUint(v, 10, 64); err != nil {
				return nil, fmt.Errorf("header %s: %w", name, err)
			}
		}
	}
	return c, nil
}

func (resp *Response) readRefusal(v string) error {
	parts := strings.Split(v, " ")
	if len(parts) != 5 {
		return fmt.Errorf("refusal header %q does not have 5 fields", v)
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return fmt.Errorf("refusal header %q: %w", v, err)
	}
	resp.Refusal = &request.Refusal{
		Reason: request.Reason(parts[0]), Outcome: request.ParseOutcome(parts[1]),
		RetryAfter: time.Duration(ms) * time.Millisecond,
	}
	resp.RetryElsewhere, resp.ReachedBackend = parts[3] == "true", parts[4] == "true"
	return nil
}

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders returns a copy of the headers without hop-by-hop headers and those
// named by Connection.
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
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
