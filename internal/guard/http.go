package guard

import (
	"net/http"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

// maxPeerBody is the largest request body taken from a peer, in bytes. The
// ingress has applied the service's own limit before.
const maxPeerBody = 64 << 20

// ServeHTTP serves calls forwarded by other nodes.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, call.PathPrefix+"/") {
		http.NotFound(w, r)
		return
	}
	c, err := call.DecodeRequest(r, time.Now(), maxPeerBody)
	if err != nil {
		g.log.Warn("forwarded call rejected", "step", "decode", "peer", r.RemoteAddr, "error", err)
		resp := call.Refused(request.Refuse(request.ReasonBadRequest, 0))
		call.WriteResponse(w, "", r.Header.Get(request.HeaderAttempt), resp)
		return
	}
	call.WriteResponse(w, c.ID, c.Attempt, g.Serve(r.Context(), c))
}
