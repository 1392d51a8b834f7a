package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

// TestWholePath guards against requests or responses changed anywhere on the path: from
// the caller's node to the node beside the backend server, and back.
func TestWholePath(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	for i, from := range c.nodes {
		for _, to := range c.nodes {
			id := newID()
			r := c.send(from, http.MethodPost, "/"+to.settings.Service+"/order/x?y=1", "key-guild", "three strips", id, 2*time.Second)
			if !r.served() || r.body != "answer of i-"+to.settings.Node+" to "+id || r.header.Get("Response-Signature") == "" {
				t.Fatalf("from node %d: %+v", i, r)
			}
			runs := to.backend.Executions()
			got := runs[len(runs)-1]
			want := standin.Execution{
				ID: id, Method: http.MethodPost, URI: "/" + to.settings.Service + "/order/x?y=1", Body: "three strips",
				Host: "shop.example", Workspace: "guild", Caller: from.settings.Service, Target: "i-" + to.settings.Node,
				Deadline: got.Deadline, Started: got.Started, Completed: true,
			}
			if got != want {
				t.Errorf("ran as %+v, want %+v", got, want)
			}
			if got.Deadline <= 0 || got.Deadline > 2*time.Second {
				t.Errorf("the backend server got a deadline of %v of the caller's 2 s", got.Deadline)
			}
		}
	}
}

// TestRefusedByConfiguration guards against serving requests that the configuration does
// not allow.
func TestRefusedByConfiguration(t *testing.T) {
	c := newCluster(t, "stock")
	for _, x := range []struct {
		path, key string
		status    int
	}{
		{"/nowhere/", "key-guild", http.StatusNotFound},
		{"/stock/view/1", "", http.StatusUnauthorized},
		{"/stock/view/1", "wrong", http.StatusUnauthorized},
		{"/stock/open/1", "", http.StatusOK},
		{"/stock/view/1", "key-guild", http.StatusOK},
	} {
		if r := c.get(c.nodes[0], x.path, x.key); r.status != x.status {
			t.Errorf("%s with key %q: %d, want %d", x.path, x.key, r.status, x.status)
		}
	}
}

// TestConfigurationChanges guards against an outdated configuration that stays active
// after a key is revoked, a route removed and another one added.
func TestConfigurationChanges(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	delete(c.keys, "key-guild")
	c.keys["key-new"] = "guild"
	c.routes = append(c.routes[1:], route{name: "late", prefix: "/late/", service: "mill", kind: "safe"})
	c.configure()
	time.Sleep(300 * time.Millisecond)
	for _, n := range c.nodes {
		for _, x := range []struct {
			path, key string
			status    int
		}{
			{"/mill/view/1", "key-guild", http.StatusUnauthorized},
			{"/mill/view/1", "key-new", http.StatusOK},
			{"/late/1", "key-new", http.StatusOK},
			{"/stock/view/1", "key-new", http.StatusNotFound},
		} {
			if r := c.get(n, x.path, x.key); r.status != x.status {
				t.Errorf("%s with %s: %d, want %d", x.path, x.key, r.status, x.status)
			}
		}
	}
}

// TestHistoryForgotten guards against missing a change because the store has dropped its
// history.
func TestHistoryForgotten(t *testing.T) {
	c := newCluster(t, "stock")
	delete(c.keys, "key-guild")
	c.configure()
	c.store.TruncateHistory()
	c.eventually("the revoked key is refused", func() bool {
		return c.get(c.nodes[0], "/stock/view/1", "key-guild").status == http.StatusUnauthorized
	})
}

// TestHistoryForgottenBesideAWatch guards against refusing requests with keys because the
// store has dropped its history. The pending long watch does not report the loss, so the
// node has to learn of it by polling.
func TestHistoryForgottenBesideAWatch(t *testing.T) {
	c := newCluster(t, "stock")
	time.Sleep(500 * time.Millisecond)
	c.store.Put("another table", "row", []byte("x"))
	time.Sleep(50 * time.Millisecond) // the watch has skipped the change of the other table
	c.store.TruncateHistory()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if age := c.nodes[0].node.state.configAge(); age > maxDefinitiveAge {
			t.Fatalf("the configuration age is %v", age)
		}
	}
}

