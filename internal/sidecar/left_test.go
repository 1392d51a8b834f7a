package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/presence"
	"github.com/teaselseam/teaselseam/internal/standin"
)

// busyListener stands for a busy node: connections are accepted after acceptDelay, and the
// read by which the server watches a running request's connection begins after watchDelay.
type busyListener struct {
	net.Listener
	acceptDelay, watchDelay time.Duration
}

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.acceptDelay)
	return &busyConn{c, l.watchDelay}, nil
}

type busyConn struct {
	net.Conn
	watchDelay time.Duration
}

func (c *busyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *busyConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		time.Sleep(c.watchDelay)
	}
	return c.Conn.Read(p)
}

// sendAndLeave sends a request and closes the connection after a time.
func (c *cluster) sendAndLeave(n *testNode, method, path string, after time.Duration) (id string) {
	c.t.Helper()
	con, err := net.Dial("tcp", n.settings.CallerAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	id = newID()
	if _, err := fmt.Fprintf(con, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-guild\r\nContent-Length: 0\r\n\r\n",
		method, path, id); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(after)
	con.Close()
	return id
}

// TestRequestReadAfterCallerLeft guards against sending a request to a backend server that a
// busy node, beside the caller or the backend server, has read only after its caller had left.
func TestRequestReadAfterCallerLeft(t *testing.T) {
	for _, busy := range []string{"callers", "peers"} {
		t.Run(busy, func(t *testing.T) {
			c := prepareCluster(t, "stock", "mill")
			wrap := func(_ *testNode, l net.Listener) net.Listener { return busyListener{l, 40 * time.Millisecond, 0} }
			if busy == "callers" {
				c.wrapCallerListener = wrap
			} else {
				c.wrapPeerListener = wrap
			}
			c.start()
			ran := 0
			to := map[string]string{"callers": "/stock", "peers": "/mill"}[busy]
			for i := range 10 {
				method, path := http.MethodGet, to+"/view/1"
				if i%2 == 0 {
					method, path = http.MethodPost, to+"/order/1"
				}
				id := c.sendAndLeave(c.nodes[0], method, path, 10*time.Millisecond)
				time.Sleep(120 * time.Millisecond)
				if c.ran(id) {
					ran++
				}
			}
			if ran > 0 {
				t.Errorf("%d of 10 requests reached the backend server after their callers had left", ran)
			}
		})
	}
}

// TestWaitingCallAfterCallerLeft guards against sending a call that got a slot to the backend
// server although its caller left while it waited, which the busy node has not noticed yet.
func TestWaitingCallAfterCallerLeft(t *testing.T) {
	c := prepareCluster(t, "stock")
	c.slots = 1
	c.wrapCallerListener = func(_ *testNode, l net.Listener) net.Listener { return busyListener{l, 0, 600 * time.Millisecond} }
	c.start()
	c.nodes[0].backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "long") {
			time.Sleep(200 * time.Millisecond)
		}
		return false
	})
	first := make(chan reply, 1)
	go func() { first <- c.get(c.nodes[0], "/stock/view/long", "key-guild") }()
	time.Sleep(50 * time.Millisecond)
	left := []string{
		c.sendAndLeave(c.nodes[0], http.MethodGet, "/stock/view/1", 10*time.Millisecond),
		c.sendAndLeave(c.nodes[0], http.MethodPost, "/stock/order/1", 10*time.Millisecond),
	}
	if r := <-first; !r.served() {
		t.Fatalf("%+v", r)
	}
	time.Sleep(150 * time.Millisecond)
	for _, id := range left {
		if c.ran(id) {
			t.Errorf("request %s reached the backend server after its caller had left", id)
		}
	}
}

