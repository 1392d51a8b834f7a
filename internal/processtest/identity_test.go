package processtest

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

const chainTree = testTree + `
[route deep]
path = /deep
service = deep
idempotent = true

[route private]
path = /private
service = deep
workspaces = other
`

// chain is a fleet in which echo calls deep.
func chain(t *testing.T) (f *fleet, key string) {
	t.Helper()
	f = newFleet(t)
	f.addVM("n1", "dc1", "echo")
	f.addVM("n2", "dc1", "deep")
	f.addVM("n3", "dc2", "deep")
	return f, f.setUp(chainTree)
}

// TestKeyStaysAway guards against a key, its digest or a node header reaching a
// backend server, directly or through a nested call (G4), and against a caller
// who forges the headers between nodes.
func TestKeyStaysAway(t *testing.T) {
	f, key := chain(t)
	forged := []string{
		request.HeaderWorkspace, "other", request.HeaderDepth, "5", request.HeaderBudget, "99",
		request.HeaderAttempt, "forged", "X-Mine", "kept",
	}
	direct, err := f.vms[0].send("/echo", key, "", append(forged, "X-Sample-Dump", "true")...)
	if err != nil {
		t.Fatal(err)
	}
	nested, err := f.vms[0].send("/echo", key, "", append(forged, "X-Sample-Next", "/deep", "Next-X-Sample-Dump", "true")...)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range []answer{direct, nested} {
		if strings.Contains(a.body, key) {
			t.Errorf("backend server saw the key: %s", a.body)
		}
		var h http.Header
		if err := json.Unmarshal([]byte(a.body), &h); err != nil {
			t.Fatalf("%v in %+v", err, a)
		}
		if got := h.Get(request.HeaderWorkspace); got != "guild" {
			t.Errorf("workspace at the backend server is %q, want guild", got)
		}
		for _, name := range []string{request.HeaderKeyDigest, request.HeaderBudget, request.HeaderAttempt, request.HeaderDepth} {
			if h.Get(name) != "" {
				t.Errorf("backend server saw %s: %s", name, h.Get(name))
			}
		}
	}
	if !strings.Contains(direct.body, "kept") {
		t.Errorf("header of the caller was lost: %s", direct.body)
	}
	for _, v := range f.vms {
		if strings.Contains(v.node.log.String(), key) {
			t.Errorf("log of %s contains the key", v.name)
		}
	}
}

// TestWorkspaceOnly guards against a request that runs for a workspace other
// than its key's, or a nested call that claims a token it does not have (G3).
func TestWorkspaceOnly(t *testing.T) {
	f, key := chain(t)
	cases := []struct {
		name, path, key string
		headers         []string
		reason          request.Reason
	}{
		{"route of another workspace", "/private", key, nil, request.ReasonRouteForbidden},
		{"no key", "/echo", "", nil, request.ReasonUnknownKey},
		{"wrong key", "/echo", "tsk_wrong", nil, request.ReasonUnknownKey},
		{"invented call token", "/echo", key, []string{request.HeaderCall, "AAAAAAAA"}, request.ReasonUnknownKey},
		{"unknown route", "/nowhere", key, nil, request.ReasonUnknownRoute},
		{"malformed importance", "/echo", key, []string{request.HeaderImportance, "huge"}, request.ReasonBadRequest},
		{"malformed timeout", "/echo", key, []string{request.HeaderTimeout, "-1"}, request.ReasonBadRequest},
		{"malformed request ID", "/echo", key, []string{request.HeaderID, strings.Repeat("x", 200)}, request.ReasonBadRequest},
		{"undated ID for a request that may not be repeated", "/order", key, []string{request.HeaderID, "order-1"}, request.ReasonIDNotV7},
	}
	for _, c := range cases {
		a, err := f.vms[0].send(c.path, c.key, "", c.headers...)
		if err != nil || a.reason != string(c.reason) || a.outcome != request.NotRun.String() {
			t.Errorf("%s: got %+v, %v, want %s", c.name, a, err, c.reason)
		}
	}
	a, err := f.vms[0].send("/echo", key, strings.Repeat("x", 2<<20))
	if err == nil && a.reason != string(request.ReasonBodyTooLarge) {
		t.Errorf("body over the limit: got %+v", a)
	}
}

// TestOnlyNodesReachGuards guards against a caller who speaks as a node on the
// peer address.
func TestOnlyNodesReachGuards(t *testing.T) {
	f, _ := chain(t)
	insecure := &tls.Config{InsecureSkipVerify: true}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: insecure}}
	resp, err := client.Post("https://"+f.vms[1].peer+call.PathPrefix+"/deep", "", nil)
	if err == nil {
		resp.Body.Close()
		t.Errorf("peer address answered a client without a certificate: status %d", resp.StatusCode)
	}
}

// TestAttemptsAreBounded guards against retries that multiply over hops: the
// deepest service always refuses, and the whole tree may make at most the
// route's budget of extra attempts (G1).
func TestAttemptsAreBounded(t *testing.T) {
	f, key := chain(t)
	before := f.total(f.vms[1]) + f.total(f.vms[2])
	a, err := f.vms[0].send("/echo", key, "", "X-Sample-Next", "/deep", "Next-X-Sample-Fail", "true")
	if err != nil {
		t.Fatal(err)
	}
	const budget = 3 // the default of retry_budget
	if runs := f.total(f.vms[1]) + f.total(f.vms[2]) - before; runs > 1+budget {
		t.Errorf("deep service got %d attempts, answer %+v", runs, a)
	}
}