// TestKeysEndWithoutTheStore guards against a revoked key that keeps working at a node
// without connection to the store. After the bound, requests with keys are refused as not
// run, requests without a key are still served, and the node is not ready.
func TestKeysEndWithoutTheStore(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.store.SetFaults(standin.Faults{Down: true})
	began := time.Now()
	for time.Since(began) < 2*time.Second {
		if r := c.get(c.nodes[0], "/mill/view/1", "key-guild"); time.Since(began) < 1700*time.Millisecond && !r.served() {
			t.Fatalf("refused %v after the store went down: %+v", time.Since(began), r)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(5100 * time.Millisecond)))
	r := c.get(c.nodes[0], "/mill/view/1", "key-guild")
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("with a key: %+v", r)
	}
	if r := c.get(c.nodes[0], "/mill/open/1", ""); !r.served() {
		t.Errorf("without a key: %+v", r)
	}
	if c.ready(c.nodes[0]) {
		t.Error("the node reports that it is ready")
	}
	c.store.SetFaults(standin.Faults{})
	c.eventually("requests with keys are served again", func() bool {
		return c.get(c.nodes[0], "/mill/view/1", "key-guild").served()
	})
}

// TestUnsureWithoutTheStore guards against a 404 or 401 from a node whose configuration
// may be outdated and therefore lack the route or key.
func TestUnsureWithoutTheStore(t *testing.T) {
	c := newCluster(t, "stock")
	c.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(maxDefinitiveAge + 200*time.Millisecond)
	for _, x := range [][2]string{{"/nowhere/", "key-guild"}, {"/stock/view/1", "unknown"}} {
		if r := c.get(c.nodes[0], x[0], x[1]); r.status != http.StatusServiceUnavailable {
			t.Errorf("%v: %+v", x, r)
		}
	}
}

// TestSteadyKnowledge guards against a node that is temporarily not ready, or refuses
// unknown routes as stale, although the store responds. This happened when the
// configuration age was counted from the start of a long watch.
func TestSteadyKnowledge(t *testing.T) {
	c := newCluster(t, "stock")
	time.Sleep(time.Second)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if age := c.nodes[0].node.state.configAge(); age > maxDefinitiveAge {
			t.Fatalf("the configuration age is %v", age)
		}
	}
}

// TestConfirms guards against treating a response that was delayed on the network as
// current.
func TestConfirms(t *testing.T) {
	changed := []platform.Row{{}}
	for _, x := range []struct {
		u    update
		want time.Duration
	}{
		{update{sentAt: 10 * time.Second, duration: 2 * time.Second, wait: 2 * time.Second}, 12*time.Second - earlyReturnMargin},
		{update{sentAt: 10 * time.Second, duration: 9 * time.Second, wait: 2 * time.Second}, 12*time.Second - earlyReturnMargin},
		{update{sentAt: 10 * time.Second, duration: time.Millisecond, wait: 2 * time.Second}, 10 * time.Second},
		{update{sentAt: 10 * time.Second, duration: 2 * time.Second, wait: 2 * time.Second, rows: changed}, 10 * time.Second},
		{update{sentAt: 10 * time.Second, duration: time.Second, snapshot: true}, 10 * time.Second},
	} {
		if got := x.u.validAsOf(); got != x.want {
			t.Errorf("%+v is valid as of %v, want %v", x.u, got, x.want)
		}
	}
}

// TestStartWithoutTheStore guards against a node that rejects requests for good, or
// exits, because it has no configuration yet.
func TestStartWithoutTheStore(t *testing.T) {
	c := prepareCluster(t, "stock")
	c.store.SetFaults(standin.Faults{Down: true})
	c.configure()
	n := c.nodes[0]
	c.startNode(n)
	c.startBackend(n, "")
	c.eventually("the node responds", func() bool {
		return c.get(n, "/stock/view/1", "key-guild").status == http.StatusServiceUnavailable
	})
	if c.ready(n) {
		t.Error("ready without a configuration")
	}
	c.store.SetFaults(standin.Faults{})
	c.eventually("the node serves requests", func() bool { return c.get(n, "/stock/view/1", "key-guild").served() })
}

