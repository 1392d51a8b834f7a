package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// nodeProcessVariable holds the settings of a node that the test binary is to run.
	nodeProcessVariable = "TEASELSEAM_TEST_NODE"
	// smallVM is the memory limit of the smallest VM of the users, in MB, and smallVMSlots the
	// number of slots of the backend server beside it.
	smallVM      = 184
	smallVMSlots = 344
	slowCallers  = 900
)

// TestNodeProcess is the node of another test, in a process of its own.
func TestNodeProcess(t *testing.T) {
	text := os.Getenv(nodeProcessVariable)
	if text == "" {
		return
	}
	var s platform.Settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	debug.SetGCPercent(40) // as teaselseamd
	debug.SetMemoryLimit(s.MemoryBytes / 2)
	n, err := New(obs.NewLogger(io.Discard, slog.LevelInfo, s.Node), &s)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// startNodeProcess starts a node in a process of its own.
func (c *cluster) startNodeProcess(n *testNode) *exec.Cmd {
	c.t.Helper()
	text, err := json.Marshal(n.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestNodeProcess$")
	cmd.Env = append(os.Environ(), nodeProcessVariable+"="+string(text))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
	return cmd
}

// peakMemory returns the largest resident set of a process so far, in MB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// metric returns a metric of a node.
func (c *cluster) metric(n *testNode, name string) float64 {
	c.t.Helper()
	resp, err := http.Get("http://" + net.JoinHostPort(n.settings.IP, itoa(n.settings.FirstPort)) + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				c.t.Fatal(err)
			}
			return v
		}
	}
	c.t.Fatalf("no metric %s", name)
	return 0
}

// endlessBackend answers every request, health checks too, without end and without reading the
// request.
func endlessBackend(t *testing.T, address, head string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	filler := strings.Repeat("x", 16<<10)
	if strings.Contains(head, "chunked") {
		filler = "4000\r\n" + filler + "\r\n"
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, head, r.Header.Get("Request-Id"))
				for err == nil {
					_, err = io.WriteString(conn, filler)
				}
			}()
		}
	}()
}

// slowCaller sends one request after the other, each on a connection of its own and with an upload
// unless that is empty, and reads the responses slowly, until stop is closed.
func slowCaller(n *testNode, upload string, stop <-chan struct{}) {
	method, path := "GET", "/stock/view/1"
	if upload != "" {
		method, path = "POST", "/stock/order/1"
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", n.settings.CallerAddress)
		if err != nil {
			continue
		}
		ended := make(chan struct{})
		go func() { // ends a read that waits
			select {
			case <-stop:
			case <-ended:
			}
			conn.Close()
		}()
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\n"+
			"Authorization: Bearer key-guild\r\nContent-Length: %d\r\n\r\n", method, path, newID(), len(upload))
		go io.WriteString(conn, upload)
		for buf := make([]byte, 16<<10); err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = conn.Read(buf)
		}
		close(ended)
	}
}

// TestMemoryOfBodies guards against a node that holds the bodies of many requests and answers at
// once until its process is ended for want of memory, with the requests of all others: 900 callers
// read slowly, a third of them with uploads of 3 MB, while the backend server answers without end.
// Many short requests go on beside them.
func TestMemoryOfBodies(t *testing.T) {
	for name, head := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"large":            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: 1000000000\r\n\r\n",
		"just held":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: 262144\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { testMemoryOfBodies(t, head) })
	}
}

func testMemoryOfBodies(t *testing.T, head string) {
	c := prepareCluster(t, "stock", "mill")
	c.slots = smallVMSlots
	c.configure()
	var pids []int
	for i, n := range c.nodes {
		n.settings.MemoryBytes = smallVM << 20
		n.settings.FirstPort = portOf(t, freeAddress(t))
		n.settings.IP = fmt.Sprintf("127.0.1.%d", i+1)
		pids = append(pids, c.startNodeProcess(n).Process.Pid)
	}
	endlessBackend(t, c.nodes[0].settings.BackendAddress, head)
	c.startBackendBehind(c.nodes[0], freeAddress(t))
	c.startBackend(c.nodes[1], "")
	c.eventually("the nodes are ready", func() bool { return c.ready(c.nodes[0]) && c.ready(c.nodes[1]) })
	c.eventually("short requests are served", func() bool {
		return c.get(c.nodes[0], "/mill/view/1", "key-guild").served() && c.get(c.nodes[1], "/mill/view/1", "key-guild").served()
	})
	stop := make(chan struct{})
	var slow sync.WaitGroup
	long := strings.Repeat("u", 3<<20)
	for i := range slowCallers {
		upload := ""
		if i%3 == 0 {
			upload = long
		}
		slow.Go(func() { slowCaller(c.nodes[i%2], upload, stop) })
	}
	var served, sent atomic.Int64
	var short sync.WaitGroup
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		short.Go(func() {
			n := c.nodes[sent.Add(1)%2]
			if r := c.get(n, "/mill/view/1", "key-guild"); r.served() {
				served.Add(1)
			}
		})
	}
	short.Wait()
	for i, n := range c.nodes {
		held, limit := c.metric(n, "teaselseam_body_bytes_peak"), bodyMemoryRatio*float64(n.settings.MemoryBytes)
		rss := peakMemory(t, pids[i])
		t.Logf("%s: %d MB of %d at most, of bodies %.1f MB of %.1f", n.settings.Node, rss, smallVM, held/(1<<20), limit/(1<<20))
		if held > limit+1<<20 {
			t.Errorf("%s has held %.0f bytes of bodies, the limit is %.0f", n.settings.Node, held, limit)
		}
		if rss > smallVM && !raceEnabled {
			t.Errorf("%s took %d MB, it has %d", n.settings.Node, rss, smallVM)
		}
	}
	t.Logf("%d of %d short requests served", served.Load(), sent.Load())
	if served.Load() < sent.Load()*95/100 {
		t.Errorf("%d of %d short requests served, want 95 in 100", served.Load(), sent.Load())
	}
	close(stop)
	slow.Wait()
	for _, n := range c.nodes {
		c.eventually("nothing is held once the callers have left", func() bool { return c.metric(n, "teaselseam_body_bytes") < 64<<10 })
	}
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
