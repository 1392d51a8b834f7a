package processtest

import (
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	testRate  = 40.0
	testBurst = 20.0
)

const shareTree = `
[defaults]
rate = 40
burst = 20

[route echo]
path = /echo
service = echo
idempotent = true

[route order]
path = /order
service = echo
idempotent = false
`

// TestRateAcrossFleet guards against a workspace that gets more than its rate
// and burst by sending through all nodes at once (G6), with the platform up and
// then down, and against refusals that are not immediate.
func TestRateAcrossFleet(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(shareTree)
	f.awaitTokens(key)
	times := f.flood(key, 4*time.Second)
	f.setDown(true)
	times = append(times, f.flood(key, 4*time.Second)...)
	checkWindows(t, times)
	if len(times) < int(testRate*4) {
		t.Errorf("only %d requests ran in 8 s at a rate of %g", len(times), testRate)
	}
}

// awaitTokens waits until the lenders lend.
func (f *fleet) awaitTokens(key string) {
	f.t.Helper()
	for _, v := range f.vms {
		f.eventually("tokens through "+v.name, func() bool {
			a, err := v.send("/echo", key, "warm up")
			return err == nil && a.status == http.StatusOK
		})
	}
}

// flood sends through all nodes as fast as they answer and returns when the
// answered requests were sent and had run: the run lies between.
func (f *fleet) flood(key string, d time.Duration) []span {
	var mu sync.Mutex
	var out []span
	var wg sync.WaitGroup
	stop := time.Now().Add(d)
	for _, v := range f.vms {
		for range 3 {
			wg.Go(func() {
				for time.Now().Before(stop) {
					sent := time.Now()
					a, err := v.send("/echo", key, "flood")
					if err != nil {
						continue
					}
					if a.status == http.StatusOK {
						mu.Lock()
						out = append(out, span{sent, time.Now()})
						mu.Unlock()
						continue
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return out
}

// span is the time between sending a request and receiving its answer.
type span struct{ sent, received time.Time }

// checkWindows checks burst + rate x window for every window between two
// requests. A request that may have run outside the window does not count.
func checkWindows(t *testing.T, spans []span) {
	t.Helper()
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	for i := range spans {
		var ends []time.Time
		for j := i; j < len(spans); j++ {
			ends = append(ends, spans[j].received)
		}
		sort.Slice(ends, func(a, b int) bool { return ends[a].Before(ends[b]) })
		for n, end := range ends {
			window := end.Sub(spans[i].sent).Seconds()
			if allowed := testBurst + testRate*window; float64(n+1) > allowed {
				t.Fatalf("%d requests ran in a window of %.3f s, allowed are %.1f", n+1, window, allowed)
			}
		}
	}
}

// TestCrashingRequest guards against a request that crashes one backend server
// after the other when its caller sends it again (F6): the third sending must be
// refused, also through another node and under another ID, while other requests
// of the workspace are served.
func TestCrashingRequest(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		f.addVM(name, "dc1", "echo")
	}
	key := f.setUp(testTree)
	crash := func(v *vm) answer {
		a, err := v.send("/order/crash", key, "poison", "X-Sample-Crash", "true")
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	f.awaitOrders(key)
	deaths := 0
	for deaths < 2 {
		a := crash(f.vms[0])
		deaths = f.deadBackends()
		// A process that died may not have been reaped when the sending before was
		// counted; the refusal is wrong only before the second death.
		if a.reason == string(request.ReasonQuarantined) && deaths < 2 {
			t.Fatalf("quarantined after %d deaths", deaths)
		}
		time.Sleep(time.Second) // the second death must come after the first has spread
	}
	for _, v := range f.vms {
		f.eventually("refused through "+v.name, func() bool {
			return crash(v).reason == string(request.ReasonQuarantined)
		})
	}
	if got := f.deadBackends(); got != 2 {
		t.Errorf("%d backend servers died, want 2", got)
	}
	f.checkEcho(f.vms[3], key, 20)
}

func (f *fleet) deadBackends() int {
	dead := 0
	for _, v := range f.vms {
		select {
		case <-v.backend.done:
			dead++
		default:
		}
	}
	return dead
}
