package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
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

// silenceWatch looks for silence on the connection of one request.
type silenceWatch struct {
	rule   silenceRule
	trace  *sendTrace
	probe  func() bool
	onLost func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	lost    bool
}

// start calls onLost at most once, while the watch is not stopped: when no byte
// was read for the rule's time although the backend server answers a probe.
func (w *silenceWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.rule.after, w.check)
}

func (w *silenceWatch) check() {
	idle := w.trace.idle(time.Now())
	if idle < w.rule.after {
		w.again(w.rule.after - idle)
		return
	}
	if !w.rule.applies() || !w.probe() {
		w.again(w.rule.after)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.lost = true
		w.onLost()
	}
}

func (w *silenceWatch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// stop ends the watch and reports whether the connection was found silent.
func (w *silenceWatch) stop() (lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.lost
}

// applies reports whether a call that took this long is far from typical.
func (r silenceRule) applies() bool { return r.after > outlierFactor*r.limiter.ServiceTime() }

// answersProbe makes a small call over a new connection. Any answer shows that
// the backend server serves new connections.
func (a *announced) answersProbe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialer := &net.Dialer{Timeout: probeTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
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