// TestDrain guards against sending requests to a backend server that is draining, or has
// gone without draining first, and against requests lost because of it.
func TestDrain(t *testing.T) {
	for _, notice := range []bool{true, false} {
		c := newCluster(t, "stock", "stock")
		leaver := c.nodes[0]
		if notice {
			leaver.backend.Drain(t.Context())
			if !leaver.backend.Acknowledged("draining") {
				t.Fatal("draining was not acknowledged")
			}
		} else {
			leaver.backend.Deregister(t.Context())
		}
		before := len(leaver.backend.Executions())
		for range 20 {
			for _, n := range c.nodes {
				if r := c.get(n, "/stock/view/1", "key-guild"); !r.served() {
					t.Fatalf("notice %v: %+v", notice, r)
				}
			}
		}
		if after := len(leaver.backend.Executions()); after != before {
			t.Errorf("notice %v: %d requests ran after the acknowledgement", notice, after-before)
		}
	}
}

// TestDrainSurvivesRestart guards against a restarted node that sends requests to a backend
// server whose draining the earlier process had acknowledged.
func TestDrainSurvivesRestart(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	leaver := c.nodes[0]
	leaver.backend.Drain(t.Context())
	leaver.node.kill()
	leaver.stop()
	<-leaver.stopped
	c.startNode(leaver)
	before := len(leaver.backend.Executions())
	c.eventually("the restarted node is ready", func() bool { return c.ready(leaver) })
	for range 20 {
		if r := c.get(leaver, "/stock/view/1", "key-guild"); !r.served() {
			t.Fatalf("%+v", r)
		}
	}
	if after := len(leaver.backend.Executions()); after != before {
		t.Errorf("%d requests ran after the acknowledgement", after-before)
	}
}

// TestDrainNeedsStore guards against acknowledging that a backend server leaves before the
// store has it: a node that is killed right after would send it requests again.
func TestDrainNeedsStore(t *testing.T) {
	for _, notice := range []bool{true, false} {
		c := newCluster(t, "stock", "stock")
		leaver := c.nodes[0]
		c.store.SetFaults(standin.Faults{Down: true})
		state := "draining"
		leave := func() { leaver.backend.Drain(t.Context()) }
		if !notice {
			state = "gone"
			leave = func() { leaver.backend.Deregister(t.Context()) }
		}
		for range 2 {
			leave()
			if leaver.backend.Acknowledged(state) {
				t.Fatalf("%s was acknowledged while the store was down", state)
			}
		}
		c.store.SetFaults(standin.Faults{})
		c.eventually(state+" is acknowledged after the store has returned", func() bool {
			leave()
			return leaver.backend.Acknowledged(state)
		})
	}
}

// TestNotRunElsewhere guards against failing a request that an overloaded backend server
// has refused as not run: another one serves it, even if it is not idempotent.
func TestNotRunElsewhere(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	shedding := c.nodes[0].backend
	shedding.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	for range 10 {
		r := c.send(c.nodes[0], http.MethodPost, "/stock/order/1", "key-guild", "x", newID(), 2*time.Second)
		if !r.served() {
			t.Fatalf("%+v", r)
		}
	}
}

// TestRejectedByAll guards against failing a request that each backend server of a small
// service has rejected once, whatever its load: at the next attempt it may pass.
func TestRejectedByAll(t *testing.T) {
	c := prepareCluster(t, "stock", "stock")
	c.adjustSettings = func(s *platform.Settings) { s.Bounds.RetryExtra = 500 }
	c.start()
	var arrivals sync.Map // number by request ID
	for _, n := range c.nodes {
		n.backend.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
			count, _ := arrivals.LoadOrStore(r.Header.Get("Request-Id"), new(atomic.Int64))
			if count.(*atomic.Int64).Add(1) > 3 {
				return false
			}
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Server-Load", "0,0,4")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	for range 5 {
		if r := c.send(c.nodes[0], http.MethodPost, "/stock/order/1", "key-guild", "x", newID(), 2*time.Second); !r.served() {
			t.Fatalf("%+v", r)
		}
	}
}

