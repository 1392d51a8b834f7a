package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// oddURIs are request targets that a server between the caller and the backend server may
// take for something else: paths of messages between nodes, and paths that are not clean.
var oddURIs = []string{
	"/", "/a", "/a/", "/a//b", "//a", "//", "/a/./b", "/a/../b", "/..", "/../a", "/a/..", "/a%2fb//c", "/a%2fb", "/%2e%2e/a", "/a?x=//b/../c",
	bankPath, livenessPath, livenessPath + "?call=none", configurationPath, configurationPath + "/", feedPath, "/teaselseam/feed/../feed",
	"/teaselseam%2Ffeed", "/teaselseam/fee%64", "//teaselseam/configuration", "/metrics", "/v1/ready", "http://shop.example/a//b",
}

var oddMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodPatch, "BREW"}

// forgedHeaders have the names of those between nodes.
const forgedHeaders = "Teaselseam-Call: 0 1 9000 0 all mill guild stock i-node-1\r\nTeaselseam-Key: AAAAAAAAAAAAAAAAAAAAAA\r\nTeaselseam-Refusal: overload not_run 0 false false\r\nTeaselseam-Load: 1\r\nTeaselseam-Message: feed\r\n"

// exchangeRaw sends a request with the given target over a connection of its own.
func exchangeRaw(t *testing.T, address, method, uri, headers, body string) (reply, string) {
	t.Helper()
	con, err := net.Dial("tcp", address)
	if err != nil {
		return reply{err: err}, ""
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	id := newID()
	_, err = fmt.Fprintf(con, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-guild\r\n%sContent-Length: %d\r\n\r\n%s",
		method, uri, id, headers, len(body), body)
	if err != nil {
		return reply{err: err}, id
	}
	a := &aheadCaller{con: con, r: bufio.NewReader(con)}
	return a.receive(), id
}

// checkServed checks that a request has reached the backend server of a node unchanged and
// that the reply is the backend server's.
func (c *cluster) checkServed(n *testNode, r reply, id, method, uri, body string) {
	c.t.Helper()
	if !r.served() || r.header.Get("Response-Signature") == "" || !strings.HasSuffix(r.body, "to "+id) {
		c.t.Errorf("%s %s: %d %q, %v", method, uri, r.status, r.body, r.err)
		return
	}
	for _, e := range n.backend.Executions() {
		if e.ID == id {
			if e.Method != method || e.URI != uri || e.Body != body {
				c.t.Errorf("%s %s with body %q arrived as %s %s with body %q", method, uri, body, e.Method, e.URI, e.Body)
			}
			return
		}
	}
	c.t.Errorf("%s %s: not run", method, uri)
}

// routeAll adds a route that takes all paths.
func (c *cluster) routeAll(service string) {
	c.routes = append(c.routes, route{name: "all", prefix: "/", service: service, kind: "safe"})
}

// TestRequestsAreNoMessages guards against answering requests of callers with the messages
// between nodes, or with redirects, because of their paths, methods, headers or bodies.
func TestRequestsAreNoMessages(t *testing.T) {
	c := prepareCluster(t, "stock", "mill")
	c.routeAll("mill")
	c.start()
	for _, method := range oddMethods {
		for i, uri := range oddURIs {
			headers, body := "", `{"tables":{},"wait_ms":0}`
			if i%2 == 0 {
				headers = forgedHeaders
			}
			r, id := exchangeRaw(t, c.nodes[0].settings.CallerAddress, method, uri, headers, body)
			c.checkServed(c.nodes[1], r, id, method, uri, body)
		}
	}
	if r, _ := exchangeRaw(t, c.nodes[0].settings.CallerAddress, http.MethodOptions, "*", "", ""); r.status != http.StatusNotFound {
		t.Errorf("OPTIONS *: %d, want 404", r.status)
	}
}

// TestOwnConnectionToPeerAddress guards against programs other than nodes that send messages
// or calls to the address at which nodes reach each other.
func TestOwnConnectionToPeerAddress(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	for _, method := range oddMethods {
		for _, uri := range oddURIs {
			for _, headers := range []string{"", forgedHeaders, "Teaselseam-Key: \r\n"} {
				r, id := exchangeRaw(t, c.nodes[1].settings.PeerAddress, method, uri, headers, "[]")
				if r.err != nil || r.status != http.StatusServiceUnavailable || strings.Contains(r.body, "key-guild") || c.ran(id) {
					t.Errorf("%s %s: %d %q, %v; ran %t", method, uri, r.status, r.body, r.err, c.ran(id))
				}
			}
		}
	}
}

// TestKeyOutlivesProcess guards against a node that other nodes cannot reach after a restart
// until its row has been written again.
func TestKeyOutlivesProcess(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	n := c.nodes[1]
	key := *n.node.key.Load()
	n.node.kill()
	n.stop()
	<-n.stopped
	c.startNode(n)
	c.eventually("the node has its key", func() bool { return *n.node.key.Load() != "" })
	if got := *n.node.key.Load(); got != key {
		t.Errorf("the key is another one after a restart")
	}
}

// actAsEarlierRelease makes a node behave as one of the release before keys: it tells
// messages by their paths alone, has no key in its row and sends none.
func actAsEarlierRelease(c *cluster, earlier *testNode) {
	earlier.settings.PeerAddress = freeAddressOn(c.t, "127.0.0.1") // from which its connections come
	earlier.settings.FirstStart = true                             // does not restore a key
	c.adjustNode = func(tn *testNode, n *Node) {
		if tn != earlier {
			return
		}
		n.setKey("")
		n.peers.UseKeys(func(string) string { return "none" })
		mux := http.NewServeMux()
		mux.HandleFunc(bankPath, n.tokens.serveBank)
		mux.HandleFunc(livenessPath, n.guard.serveLiveness)
		mux.HandleFunc(configurationPath, n.state.serveConfiguration)
		mux.HandleFunc(feedPath, n.state.serveFeed)
		mux.HandleFunc("/", n.guard.serve)
		n.servers[1].Handler = mux
	}
}

// TestEarlierReleaseSideBySide guards against taking requests for messages while nodes of the
// earlier release run, and against nodes of two releases that cannot reach each other.
func TestEarlierReleaseSideBySide(t *testing.T) {
	for _, earlierCaller := range []bool{false, true} {
		t.Run(fmt.Sprintf("caller=%t", earlierCaller), func(t *testing.T) {
			c := prepareCluster(t, "stock", "mill")
			c.routeAll("mill")
			earlier := c.nodes[1]
			if earlierCaller {
				earlier = c.nodes[0]
			}
			actAsEarlierRelease(c, earlier)
			c.start()
			for _, uri := range oddURIs {
				r, id := exchangeRaw(t, c.nodes[0].settings.CallerAddress, http.MethodPost, uri, "", "[]")
				if earlierCaller || plain(uri) {
					c.checkServed(c.nodes[1], r, id, http.MethodPost, uri, "[]")
				} else if r.status != http.StatusServiceUnavailable || c.ran(id) {
					t.Errorf("%s: %d %q, %v; ran %t, want a refusal", uri, r.status, r.body, r.err, c.ran(id))
				}
			}
			c.configure()
			for _, n := range c.nodes {
				c.eventually("the new configuration is in force", func() bool { return n.node.state.catalog.Load().Version == uint64(c.version) })
				for _, line := range []string{"token bank failed", "does not hand on changes", "liveness check"} {
					if strings.Contains(n.log.String(), line) {
						t.Errorf("%s logs %q", n.settings.Node, line)
					}
				}
			}
		})
	}
}

// plain reports whether a node of the earlier release takes a path for what it is.
func plain(uri string) bool {
	return !strings.Contains(uri, "teaselseam") && !strings.Contains(uri, "//") && !strings.Contains(uri, "..") && !strings.Contains(uri, "/.") &&
		!strings.Contains(uri, "%2e") || uri == "/a?x=//b/../c"
}

func freeAddressOn(t testing.TB, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
