package call

import (
	"net/http"
	"strings"

	"github.com/teaselseam/teaselseam/internal/request"
)

// hopByHop are headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", // each hop reads the whole body before it sends the call on
}

// isOwn reports a name that belongs to teaselseam. Servers that take headers as
// environment variables cannot tell "_" from "-", so a caller could otherwise
// pass off a Teaselseam_Workspace as the node's.
func isOwn(name string) bool {
	const last = len(request.Prefix) - 1
	if len(name) <= last || name[last] != '-' && name[last] != '_' {
		return false
	}
	return strings.EqualFold(name[:last], request.Prefix[:last])
}

// WithoutOwn returns a copy of h without teaselseam's headers and without
// hop-by-hop headers.
func WithoutOwn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !isOwn(name) {
			out[name] = values
		}
	}
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
