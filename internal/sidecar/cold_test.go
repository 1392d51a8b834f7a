package sidecar

import (
	"slices"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

const (
	coldRate = 11.0 // requests per second that a cold backend server bears
	// coldAllowed is how the users judge it: in any window of a second at most 1.5 times what
	// it bears, and 8 requests more.
	coldWindow  = time.Second
	coldAllowed = 24
)

func newColdCluster(t *testing.T, cold time.Duration, services ...string) *cluster {
	t.Helper()
	c := prepareCluster(t, services...)
	c.coldRate, c.cold, c.slots = coldRate, cold, 32
	c.start()
	return c
}

// TestColdBackends guards against more requests than cold backend servers bear, several at
// once, from all nodes together, also when the nodes beside them restart meanwhile and know
// nothing, and against a cold phase that does not end.
func TestColdBackends(t *testing.T) {
	const cold = 6 * time.Second
	since := time.Now()
	c := newColdCluster(t, cold, "stock", "stock", "mill")
	row := c.nodes[1].node.state.ownRow.Load()
	if row.Member.Backend.ColdMS == 0 {
		t.Error("the row of a node does not tell that its backend server is cold")
	}
	stop := c.load("/stock/open/1", 10, c.nodes[2])
	time.Sleep(1500 * time.Millisecond)
	n := c.nodes[0]
	n.node.kill()
	n.stop()
	<-n.stopped
	c.startNode(n)
	time.Sleep(time.Until(since.Add(cold)))
	for i, n := range c.nodes[:2] {
		runs := slices.DeleteFunc(n.backend.Executions(), func(e standin.Execution) bool { return e.Started.Sub(since) >= cold })
		if got := mostOf(runs, since, coldWindow); got > coldAllowed || got < 5 {
			t.Errorf("backend server %d got %d requests in a second, allowed are %d", i, got, coldAllowed)
		}
	}
	c.eventually("a backend server runs without a limit", func() bool {
		return runsWithoutLimit(n.backend) || runsWithoutLimit(c.nodes[1].backend)
	})
	stop()
	if now := c.nodes[1].node.state.ownRow.Load(); now.revision != row.revision {
		t.Errorf("the row was written again, now %+v at %v", now.Member, now.revision)
	}
}

// coldRemaining returns how much longer the node paces its backend server as cold.
func coldRemaining(n *testNode) time.Duration {
	g := n.node.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.ColdRemaining(time.Now())
}

func runsWithoutLimit(b *standin.Backend) bool {
	return mostInWindow(b, time.Now().Add(-coldWindow), coldWindow) > 2*coldAllowed
}

// TestColdAgain guards against a backend server that becomes cold again and whose node learns
// of it too late, or not at all: by an announcement, or by the health response after the
// data centre was taken back.
func TestColdAgain(t *testing.T) {
	for _, announced := range []bool{true, false} {
		c := newColdCluster(t, 0, "stock", "mill")
		n := c.nodes[0]
		c.eventually("the node knows that its backend server is not cold", func() bool {
			return coldRemaining(n) == 0
		})
		n.backend.BecomeCold(1500*time.Millisecond, announced)
		if !announced {
			n.node.guard.expectCold()
		}
		c.eventually("the node knows that its backend server is cold", func() bool {
			return coldRemaining(n) > 0
		})
		since := time.Now()
		stop := c.load("/stock/open/1", 10, c.nodes[1])
		time.Sleep(1200 * time.Millisecond)
		if got := mostInWindow(n.backend, since, coldWindow); got > coldAllowed || got < 5 {
			t.Errorf("announced %t: %d requests in a second, allowed are %d", announced, got, coldAllowed)
		}
		c.eventually("the backend server runs without a limit", func() bool { return coldRemaining(n) == 0 })
		stop()
		if got := n.backend.HealthChecks(); got > 3 {
			t.Errorf("announced %t: %d health checks, want few", announced, got)
		}
	}
}

// TestColdAfterCrash guards against a backend server that crashes and starts again under the
// same ID, while callers send as before.
func TestColdAfterCrash(t *testing.T) {
	c := newColdCluster(t, 2*time.Second, "stock", "mill")
	n := c.nodes[0]
	c.eventually("the backend server is warm", func() bool { return coldRemaining(n) == 0 })
	stop := c.load("/stock/open/1", 10, c.nodes[1])
	time.Sleep(200 * time.Millisecond)
	n.killBackend()
	time.Sleep(300 * time.Millisecond)
	stop() // the requests that it ran are refused as the suspected cause
	stop = c.load("/stock/open/2", 10, c.nodes[1])
	defer stop()
	since := time.Now()
	c.startBackend(n, "")
	time.Sleep(1500 * time.Millisecond)
	if got := mostInWindow(n.backend, since, coldWindow); got > coldAllowed || got < 5 {
		t.Errorf("%d requests in a second after the crash, allowed are %d", got, coldAllowed)
	}
	c.eventually("the backend server runs without a limit", func() bool { return runsWithoutLimit(n.backend) })
}
