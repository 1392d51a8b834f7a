package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
)

const (
	// probeTimeout bounds the small call that tells a silent connection from a
	// slow backend server.
	probeTimeout = 500 * time.Millisecond
	// outlierFactor times the typical service time is how long a call must have
	// taken before its connection is suspected: a slow backend server must not
	// get its calls twice.
	outlierFactor = 10
)

// silenceRule says when a connection without a byte of an answer is suspected.
type silenceRule struct {
	after   time.Duration
	limiter Limiter
}

func (g *Guard) silenceRule(c *call.Call) silenceRule {
	return silenceRule{
		after:   g.control.Snapshot().Settings.Service(c.Service).ProgressTimeout,
		limiter: g.parts.Limiter,
	}
}

// applies reports whether a call that took this long is far from typical.
func (r silenceRule) applies() bool { return r.after > outlierFactor*r.limiter.ServiceTime() }

// answersProbe makes a small call over a new connection. Any answer shows that
// the backend server serves new connections.
func (a *announced) answersProbe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext, DisableKeepAlives: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+a.Address+"/", nil)
	if err != nil {
		return false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
