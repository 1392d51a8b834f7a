package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// TestNoSocketLeft guards against requests that wait unread or until their deadline because
// the calls to a slow service use up the sockets of the node, and against taking that for a
// fault of the nodes and backend servers that cannot be reached.
func TestNoSocketLeft(t *testing.T) {
	c := prepareCluster(t, "stock", "mill")
	c.slots = 200
	c.adjustSettings = func(s *platform.Settings) {
		if s.Node == "node-0" {
			s.Sockets = 60
		}
	}
	c.start()
	c.nodes[1].backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
		case <-time.After(1500 * time.Millisecond):
		}
		return false
	})
	const callers = 50 // each has a socket, and each call another one
	type result struct {
		reply
		took time.Duration
	}
	results := make(chan result, callers)
	for range callers {
		time.Sleep(5 * time.Millisecond)
		go func() {
			began := time.Now()
			r := c.send(c.nodes[0], http.MethodGet, "/mill/view/slow", "key-guild", "", newID(), 4*time.Second)
			results <- result{r, time.Since(began)}
		}()
	}
	served, refused := 0, 0
	for range callers {
		switch r := <-results; {
		case r.served():
			served++
		case r.status == http.StatusServiceUnavailable && r.body == "overload" && r.header.Get("Retry-After") != "" && r.took < 500*time.Millisecond:
			refused++
		default:
			t.Errorf("%+v after %v", r.reply, r.took)
		}
	}
	if served < 15 || refused < 10 {
		t.Errorf("%d served and %d refused, want both", served, refused)
	}
	if used := c.nodes[0].node.sockets.Used(); used > 60 {
		t.Errorf("%d sockets are open", used)
	}
	c.nodes[1].backend.Intercept(func(http.ResponseWriter, *http.Request) bool { return false })
	for _, to := range []string{"stock", "mill"} {
		for range 20 {
			if r := c.get(c.nodes[0], "/"+to+"/view/1", "key-guild"); !r.served() {
				t.Fatalf("%s afterwards: %+v", to, r)
			}
		}
	}
}

// TestScarceSocketsFreeIdleConnections guards against the idle connections that other nodes
// keep after a burst using up the sockets of the node to which they lead.
func TestScarceSocketsFreeIdleConnections(t *testing.T) {
	c := prepareCluster(t, "stock", "mill")
	c.slots = 200
	const limit = 100
	c.adjustSettings = func(s *platform.Settings) {
		if s.Node == "node-1" {
			s.Sockets = limit
		}
	}
	c.start()
	c.nodes[1].backend.Intercept(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return false
	})
	const calls = 42 // each has a connection to the node and one to its backend server
	replies := make(chan reply, calls)
	for range calls {
		go func() { replies <- c.get(c.nodes[0], "/mill/view/1", "key-guild") }()
	}
	for range calls {
		if r := <-replies; !r.served() {
			t.Errorf("%+v", r)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if used := c.nodes[1].node.sockets.Used(); used > limit*3/4 {
		t.Errorf("%d of %d sockets are open after the burst", used, limit)
	}
}
