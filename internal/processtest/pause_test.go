package processtest

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// pause is longer than the freshness bound of 8 s.
const pause = 10 * time.Second

// TestPausedNode guards against a node that was paused, does not know it, and
// serves with a key that was revoked meanwhile or a lease that lapsed (F4): the
// requests wait in its listener and run in the moment it wakes.
func TestPausedNode(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	f.awaitOrders(key)
	paused := f.vms[2]
	paused.node.signal(syscall.SIGSTOP)
	f.eventually("key is revoked", func() bool {
		status, err := f.admin(f.vms[0], http.MethodPost, "/v1/keys/revoke", map[string]string{"key": key}, nil)
		return err == nil && status < http.StatusMultipleChoices
	})
	time.Sleep(pause)
	answers := make(chan answer)
	const waiting = 10
	for range waiting {
		go func() {
			a, err := paused.send("/echo", key, "late", request.HeaderTimeout, "60000")
			if err != nil {
				a.reason = err.Error()
			}
			answers <- a
		}()
	}
	time.Sleep(500 * time.Millisecond) // the requests reach the listener
	paused.node.signal(syscall.SIGCONT)
	for range waiting {
		if a := <-answers; a.status == http.StatusOK {
			t.Errorf("node served a revoked key after a pause: %+v", a)
		}
	}
	f.eventually("node is fresh again", func() bool {
		a, err := paused.send("/echo", key, "later")
		return err == nil && a.reason == string(request.ReasonKeyRevoked)
	})
}

// TestPlatformOutage guards against traffic that stops, or settings that go
// back, while the platform is down, slow or loses its answers (F3, G12).
func TestPlatformOutage(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	f.awaitOrders(key)
	load := startLoad(f.vms[1], "/order", key, 2)
	f.setDown(true)
	var body struct{ Code string }
	status, err := f.admin(f.vms[0], http.MethodPost, "/v1/tree/edit",
		map[string]any{"base": 0, "ini": "[workspace guild]\nrate = 7\n"}, &body)
	if err == nil && status < http.StatusMultipleChoices {
		t.Errorf("edit was accepted while the platform is down: status %d", status)
	}
	time.Sleep(pause) // longer than the freshness bound
	f.setDown(false)
	f.eventually("edits are accepted again", func() bool {
		status, err := f.admin(f.vms[0], http.MethodPost, "/v1/tree/edit",
			map[string]any{"base": 0, "ini": "[workspace guild]\nrate = 9000\nburst = 9000\n"}, &body)
		return err == nil && status < http.StatusMultipleChoices
	})
	requireAllServed(t, load)
}

// TestPausedGuardRunsOnce guards against a second run when a guard is paused
// with calls on their way to it, their IDs are sent again through other nodes,
// and the guard wakes up (F4, G9).
func TestPausedGuardRunsOnce(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	f.awaitOrders(key)
	paused := f.vms[2]
	paused.node.signal(syscall.SIGSTOP)
	const requests = 30
	var ids []string
	for range requests {
		id := string(request.NewID())
		ids = append(ids, id)
		for _, v := range f.vms[:2] {
			if _, err := v.send("/order", key, "order", request.HeaderID, id, request.HeaderTimeout, "300"); err != nil {
				t.Fatal(err)
			}
		}
	}
	paused.node.signal(syscall.SIGCONT)
	f.eventually("paused node serves again", func() bool {
		a, err := paused.send("/order", key, "later")
		return err == nil && a.status == http.StatusOK
	})
	for _, id := range ids {
		_, _ = paused.send("/order", key, "order", request.HeaderID, id) // whatever the answer, see below
		if runs := f.runsEverywhere(id); runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}
