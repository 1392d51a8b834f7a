package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// uploads sends request bodies that are too long to be held and finds the ones of which a
// backend server has run another body than was sent.
type uploads struct {
	*cluster
	mu     sync.Mutex
	bodies map[string]string // by request ID
}

func newUploads(c *cluster) *uploads { return &uploads{cluster: c, bodies: map[string]string{}} }

// post sends a body of a size to a node, in chunks or with its length.
func (u *uploads) post(n *testNode, path string, size int, chunked bool) (id string, r reply) {
	id = newID()
	body := strings.Repeat(id+" ", size/(len(id)+1)+1)[:size]
	u.mu.Lock()
	u.bodies[id] = body
	u.mu.Unlock()
	reader := io.Reader(strings.NewReader(body))
	if chunked {
		reader = struct{ io.Reader }{reader}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress+path, reader)
	if err != nil {
		return id, reply{err: err}
	}
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer key-guild")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return id, reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// check reports the runs of a body that was not sent, and returns how often each request ran.
func (u *uploads) check() map[string]int {
	u.t.Helper()
	runs := map[string]int{}
	for _, n := range u.nodes {
		for _, e := range n.backend.Executions() {
			if want := u.bodies[e.ID]; e.Body != want {
				u.t.Errorf("%s ran with %d bytes, sent were %d", e.ID, len(e.Body), len(want))
			}
			runs[e.ID]++
		}
	}
	return runs
}

// TestUploadRefusedByNode guards against sending another node the part of a long body that is
// left once a first one has refused the call: its backend server would run that part as the
// whole. A call whose rest was not passed on is served elsewhere; another is refused truthfully.
func TestUploadRefusedByNode(t *testing.T) {
	for _, reason := range []request.Reason{request.ReasonNoBackend, request.ReasonDraining, request.ReasonOverload} {
		for _, taken := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s,taken=%t,chunked=%t", reason, taken, chunked), func(t *testing.T) {
					testUploadRefused(t, reason, taken, chunked)
				})
			}
		}
	}
}

// testUploadRefused makes the first node that gets an upload refuse it, after it has taken the
// rest of the body if taken is set.
func testUploadRefused(t *testing.T, reason request.Reason, taken, chunked bool) {
	c := prepareCluster(t, "mill", "stock", "stock", "stock", "stock", "stock") // a refusal takes a node out for a while
	var refused sync.Map
	c.wrapPeerHandler = func(_ *testNode, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, again := refused.LoadOrStore(platform.ReadRequestHeader(r.Header).ID, true); again || !hop.IsCall(r) || r.Method != http.MethodPost {
				h.ServeHTTP(w, r)
				return
			}
			if taken {
				w.WriteHeader(http.StatusContinue)
				io.Copy(io.Discard, r.Body)
			} else {
				time.Sleep(50 * time.Millisecond) // for the rest, if it is sent without being asked for
				w.Header().Set("Connection", "close")
			}
			resp := hop.Refused(reason, 0)
			resp.RetryElsewhere = true
			hop.WriteToNode(w, resp)
		})
	}
	c.start()
	u := newUploads(c)
	for i := range 3 {
		id, r := u.post(c.nodes[0], "/stock/order/1", 300_000+i*50_000, chunked)
		runs := u.check()[id]
		switch {
		case r.err != nil:
			t.Error(r.err)
		case taken && (r.status != http.StatusServiceUnavailable || runs != 0):
			t.Errorf("the rest was taken: %d %s, %d runs, want a refusal and none", r.status, r.body, runs)
		case !taken && (!r.served() || runs != 1):
			t.Errorf("the rest was not taken: %d %s, %d runs, want it served elsewhere", r.status, r.body, runs)
		}
	}
}

