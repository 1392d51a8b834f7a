package sidecar

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

// announceLate sends an announcement as the backend server of a node would have sent it
// earlier, and reports whether it was acknowledged.
func (c *cluster) announceLate(n *testNode, a platform.Announcement, sequence uint64) bool {
	c.t.Helper()
	method, body := http.MethodDelete, ""
	if a.State != platform.Gone {
		data, err := json.Marshal(map[string]any{
			"service": n.settings.Service, "address": n.settings.BackendAddress, "zone": "z", "version": "v1", "slots": c.slots,
			"state": a.State.String(), "coldLeftMs": 0, "seq": sequence, "born": a.Born,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		method, body = http.MethodPut, string(data)
	}
	req, err := http.NewRequest(method, "http://"+n.settings.AnnounceAddress+"/v1/instances/"+a.ID, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// restart ends the process of a node and starts the next one.
func (c *cluster) restart(n *testNode) {
	c.t.Helper()
	n.node.kill()
	n.stop()
	<-n.stopped
	c.startNode(n)
}

// TestLeavingBindsNextProcess guards against sending requests to a backend server whose leaving
// a node acknowledged that did not know it, because the node had just started without the store;
// and against one whose late heartbeat arrives before the node has read that it has left.
func TestLeavingBindsNextProcess(t *testing.T) {
	down := standin.Faults{Down: true}
	for name, script := range map[string]func(c *cluster, n *testNode, a platform.Announcement) (acknowledged time.Time){
		"gone of an unknown one": func(c *cluster, n *testNode, a platform.Announcement) time.Time {
			c.store.SetFaults(down)
			c.restart(n)
			a.State = platform.Gone
			if c.announceLate(n, a, 0) {
				t.Error("acknowledged while the store is away")
			}
			c.store.SetFaults(standin.Faults{})
			c.eventually("the announcement is acknowledged", func() bool { return c.announceLate(n, a, 0) })
			return time.Now()
		},
		"gone, then a late heartbeat": func(c *cluster, n *testNode, a platform.Announcement) time.Time {
			c.store.SetFaults(down)
			c.restart(n)
			late := a
			a.State = platform.Gone
			c.announceLate(n, a, 0)
			c.announceLate(n, late, 1_000)
			c.store.SetFaults(standin.Faults{})
			c.eventually("the announcement is acknowledged", func() bool { return c.announceLate(n, a, 0) })
			return time.Now()
		},
		"late heartbeat in the next process": func(c *cluster, n *testNode, a platform.Announcement) time.Time {
			late := a
			a.State = platform.Gone
			c.eventually("the announcement is acknowledged", func() bool { return c.announceLate(n, a, 0) })
			acknowledged := time.Now()
			c.store.SetFaults(down)
			c.restart(n)
			c.announceLate(n, late, 1_000)
			c.store.SetFaults(standin.Faults{})
			return acknowledged
		},
		"late heartbeat in the process after the next": func(c *cluster, n *testNode, a platform.Announcement) time.Time {
			c.store.SetFaults(down)
			c.restart(n)
			late := a
			a.State = platform.Gone
			c.store.SetFaults(standin.Faults{})
			c.eventually("the announcement is acknowledged", func() bool { return c.announceLate(n, a, 0) })
			acknowledged := time.Now()
			c.restart(n)
			c.announceLate(n, late, 1_000)
			return acknowledged
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "stock", "stock")
			n := c.nodes[0]
			n.backend.StopAnnouncing()
			time.Sleep(50 * time.Millisecond) // none is on its way
			a := n.node.guard.announcement()
			acknowledged := script(c, n, a)
			for _, from := range c.nodes {
				c.eventually("the nodes serve", func() bool { return c.get(from, "/stock/view/1", "key-guild").served() })
			}
			served := 0
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				for _, from := range c.nodes {
					switch r := c.get(from, "/stock/view/1", "key-guild"); {
					case r.served():
						served++
					case r.status != http.StatusServiceUnavailable: // the store was away until just now
						t.Fatalf("%+v", r)
					}
				}
			}
			if served < 20 {
				t.Errorf("only %d requests were served", served)
			}
			late := 0
			for _, e := range n.backend.Executions() {
				if e.Started.After(acknowledged.Add(200 * time.Millisecond)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d requests reached the backend server after its leaving was acknowledged", late)
			}
		})
	}
}

// TestRestartWithoutStore guards against a backend server that stays unused because the node
// beside it has started while the store was away.
func TestRestartWithoutStore(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	n := c.nodes[1]
	c.store.SetFaults(standin.Faults{Down: true})
	c.restart(n)
	time.Sleep(300 * time.Millisecond) // it hears the backend server
	c.store.SetFaults(standin.Faults{})
	c.eventually("its backend server is used again", func() bool { return c.get(c.nodes[0], "/mill/view/1", "key-guild").served() })
}
