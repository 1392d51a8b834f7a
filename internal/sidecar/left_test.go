package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
)

// TestCallerLeavesWhileConnecting guards against refusing other calls for a while because a
// caller has left while a connection to the backend server was being opened.
func TestCallerLeavesWhileConnecting(t *testing.T) {
	c := newCluster(t, "stock")
	g := c.nodes[0].node.guard
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.mu.Lock()
	address, incarnation := g.server.Address, g.server.Incarnation()
	g.mu.Unlock()
	g.pool.CloseIdle(address)
	call := &hop.Call{ID: newID(), Method: http.MethodGet, URI: "/stock/view/1", Host: "shop.example", Header: http.Header{}, Idempotent: true, Deadline: time.Now().Add(time.Second)}
	if resp, _ := g.send(ctx, address, incarnation, call); resp.Refusal == nil || resp.ReachedBackend {
		t.Fatalf("%+v", resp)
	}
	if r := c.get(c.nodes[0], "/stock/view/1", "key-guild"); !r.served() {
		t.Errorf("next request: %+v", r)
	}
}
