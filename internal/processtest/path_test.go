package processtest

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/teaselseam/teaselseam/internal/request"
)

const testTree = `
[defaults]
rate = 10000
burst = 10000

[route echo]
path = /echo
service = echo
idempotent = true

[route order]
path = /order
service = echo
idempotent = false
`

// setUp writes the tree, issues a key and waits until every node serves it.
func (f *fleet) setUp(tree string) (key string) {
	f.t.Helper()
	first := f.vms[0]
	f.eventually("tree is accepted", func() bool {
		status, err := f.admin(first, http.MethodPost, "/v1/tree/edit", map[string]any{"base": 0, "ini": tree}, nil)
		return err == nil && status == http.StatusOK
	})
	var issued struct{ Key string }
	f.eventually("key is issued", func() bool {
		status, err := f.admin(first, http.MethodPost, "/v1/keys", map[string]string{"workspace": "guild"}, &issued)
		return err == nil && status == http.StatusOK
	})
	f.eventually("every node knows every backend server", f.allKnown)
	for _, v := range f.vms {
		f.eventually("requests through "+v.name, func() bool {
			a, err := v.send("/echo", issued.Key, "warm up")
			return err == nil && a.status == http.StatusOK
		})
	}
	return issued.Key
}

func threeNodes(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addVM("n1", "dc1", "echo")
	f.addVM("n2", "dc1", "echo")
	f.addVM("n3", "dc2", "echo")
	return f
}

// checkEcho sends requests through a node and compares every answer byte for byte.
func (f *fleet) checkEcho(v *vm, key string, count int) {
	f.t.Helper()
	for i := range count {
		id := string(request.NewID())
		body := fmt.Sprintf("body %d for %s", i, id)
		a, err := v.send("/echo/x?i=1", key, body, request.HeaderID, id)
		want := fmt.Sprintf("echo POST /echo/x?i=1 %s\n%s", id, body)
		if err != nil || a.status != http.StatusOK || a.body != want || a.id != id {
			f.t.Fatalf("request %s through %s: got %+v, %v, want body %q", id, v.name, a, err, want)
		}
	}
}

// TestWholePath guards the path of a request through separate processes: a
// node killed, a backend server killed, a key revoked.
func TestWholePath(t *testing.T) {
	f := threeNodes(t)
	key := f.setUp(testTree)
	for _, v := range f.vms {
		f.checkEcho(v, key, 20)
	}

	f.vms[1].node.kill()
	f.checkEcho(f.vms[0], key, 20)
	f.checkEcho(f.vms[2], key, 20)

	f.vms[2].backend.kill()
	f.checkEcho(f.vms[0], key, 20)
	f.checkEcho(f.vms[2], key, 20)

	status, err := f.admin(f.vms[0], http.MethodPost, "/v1/keys/revoke", map[string]string{"key": key}, nil)
	if err != nil || status != http.StatusOK {
		t.Fatalf("revoke: status %d, %v", status, err)
	}
	for _, v := range []*vm{f.vms[0], f.vms[2]} {
		f.eventually("key is refused by "+v.name, func() bool {
			a, err := v.send("/echo", key, "late")
			return err == nil && a.status == http.StatusUnauthorized && a.reason == string(request.ReasonKeyRevoked)
		})
	}
}