// TestStalledUploadIsRefusedAtOnce guards against holding a refusal until the caller has sent the
// rest of its body.
func TestStalledUploadIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.nodes[0].killBackend()
	c.eventually("the backend server is known to be down", func() bool { return !c.get(c.nodes[1], "/stock/view/1", "key-guild").served() })
	for _, framing := range []string{"Transfer-Encoding: chunked\r\n\r\n493E0\r\n", "Content-Length: 450000\r\n\r\n"} {
		conn, err := net.Dial("tcp", c.nodes[1].settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /stock/order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n"+
			"Authorization: Bearer key-guild\r\n%s%s", newID(), framing, strings.Repeat("x", 300_000))
		conn.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%.17q: got %v, %v within a second, want 503", framing, resp, err)
		}
	}
}

// TestUploadsWithBackendDown replays long uploads from all nodes while one backend server of four
// is down. It guards against running parts of bodies, and against giving up uploads that
// another backend server can take.
func TestUploadsWithBackendDown(t *testing.T) {
	c := newCluster(t, "stock", "stock", "stock", "stock", "mill", "mill")
	u := newUploads(c)
	c.nodes[0].killBackend()
	var served, sent atomic.Int64
	var wg sync.WaitGroup
	for i := range 120 {
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			id, r := u.post(c.nodes[i%len(c.nodes)], "/stock/order/1", 300_000+i*1000, i%2 == 0)
			if sent.Add(1); r.served() {
				served.Add(1)
			} else {
				t.Logf("%s: %d %s %v", id, r.status, r.body, r.err)
			}
		})
	}
	wg.Wait()
	for id, n := range u.check() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	t.Logf("%d of %d uploads served", served.Load(), sent.Load())
	if served.Load() < sent.Load()*98/100 {
		t.Errorf("%d of %d uploads served, want 98 in 100", served.Load(), sent.Load())
	}
}

// TestCutResponseToHTTP10 guards against a caller without chunks that takes the end of its
// connection for the end of a response which was cut off.
func TestCutResponseToHTTP10(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.nodes[0].backend.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "x")
		io.WriteString(w, strings.Repeat("a", 400_000))
		http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", c.nodes[1].settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /stock/view/1 HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-guild\r\n\r\n", newID())
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	data, err := io.ReadAll(conn)
	if err == nil && strings.Contains(string(data[:min(len(data), 20)]), " 200 ") {
		t.Errorf("%d bytes of a response that was cut off end in order", len(data))
	}
}

// TestEarlyLongAnswerToUpload guards against cutting off a long answer, or the upload, if a backend
// server answers before it has read the upload and reads on while its answer is streamed.
func TestEarlyLongAnswerToUpload(t *testing.T) {
	const answer, upload = 2 << 20, 1 << 20
	c := prepareCluster(t, "stock", "mill")
	c.configure()
	for _, n := range c.nodes {
		c.startNode(n)
	}
	l, err := net.Listen("tcp", c.nodes[0].settings.BackendAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan int, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				req, err := http.ReadRequest(r)
				if err != nil || req.Method != http.MethodPost {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: i-node-0\r\nContent-Length: 0\r\n\r\n")
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s",
					req.Header.Get("Request-Id"), answer, strings.Repeat("a", answer/2))
				body, _ := io.ReadAll(req.Body)
				io.WriteString(conn, strings.Repeat("a", answer/2))
				read <- len(body)
			}()
		}
	}()
	c.startBackendBehind(c.nodes[0], freeAddress(t))
	c.startBackend(c.nodes[1], "")
	c.waitReady()
	u := newUploads(c)
	for _, n := range c.nodes {
		for _, chunked := range []bool{false, true} {
			_, r := u.post(n, "/stock/order/1", upload, chunked)
			if !r.served() || len(r.body) != answer {
				t.Errorf("through %s, chunked %t: %d with %d bytes of %d, %v", n.settings.Node, chunked, r.status, len(r.body), answer, r.err)
				continue
			}
			if got := <-read; got != upload {
				t.Errorf("through %s, chunked %t: the backend server has read %d bytes of %d", n.settings.Node, chunked, got, upload)
			}
		}
	}
}
