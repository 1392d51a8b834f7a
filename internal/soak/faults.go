package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// step is one thing that happens during a run.
type step struct {
	name    string
	planned bool // it excuses nothing
	do      func(r *run, n *node, rnd *rand.Rand)
}

var steps = []step{
	{"stop a node", true, func(_ *run, n *node, _ *rand.Rand) { n.terminate() }},
	{"reload settings", true, func(_ *run, n *node, _ *rand.Rand) { n.signal(syscall.SIGHUP) }},
	{"withdraw a key", true, func(r *run, _ *node, rnd *rand.Rand) {
		key, _ := r.config.choose(rnd.IntN)
		r.config.withdraw(r.fleet, key)
	}},
	{"add a route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.toggleRoute(r.fleet, true) }},
	{"remove a route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.toggleRoute(r.fleet, false) }},
	{"drain a backend server", true, func(r *run, n *node, _ *rand.Rand) { r.replace(n, true) }},
	{"end a backend server without notice", true, func(r *run, n *node, _ *rand.Rand) { r.replace(n, false) }},
	{"kill a node", false, func(_ *run, n *node, _ *rand.Rand) {
		n.disturb()
		n.signal(syscall.SIGKILL)
	}},
	{"pause a node", false, func(_ *run, n *node, rnd *rand.Rand) {
		n.disturb()
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+rnd.IntN(6000)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
		n.disturb()
	}},
	{"crash a backend server", false, func(r *run, n *node, _ *rand.Rand) {
		n.disturb()
		n.crash()
		time.Sleep(300 * time.Millisecond)
		n.newBackend(r.behave(n))
	}},
	{"lose the answers of a backend server", false, func(r *run, n *node, _ *rand.Rand) { r.spoil(n, lose) }},
	{"spoil the answers of a backend server", false, func(r *run, n *node, _ *rand.Rand) { r.spoil(n, garble) }},
	{"slow store", false, func(r *run, _ *node, _ *rand.Rand) { r.storeFault(standin.Faults{Delay: 300 * time.Millisecond}) }},
	{"store down", false, func(r *run, _ *node, _ *rand.Rand) { r.storeFault(standin.Faults{Down: true}) }},
	{"store loses answers", false, func(r *run, _ *node, _ *rand.Rand) { r.storeFault(standin.Faults{DropWriteResponses: true}) }},
	{"store is late", false, func(r *run, _ *node, _ *rand.Rand) { r.storeFault(standin.Faults{WriteDelay: 1500 * time.Millisecond}) }},
	{"store forgets", false, func(r *run, _ *node, _ *rand.Rand) { r.fleet.store.TruncateHistory() }},
	{"way to the store", false, func(r *run, n *node, rnd *rand.Rand) { r.link(n, n.toStore, rnd) }},
	{"withdraw keys behind a cut from the store", false, func(r *run, n *node, rnd *rand.Rand) {
		n.disturb()
		n.toStore.set([]fault{silent, refused}[rnd.IntN(2)])
		time.Sleep(300 * time.Millisecond)
		for range 2 {
			key, _ := r.config.choose(rnd.IntN)
			r.config.withdraw(r.fleet, key)
		}
		time.Sleep(revokeBound + 4*time.Second)
		n.toStore.set(none)
		n.disturb()
	}},
	{"way to the backend server", false, func(r *run, n *node, rnd *rand.Rand) { r.link(n, n.toServer, rnd) }},
}

// spoiling is what a backend server does to a part of its answers.
type spoiling uint8

const (
	well spoiling = iota
	lose
	garble
)

const spoilFor = 2 * time.Second

func (r *run) spoil(n *node, how spoiling) {
	n.disturb()
	r.set(n, how)
	time.Sleep(spoilFor)
	r.set(n, well)
	n.disturb()
}

func (r *run) storeFault(f standin.Faults) {
	for _, n := range r.fleet.nodes {
		n.disturb()
	}
	r.fleet.store.SetFaults(f)
	time.Sleep(4 * time.Second)
	r.fleet.store.SetFaults(standin.Faults{})
	for _, n := range r.fleet.nodes {
		n.disturb()
	}
}

func (r *run) link(n *node, p *proxy, rnd *rand.Rand) {
	n.disturb()
	p.set([]fault{slow, oneWay, silent, refused}[rnd.IntN(4)])
	time.Sleep(time.Duration(500+rnd.IntN(6000)) * time.Millisecond)
	p.set(none)
	n.disturb()
}

// replace makes the backend server beside a node leave, serve on for the bound and
// end, and starts another.
func (r *run) replace(n *node, notice bool) {
	n.mu.Lock()
	b, crash := n.backend, n.crash
	_, leaving := n.drained[b]
	n.mu.Unlock()
	if leaving {
		return
	}
	state := "draining"
	if notice {
		b.Drain(context.Background())
	} else {
		state = "gone"
		b.Deregister(context.Background())
	}
	if b.Acknowledged(state) {
		n.mu.Lock()
		n.drained[b] = time.Now()
		n.mu.Unlock()
	}
	time.Sleep(drainBound + time.Second)
	crash()
	n.newBackend(r.behave(n))
}

// behave returns what a backend server does beside answering: calls of its own, and
// spoilt answers.
func (r *run) behave(n *node) func(http.ResponseWriter, *http.Request) bool {
	client := &http.Client{Timeout: time.Second}
	return func(w http.ResponseWriter, req *http.Request) bool {
		if strings.Contains(req.URL.Path, "nested-") && !r.nested(client, n, req) {
			standin.Sign(w)
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		r.mu.Lock()
		how := r.spoilt[n]
		unlucky := how != well && r.rnd.IntN(4) == 0
		r.mu.Unlock()
		if !unlucky {
			return false
		}
		if how == garble {
			standin.TruncateResponse(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// nested makes a call of a backend server through the node beside it.
func (r *run) nested(client *http.Client, n *node, parent *http.Request) bool {
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+n.ports["callers"]+"/check/mill/x", nil)
	if err != nil {
		return false
	}
	req.Host = "soak.example"
	req.Header.Set("Request-Id", "call-"+r.callers.id())
	req.Header.Set("Deadline-Ms", parent.Header.Get("Deadline-Ms"))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) set(n *node, how spoiling) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoilt[n] = how
}
