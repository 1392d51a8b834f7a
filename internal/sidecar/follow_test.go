package sidecar

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

var (
	fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
	// sameValues are the fields by which an engineer recognizes the case; times and
	// names differ from run to run.
	sameValues = []string{"level", "msg", "event", "status", "outcome", "reason", "allowed", "sent", "places", "rate", "members"}
)

// follow returns the lines about a request of all nodes in order of time, as
// "teaselseam follow" prints them.
func (c *cluster) follow(id string) []string {
	var out []string
	for _, n := range c.nodes {
		for line := range strings.Lines(n.log.String()) {
			if strings.Contains(line, " id="+id) {
				out = append(out, strings.TrimSpace(line))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return strings.Compare(fields(a)["time"], fields(b)["time"]) })
	return out
}

func fields(line string) map[string]string {
	out := map[string]string{}
	for _, m := range fieldPattern.FindAllStringSubmatch(line, -1) {
		out[m[1]] = m[2]
	}
	return out
}

// sameAsPage compares the lines of a replayed failure with those that the
// operations page shows under a heading: the same events with the same fields. Lines of
// several nodes may bear the same millisecond, so their order is not compared.
func sameAsPage(t *testing.T, heading string, got []string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(data), "### "+heading+"\n")
	if !found {
		t.Fatalf("the operations page has no heading %q; the replay logs\n%s", heading, strings.Join(got, "\n"))
	}
	section, _, _ = strings.Cut(section, "\n##")
	var want []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "    time=") && strings.Contains(line, " id=") {
			want = append(want, strings.TrimSpace(line))
		}
	}
	if len(want) != len(got) || len(got) == 0 {
		t.Fatalf("the page shows %d lines and the replay logs %d:\n%s", len(want), len(got), strings.Join(got, "\n"))
	}
	byEvent := func(a, b string) int { return strings.Compare(fields(a)["event"], fields(b)["event"]) }
	slices.SortFunc(want, byEvent)
	slices.SortFunc(got, byEvent)
	for i := range got {
		compareLines(t, want[i], got[i])
	}
}

func compareLines(t *testing.T, page, logged string) {
	t.Helper()
	p, l := fields(page), fields(logged)
	for name, value := range l {
		if _, ok := p[name]; !ok || slices.Contains(sameValues, name) && p[name] != value {
			t.Errorf("field %s=%s differs from the page:\npage:   %s\nlogged: %s", name, value, page, logged)
		}
	}
	for name := range p {
		if _, ok := l[name]; !ok {
			t.Errorf("the page has field %s, which is not logged:\npage:   %s\nlogged: %s", name, page, logged)
		}
	}
}

// TestFollowOverShare guards against a refusal below a workspace's rate whose cause
// does not show in the log: one of two nodes is gone, and its part of the rate.
func TestFollowOverShare(t *testing.T) {
	c := prepareCluster(t, "stock", "stock")
	c.rates["guild"] = 20
	c.start()
	c.nodes[1].node.kill()
	pace := time.NewTicker(time.Second / 18)
	defer pace.Stop()
	for i := range 150 {
		id := fmt.Sprint("share", i)
		r := c.send(c.nodes[0], http.MethodGet, "/stock/view/1", "key-guild", "", id+"x", 2*time.Second)
		if r.status == http.StatusTooManyRequests {
			sameAsPage(t, "Refused below its workspace's rate", c.follow(id+"x"))
			return
		}
		<-pace.C
	}
	t.Error("nothing was refused")
}

// TestFollowLate guards against a late answer that leaves no trace.
func TestFollowLate(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.nodes[1].backend.Intercept(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return false
	})
	id := newID()
	if r := c.send(c.nodes[0], http.MethodGet, "/mill/view/1", "key-guild", "", id, 2*time.Second); !r.served() {
		t.Fatalf("%+v", r)
	}
	sameAsPage(t, "Answered late", c.follow(id))
}

// TestFollowMayHaveRun guards against a failed order of which the log does not tell
// where it was lost.
func TestFollowMayHaveRun(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.nodes[1].backend.Intercept(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	id := newID()
	if r := c.send(c.nodes[0], http.MethodPost, "/mill/order/1", "key-guild", "x", id, 2*time.Second); r.status != http.StatusBadGateway {
		t.Fatalf("%+v", r)
	}
	sameAsPage(t, "Failed after it may have run", c.follow(id))
}

// TestFollowRepeat guards against a repeat of which the log does not tell why.
func TestFollowRepeat(t *testing.T) {
	c := newCluster(t, "stock", "mill", "mill")
	var shed atomic.Bool
	for _, n := range c.nodes[1:] {
		n.backend.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
			if shed.Swap(true) {
				return false
			}
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	id := newID()
	if r := c.send(c.nodes[0], http.MethodGet, "/mill/view/1", "key-guild", "", id, 2*time.Second); !r.served() {
		t.Fatalf("%+v", r)
	}
	sameAsPage(t, "Sent to a second backend server", c.follow(id))
}