// TestLongResponseAfterCallerLeft guards against going on with an idempotent request whose
// response is being streamed when its caller leaves.
func TestLongResponseAfterCallerLeft(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	ended := make(chan bool, 1)
	for _, n := range c.nodes {
		n.backend.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
			standin.Sign(w)
			w.Header().Set("Content-Length", fmt.Sprint(4*hop.MaxBufferedBody))
			io.WriteString(w, strings.Repeat("x", 2*hop.MaxBufferedBody))
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				ended <- true
			case <-time.After(time.Second):
				ended <- false
			}
			return true
		})
	}
	for _, to := range []string{"stock", "mill"} {
		c.sendAndLeave(c.nodes[0], http.MethodGet, "/"+to+"/view/1", 100*time.Millisecond)
		if !<-ended {
			t.Errorf("the backend server of %s goes on with the request", to)
		}
	}
}

// TestUnreadBodyAfterCallerLeft guards against going on with an idempotent request whose
// caller leaves while the backend server does not read the rest of its body, so that the node
// does not read from the caller either.
func TestUnreadBodyAfterCallerLeft(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	const size = 32 << 20 // beyond what sockets buffer
	ended := make(chan bool, 1)
	c.serveWithoutReading(ended)
	con, err := net.Dial("tcp", c.nodes[0].settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(con, "PUT /stock/view/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-guild\r\nTransfer-Encoding: chunked\r\n\r\n", newID())
	con.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	chunk := strings.Repeat("x", 64<<10)
	for range size / len(chunk) {
		if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			break // nobody reads on
		}
	}
	con.(*net.TCPConn).SetLinger(0) // otherwise the end stands behind what is not read
	con.Close()
	if !<-ended {
		t.Error("the connection to the backend server stays open")
	}
}

// serveWithoutReading replaces the backend server of the first node by one that reads the
// beginning of a request and nothing more. It sends whether the connection was closed within
// a second after it was full.
func (c *cluster) serveWithoutReading(ended chan<- bool) {
	c.t.Helper()
	n := c.nodes[0]
	n.killBackend()
	var l net.Listener
	c.eventually("the address of the backend server is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", n.settings.BackendAddress)
		return err == nil
	})
	c.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			con, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				head := make([]byte, 64)
				if _, err := io.ReadFull(con, head); err != nil || !strings.HasPrefix(string(head), "PUT") {
					io.WriteString(con, "HTTP/1.1 200 OK\r\nInstance-Id: "+"i-"+n.settings.Node+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					return
				}
				raw, err := con.(syscall.Conn).SyscallConn()
				if err != nil {
					ended <- false
					return
				}
				for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					if presence.Closed(raw) {
						ended <- true
						return
					}
				}
				ended <- false
			}()
		}
	}()
}

// TestHalfClosedCaller guards against an empty success for a caller that has closed its side of
// the connection and still reads.
func TestHalfClosedCaller(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	for _, n := range c.nodes {
		n.backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			return true
		})
	}
	for _, to := range []string{"stock", "mill"} {
		for _, ahead := range []int{0, 1} {
			a := c.dialAhead(c.nodes[0])
			for range 1 + ahead {
				a.send("/"+to+"/view/1", 3*time.Second)
			}
			a.con.(*net.TCPConn).CloseWrite()
			if r := a.receive(); r.err == nil && r.status < 500 {
				t.Errorf("%s, %d requests ahead: %+v", to, ahead, r)
			}
		}
	}
}

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

// TestInternalCallAfterCallerLeft guards against taking an internal call that its backend
// server has given up for a failure of the service behind, after which the requests that fail
// meanwhile are not retried.
func TestInternalCallAfterCallerLeft(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	for _, n := range c.nodes {
		n.backend.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		})
	}
	for _, to := range []string{"stock", "mill"} {
		con, err := net.Dial("tcp", c.nodes[0].settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(con, "GET /%s/open/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", to, newID())
		time.Sleep(100 * time.Millisecond)
		con.Close()
		time.Sleep(100 * time.Millisecond)
		if c.nodes[0].node.guard.lastCallFailure.Load() != 0 {
			t.Errorf("a call to %s that was given up counts as failed", to)
		}
	}
}