// TestLostAnswer guards against three faults after a lost response: running a request
// twice that is not idempotent, reporting it as not run, and failing an idempotent one.
func TestLostAnswer(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	var mu sync.Mutex
	lost := map[string]int{}
	for _, n := range c.nodes {
		n.backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			lost[r.Header.Get("Request-Id")]++
			first := lost[r.Header.Get("Request-Id")] == 1
			mu.Unlock()
			if first {
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	id := newID()
	r := c.send(c.nodes[0], http.MethodPost, "/stock/order/1", "key-guild", "x", id, 2*time.Second)
	if r.status != http.StatusBadGateway || r.header.Get("Retry-After") != "" {
		t.Errorf("an order: %+v", r)
	}
	mu.Lock()
	if lost[id] != 1 {
		t.Errorf("the order ran %d times", lost[id])
	}
	mu.Unlock()
	if r := c.get(c.nodes[0], "/stock/view/1", "key-guild"); !r.served() {
		t.Errorf("a view: %+v", r)
	}
}

// TestNodeStandsStill guards against requests that wait until their deadlines at a stalled
// node, which accepts them but does not respond, while another node is idle.
func TestNodeStandsStill(t *testing.T) {
	c := prepareCluster(t, "mill", "press", "stock", "press", "stock")          // both stock nodes are in the same data centre
	c.adjustSettings = func(s *platform.Settings) { s.Bounds.RetryExtra = 500 } // enough for a retry of each caller
	var stalled atomic.Bool
	c.wrapPeerHandler = func(n *testNode, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n == c.nodes[2] && stalled.Load() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})
	}
	c.start()
	c.sendMany(8, 20) // until the usual response time is known
	stalled.Store(true)
	slow, failed := c.sendMany(8, 40)
	// At most one request of each caller, until the stall is detected.
	if slow > 8 || failed > 0 {
		t.Errorf("of 320 requests, %d waited for the stalled node and %d failed", slow, failed)
	}
	if slow == 0 {
		t.Error("no request reached the stalled node, so the test shows nothing")
	}
	stalled.Store(false)
	var other string
	for _, m := range *c.nodes[0].node.state.members.Load() {
		if m.Node == c.nodes[4].settings.Node {
			other = endpointID(m)
		}
	}
	c.eventually("the node is used again", func() bool {
		c.get(c.nodes[0], "/stock/view/1", "key-guild")
		return c.nodes[0].node.balancer.hasAlternative("stock", []string{other})
	})
}

// TestSlowBackendKeepsItsCalls guards against abandoning calls that a backend server is
// still processing, because it takes many times its usual time.
func TestSlowBackendKeepsItsCalls(t *testing.T) {
	c := newCluster(t, "mill", "press", "stock", "press", "stock")
	var slow atomic.Bool
	c.nodes[2].backend.Intercept(func(http.ResponseWriter, *http.Request) bool {
		if slow.Load() {
			time.Sleep(600 * time.Millisecond)
		}
		return false
	})
	c.sendMany(8, 20)
	slow.Store(true)
	if _, failed := c.sendMany(8, 20); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	if log := c.nodes[0].log.String(); strings.Contains(log, "event=given_up") || !strings.Contains(log, "event=late") {
		t.Error("calls were abandoned, or none was slow")
	}
}

// sendMany sends idempotent requests for stock to the first node from several concurrent
// callers. It returns how many took more than 150 ms and how many were not served.
func (c *cluster) sendMany(callers, each int) (slow, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				began := time.Now()
				r := c.get(c.nodes[0], "/stock/view/1", "key-guild")
				mu.Lock()
				if time.Since(began) > 150*time.Millisecond {
					slow++
				}
				if !r.served() {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return slow, failed
}

// TestRouteTimeout guards against keeping a caller waiting beyond the route's timeout, and
// against reporting a request as not run that a backend server is still processing.
func TestRouteTimeout(t *testing.T) {
	c := prepareCluster(t, "stock")
	c.routes = append(c.routes, route{name: "short", prefix: "/short/", service: "stock", kind: "safe", timeoutMs: 300})
	c.start()
	c.nodes[0].backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		time.Sleep(time.Second)
		return false
	})
	began := time.Now()
	r := c.get(c.nodes[0], "/short/1", "key-guild")
	if took := time.Since(began); r.status != http.StatusGatewayTimeout || took > 450*time.Millisecond || took < 200*time.Millisecond {
		t.Errorf("%+v after %v", r, took)
	}
}

