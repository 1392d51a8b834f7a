package sidecar

import (
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// TestReload guards against losing requests while settings change, against ignoring a
// changed bound or store address, and against claiming that a setting is in force that
// needs a restart.
func TestReload(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	n := c.nodes[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := c.get(n, "/stock/view/1", "key-guild"); !r.served() {
					t.Errorf("request during a change of settings: %+v", r)
				}
			}
		})
	}
	moved := httptest.NewServer(c.store)
	defer moved.Close()
	defer moved.CloseClientConnections()
	next := *n.settings
	for i := range 20 {
		next.Bounds.StopGrace = time.Duration(6+i%2) * time.Second
		next.StoreAddress = []string{strings.TrimPrefix(moved.URL, "http://"), c.address}[i%2]
		if pending := n.node.Reload(&next); len(pending) > 0 {
			t.Errorf("pending settings %v, want none", pending)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	callers.Wait()

	next.Bounds.Revoke = revokeMargin
	next.Service, next.PeerAddress = "other", freeAddress(t)
	if pending := n.node.Reload(&next); !slices.Equal(pending, []string{"peers", "service"}) {
		t.Errorf("pending settings %v, want peers and service", pending)
	}
	if status := n.node.Status(); !slices.Equal(status.PendingSettings, []string{"peers", "service"}) || status.KeysAccepted {
		t.Errorf("status has pending settings %v and keys accepted %v; want peers and service, and false by the new bound",
			status.PendingSettings, status.KeysAccepted)
	}
	n.node.Reload(n.settings)
	if !n.node.Status().KeysAccepted || len(n.node.Status().PendingSettings) > 0 {
		t.Error("the earlier settings are not in force again")
	}
}

// TestReloadStoreAddress guards against a node that goes on calling the store at its
// earlier address.
func TestReloadStoreAddress(t *testing.T) {
	c := newCluster(t, "stock")
	n := c.nodes[0]
	other := standin.NewStore()
	server := httptest.NewServer(other)
	defer server.Close()
	defer server.CloseClientConnections()
	c.routes = append(c.routes, route{name: "late", prefix: "/late/", service: "stock", kind: "safe"})
	c.configure()
	for range 100 {
		other.Put("other", "row", nil) // the moved store goes on at a higher version
	}
	other.Put("op", "config", c.store.Row("op", "config"))
	c.store.SetFaults(standin.Faults{Unresponsive: true})
	next := *n.settings
	next.StoreAddress = strings.TrimPrefix(server.URL, "http://")
	n.node.Reload(&next)
	c.eventually("the configuration at the new address is in force", func() bool { return c.get(n, "/late/1", "key-guild").served() })
}
