package processtest

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// loader sends requests one after another on a few connections until stopped,
// and keeps every answer.
type loader struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers []answer
	errors  []error
}

func startLoad(v *vm, path, key string, workers int, headers ...string) *loader {
	l := &loader{stop: make(chan struct{})}
	for range workers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				a, err := sendWith(client, v, path, key, "load", headers...)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				if err != nil {
					l.errors = append(l.errors, err)
				}
				l.mu.Unlock()
			}
		}()
	}
	return l
}

func (l *loader) finish() ([]answer, []error) {
	close(l.stop)
	l.wg.Wait()
	return l.answers, l.errors
}

func (l *loader) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// requireAllServed fails for every request that was not answered completely.
func requireAllServed(t *testing.T, l *loader) {
	t.Helper()
	answers, errs := l.finish()
	for _, err := range errs {
		t.Errorf("request was cut off: %v", err)
	}
	for _, a := range answers {
		if a.status != http.StatusOK {
			t.Errorf("request was refused: %+v", a)
		}
	}
	if len(answers) == 0 {
		t.Error("no request was sent")
	}
}

// TestPlannedStopOfNode guards against a planned stop that cuts off or refuses
// requests, for the stopping node as guard (G11).
func TestPlannedStopOfNode(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	through1 := startLoad(f.vms[0], "/echo", key, 4)
	through3 := startLoad(f.vms[2], "/order", key, 2)
	f.eventually("load flows", func() bool { return through1.count() > 100 && through3.count() > 50 })
	f.vms[1].node.terminate(t)
	requireAllServed(t, through1)
	requireAllServed(t, through3)
}

// TestPlannedStopWithSlowRequest guards against a stop that ends before a
// request that runs through the stopping node as ingress and guard.
func TestPlannedStopWithSlowRequest(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	slow := startLoad(f.vms[1], "/order", key, 1, "X-Sample-Sleep-Ms", "3000")
	f.eventually("request runs", func() bool {
		total := 0
		for _, v := range f.vms {
			total += f.total(v)
		}
		return total > len(f.vms) // more than the requests of setUp
	})
	go func() { time.Sleep(100 * time.Millisecond); close(slow.stop) }()
	f.vms[1].node.terminate(t)
	slow.wg.Wait()
	for _, err := range slow.errors {
		t.Errorf("request was cut off: %v", err)
	}
	for _, a := range slow.answers {
		if a.status != http.StatusOK {
			t.Errorf("request was refused: %+v", a)
		}
	}
}

// drainBound is the bound of G10, "a few seconds".
const drainBound = 3 * time.Second

// TestBackendServerDrains guards against new calls to a backend server that is
// leaving, and against calls lost because of it (G10).
func TestBackendServerDrains(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	loads := []*loader{startLoad(f.vms[0], "/echo", key, 3), startLoad(f.vms[1], "/order", key, 3)}
	f.eventually("load flows", func() bool { return loads[0].count() > 100 && loads[1].count() > 100 })
	resp, err := http.Post("http://"+f.vms[1].worker+"/sample/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(drainBound)
	before := f.total(f.vms[1])
	sent := loads[0].count()
	f.eventually("load goes on", func() bool { return loads[0].count() > sent+100 })
	if after := f.total(f.vms[1]); after != before {
		t.Errorf("draining backend server got %d new calls", after-before)
	}
	requireAllServed(t, loads[0])
	requireAllServed(t, loads[1])
}

// TestRevokedKeyOnOpenConnections guards against a key that goes on working on
// connections that were open when it was revoked, with the platform up and down (G5, F2, F3).
func TestRevokedKeyOnOpenConnections(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(map[bool]string{false: "platform up", true: "platform down"}[down], func(t *testing.T) {
			f := threeNodes(t)
			key := f.setUp(testTree)
			var loads []*loader
			for _, v := range f.vms {
				loads = append(loads, startLoad(v, "/echo", key, 2))
			}
			f.setDown(down)
			f.eventually("load flows", func() bool { return loads[0].count() > 50 && loads[2].count() > 50 })
			// Without the platform the response only says that the revocation is
			// spreading.
			if _, err := f.admin(f.vms[0], http.MethodPost, "/v1/keys/revoke", map[string]string{"key": key}, nil); err != nil {
				t.Fatal(err)
			}
			revoked := time.Now()
			time.Sleep(revocationBound)
			for i, v := range f.vms {
				a, err := v.send("/echo", key, "late")
				if err != nil || a.reason != string(request.ReasonKeyRevoked) {
					t.Errorf("%s: got %+v, %v after %s", f.vms[i].name, a, err, time.Since(revoked))
				}
			}
			for _, l := range loads {
				answers, _ := l.finish()
				if last := answers[len(answers)-1]; last.status == http.StatusOK {
					t.Errorf("key still works on an open connection")
				}
			}
		})
	}
}

// revocationBound is the bound of G5 for nodes that can reach each other.
const revocationBound = 3 * time.Second