// TestCallerLeaves guards against a backend server that continues an idempotent request
// after its caller has disconnected, and against cancelling one that is not idempotent.
func TestCallerLeaves(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	to := c.nodes[1]
	cancelled := make(chan string, 2)
	to.backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
			cancelled <- r.URL.Path
		case <-time.After(700 * time.Millisecond):
		}
		return false
	})
	client := http.Client{Timeout: 150 * time.Millisecond}
	for _, path := range []string{"/mill/view/1", "/mill/order/1"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.nodes[0].settings.CallerAddress+path, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "shop.example"
		req.Header.Set("Request-Id", newID())
		req.Header.Set("Deadline-Ms", "2000")
		req.Header.Set("Authorization", "Bearer key-guild")
		if resp, err := client.Do(req); err == nil {
			t.Fatalf("%s was answered %d", path, resp.StatusCode)
		}
	}
	time.Sleep(time.Second)
	close(cancelled)
	var got []string
	for path := range cancelled {
		got = append(got, path)
	}
	if len(got) != 1 || got[0] != "/mill/view/1" {
		t.Errorf("cancelled at the backend server: %v", got)
	}
}

// TestPlannedStop guards against requests lost by the planned stop of a node, both at the
// node itself and at other nodes that send calls to it.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, "stock", "stock", "mill")
	stopping := c.nodes[0]
	done := make(chan struct{})
	var mu sync.Mutex
	var bad []reply
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				if n == stopping && !c.ready(n) {
					return // the platform now sends callers elsewhere
				}
				if r := c.get(n, "/stock/view/1", "key-guild"); !r.served() {
					mu.Lock()
					bad = append(bad, r)
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	stopping.stop()
	if err := <-stopping.stopped; err != nil {
		t.Errorf("the node stopped with error %v", err)
	}
	took := time.Since(began)
	time.Sleep(200 * time.Millisecond)
	close(done)
	wg.Wait()
	if len(bad) > 0 {
		t.Errorf("%d requests failed, the first with %+v", len(bad), bad[0])
	}
	if took > stopping.settings.Bounds.StopGrace {
		t.Errorf("the stop took %v", took)
	}
}

// TestStopKeepsConnections guards against closing keep-alive connections at the start of a
// stop: a request that is just arriving on one would be lost.
func TestStopKeepsConnections(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	n := c.nodes[0]
	conn, err := net.Dial("tcp", n.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	exchange := func() *http.Response {
		fmt.Fprintf(conn, "GET /stock/view/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-guild\r\n\r\n", newID())
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := exchange(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("before the stop: %+v", resp)
	}
	n.stop()
	time.Sleep(200 * time.Millisecond)
	if resp := exchange(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("while the node stops: %+v", resp)
	}
}

// TestStopWhileBusy guards against a request that is accepted late after SIGTERM, while
// callers keep sending, and then cut off by the end of the process.
func TestStopWhileBusy(t *testing.T) {
	c := prepareCluster(t, "stock", "stock")
	c.adjustSettings = func(s *platform.Settings) { s.Bounds.StopGrace = 3 * time.Second }
	c.start()
	for _, n := range c.nodes {
		n.backend.Intercept(func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return false
		})
	}
	stopping := c.nodes[0]
	var mu sync.Mutex
	var bad []reply
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				id := newID()
				r := c.send(stopping, http.MethodGet, "/stock/view/1", "key-guild", "", id, 2*time.Second)
				if errors.Is(r.err, syscall.ECONNREFUSED) {
					return
				}
				// A request that arrives during the close and was not forwarded may be retried.
				if !r.served() && r.status != http.StatusServiceUnavailable && c.ran(id) {
					mu.Lock()
					bad = append(bad, r)
					mu.Unlock()
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	stopping.stop()
	<-stopping.stopped
	wg.Wait()
	if took := time.Since(began); took > stopping.settings.Bounds.StopGrace {
		t.Errorf("the stop took %v", took)
	}
	if len(bad) > 0 {
		t.Errorf("%d requests were cut off, the first: %+v", len(bad), bad[0])
	}
}

// TestCrashingRequest guards against a request that crashes one backend server after the
// other: after two crashes no node runs it any more.
func TestCrashingRequest(t *testing.T) {
	c := newCluster(t, "stock", "stock", "stock", "stock", "mill")
	var mu sync.Mutex
	crashed := 0
	for _, n := range c.nodes[:4] {
		n.backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			if strings.Contains(r.URL.Path, "poison") {
				mu.Lock()
				crashed++
				mu.Unlock()
				n.backend.Crash()
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	for _, from := range []int{4, 0, 4, 1} { // through nodes of different services
		c.get(c.nodes[from], "/stock/view/poison", "key-guild")
		time.Sleep(300 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if crashed > 2 {
		t.Errorf("%d backend servers crashed, want 2", crashed)
	}
	if r := c.get(c.nodes[4], "/stock/view/1", "key-guild"); !r.served() {
		t.Errorf("another request: %+v", r)
	}
}

// TestOwnRowIsWrittenOnce guards against a write to the store for each announcement.
func TestOwnRowIsWrittenOnce(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	before := c.store.Calls()["/v1/rows-tx"]
	time.Sleep(time.Second) // ten announcements of each backend server
	if got := c.store.Calls()["/v1/rows-tx"] - before; got > 0 {
		t.Errorf("%d writes without a change", got)
	}
}

// TestShareOverNodes guards against a workspace that exceeds its rate by sending requests
// through several nodes.
func TestShareOverNodes(t *testing.T) {
	c := prepareCluster(t, "stock", "mill")
	c.rates["guild"] = 20
	c.start()
	time.Sleep(500 * time.Millisecond)
	served, refused := 0, 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for _, n := range c.nodes {
			switch r := c.get(n, "/stock/view/1", "key-guild"); {
			case r.served():
				served++
			case r.status == http.StatusTooManyRequests && r.header.Get("Retry-After") != "":
				refused++
			default:
				t.Fatalf("%+v", r)
			}
		}
	}
	if allowed := 2*20 + 20 + 10 + 20; served > allowed || refused == 0 {
		t.Errorf("%d served of %d allowed, %d refused", served, allowed, refused)
	}
}

// TestPeersConfirm guards against every node polling the store all the time, and against
// a node that underestimates the age of its configuration by what its peers report.
func TestPeersConfirm(t *testing.T) {
	c := newCluster(t, "stock", "mill", "desk", "spec")
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		next := c.nodes[(i+1)%len(c.nodes)].settings.Service
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.get(n, "/"+next+"/view/1", "key-guild")
				}
			}
		}()
	}
	before := c.store.Calls()["/v1/rows-feed"]
	oldest := time.Duration(0)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range c.nodes {
			oldest = max(oldest, n.node.state.configAge())
		}
	}
	calls := c.store.Calls()["/v1/rows-feed"] - before
	close(stop)
	wg.Wait()
	if oldest > maxDefinitiveAge {
		t.Errorf("the configuration age was up to %v", oldest)
	}
	// Two of the four nodes poll about every 0.7 s. Without peers, the other two would
	// also poll, at least every 1.8 s.
	if calls > 24 {
		t.Errorf("%d calls to the store in 6 s", calls)
	}
}

