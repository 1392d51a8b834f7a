package sidecar

import (
	"context"
	"time"
)

const (
	// leaveNotice is how long a stopping node still serves everything: callers
	// are sent elsewhere after two missed ready questions, a second apart.
	leaveNotice = 2200 * time.Millisecond
	// quiet is how long no request may be active before the node ends.
	quiet = 250 * time.Millisecond
	// endMargin is the time left before the platform kills the process.
	endMargin = 600 * time.Millisecond
	// takePart of the time to stop is how long callers' requests are still taken.
	// Some are sent until the end, since callers have nowhere else to go while most
	// nodes of a data centre stop. One taken 5.5 s after SIGTERM was cut off by the
	// end of the process.
	takePart   = 0.7
	stopPoll   = 50 * time.Millisecond
	closeAfter = 100 * time.Millisecond
)

// Connections are kept while the node stops, and each answer on them says that it is
// the last. Closing idle ones at once, as http.Server.SetKeepAlivesEnabled does, cut
// off a request that had just been read and was passed on.

// takes tells whether the node still takes requests of callers.
func (n *Node) takes() bool {
	return !n.stopping.Load() || int64(time.Since(n.began)) < n.takeUntil.Load()
}

// stop ends the node without cutting a request: it says that it is not ready,
// takes its backend server out of the fleet, serves what still comes, and closes
// once nothing is active or the time is up.
func (n *Node) stop() {
	began := time.Now()
	n.stopping.Store(true)
	n.takeUntil.Store(int64(began.Sub(n.began) + time.Duration(takePart*float64(n.settings.Bounds.StopGrace))))
	n.log.Info("node is stopping", "event", "stopping", "active", n.active.Load())
	n.member.changed()
	end := began.Add(n.settings.Bounds.StopGrace - endMargin)
	idleSince := began
	for now := began; now.Before(end); now = time.Now() {
		if n.active.Load() > 0 || n.guard.active.Load() > 0 {
			idleSince = now
		}
		if now.Sub(began) >= leaveNotice && now.Sub(idleSince) >= quiet {
			break
		}
		time.Sleep(stopPoll)
	}
	n.closing.Store(true)
	n.log.Info("node closes its listeners", "event", "closing", "active", n.active.Load(),
		"after", time.Since(began))
	ctx, cancel := context.WithTimeout(context.Background(), closeAfter)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("requests were still active at the end", "event", "closed", "for", s.name, "err", err)
			_ = s.Close() // the process ends now
		}
	}
}