// TestHearPeer guards against applying the age that a peer reports to another
// configuration version, or applying it wrongly.
func TestHearPeer(t *testing.T) {
	c := newCluster(t, "stock")
	state := c.nodes[0].node.state
	version := state.catalog.Load().Version
	old := time.Duration(state.confirmedAsOf.Load())
	sentAt := old + 10*time.Second
	state.applyPeerFreshness(hop.ConfigFreshness{Version: version - 1}, sentAt)
	if got := time.Duration(state.confirmedAsOf.Load()); got >= sentAt {
		t.Error("an older version confirmed the current one")
	}
	state.applyPeerFreshness(hop.ConfigFreshness{Version: version, Age: 3 * time.Second}, sentAt)
	if got := time.Duration(state.confirmedAsOf.Load()); got != sentAt-3*time.Second {
		t.Errorf("confirmed as of %v, want %v", got, sentAt-3*time.Second)
	}
	state.applyPeerFreshness(hop.ConfigFreshness{Version: version, Age: 9 * time.Second}, sentAt)
	if got := time.Duration(state.confirmedAsOf.Load()); got != sentAt-3*time.Second {
		t.Error("an older confirmation replaced a newer one")
	}
	state.applyPeerFreshness(hop.ConfigFreshness{Version: version + 1}, sentAt+time.Hour)
	if got := time.Duration(state.confirmedAsOf.Load()); got != sentAt-3*time.Second {
		t.Error("a newer version confirmed the current one")
	}
}

// TestPeerTellsOfAChange guards against a node that keeps waiting for a pending watch
// although a peer has a newer configuration.
func TestPeerTellsOfAChange(t *testing.T) {
	c := newCluster(t, "stock")
	n := c.nodes[0].node
	before := c.store.Calls()["/v1/rows-feed"]
	n.state.applyPeerFreshness(hop.ConfigFreshness{Version: n.state.catalog.Load().Version + 1}, 0)
	c.eventually("the node polls the store", func() bool { return c.store.Calls()["/v1/rows-feed"] > before })
}

// TestLongBodies guards against truncated or changed bodies that are too long to be
// buffered, with Content-Length and chunked, at a backend server on the same VM and on
// another one.
func TestLongBodies(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	long := strings.Repeat("0123456789abcdef", 80_000) // 1.28 MB, several times hop.MaxBuffered
	for _, n := range c.nodes {
		n.backend.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
			standin.Sign(w)
			if strings.Contains(r.URL.Path, "chunks") {
				w.(http.Flusher).Flush()
			} else {
				w.Header().Set("Content-Length", strconv.Itoa(len(long)))
			}
			io.WriteString(w, long)
			return true
		})
	}
	for _, to := range c.nodes {
		for _, form := range []string{"length", "chunks"} {
			body := io.Reader(strings.NewReader(long))
			if form == "chunks" {
				body = struct{ io.Reader }{body}
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[0].settings.CallerAddress+"/"+to.settings.Service+"/order/"+form, body)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "shop.example"
			req.Header.Set("Request-Id", newID())
			req.Header.Set("Deadline-Ms", "5000")
			req.Header.Set("Authorization", "Bearer key-guild")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatalf("%s to %s: %v", form, to.settings.Service, err)
			}
			got, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || string(got) != long {
				t.Errorf("%s to %s: status %d, %d bytes, %v", form, to.settings.Service, resp.StatusCode, len(got), err)
			}
			runs := to.backend.Executions()
			if ran := runs[len(runs)-1]; ran.Body != long {
				t.Errorf("%s to %s: the backend server received %d bytes", form, to.settings.Service, len(ran.Body))
			}
		}
	}
}

// TestLongAnswerBreaksOff guards against a long response that is truncated and still looks
// complete.
func TestLongAnswerBreaksOff(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	for _, n := range c.nodes {
		n.backend.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
			standin.Sign(w)
			w.(http.Flusher).Flush() // without Content-Length
			io.WriteString(w, strings.Repeat("x", 1<<20))
			panic(http.ErrAbortHandler)
		})
	}
	for _, to := range c.nodes {
		r := c.send(c.nodes[0], http.MethodPost, "/"+to.settings.Service+"/order/1", "key-guild", "x", newID(), 3*time.Second)
		if r.err == nil && r.status == http.StatusOK {
			t.Errorf("to %s: the response looks complete after %d bytes", to.settings.Service, len(r.body))
		}
	}
}

// TestRemainingTarget guards against sending a latency target that has passed as none.
func TestRemainingTarget(t *testing.T) {
	arrived := time.Now()
	for _, x := range []struct{ target, waited, want time.Duration }{
		{0, time.Second, 0},
		{time.Second, 400 * time.Millisecond, 600 * time.Millisecond},
		{time.Second, time.Second - time.Microsecond, time.Millisecond},
		{time.Second, time.Second, -time.Millisecond},
		{time.Second, 2 * time.Second, -time.Millisecond},
	} {
		c := &hop.Call{Arrived: arrived, TargetLatency: x.target}
		if got := remainingTarget(c, arrived.Add(x.waited)); got != x.want {
			t.Errorf("target %v after %v: %v left, want %v", x.target, x.waited, got, x.want)
		}
	}
}

// TestNodeHeadersFromCaller guards against passing on headers of nodes that a caller sends.
func TestNodeHeadersFromCaller(t *testing.T) {
	c := newCluster(t, "stock")
	got := make(chan http.Header, 1)
	c.nodes[0].backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		got <- r.Header.Clone()
		return false
	})
	req, err := http.NewRequest(http.MethodGet, "http://"+c.nodes[0].settings.CallerAddress+"/stock/view/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"Request-Id": newID(), "Deadline-Ms": "2000", "Authorization": "Bearer key-guild",
		hop.CallHeader: "forged", "Teaselseam-Ask-Config": "1", "Teaselseam-Downstream": "1",
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	}
	resp.Body.Close()
	for name := range <-got {
		if strings.HasPrefix(name, "Teaselseam-") {
			t.Errorf("header %s of the caller reaches the backend server", name)
		}
	}
}
