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

// action is a fault or a planned operation that may be drawn during a run.
type action struct {
	name    string
	planned bool // no request may be lost because of it
	apply   func(r *run, n *node, rnd *rand.Rand)
}

var actions = []action{
	{"stop a node", true, func(_ *run, n *node, _ *rand.Rand) { n.terminate() }},
	{"reload settings", true, func(_ *run, n *node, _ *rand.Rand) { n.signal(syscall.SIGHUP) }},
	{"revoke a key", true, func(r *run, _ *node, rnd *rand.Rand) {
		key, _ := r.config.choose(rnd.IntN)
		r.config.revokeKey(r.fleet, key)
	}},
	{"add a route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.changeRoutes(r.fleet, true) }},
	{"remove a route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.changeRoutes(r.fleet, false) }},
	{"move a route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.moveRoute(r.fleet) }},
	{"cover the path of the crashing request by another route", true, func(r *run, _ *node, _ *rand.Rand) { r.config.coverCrashing(r.fleet) }},
	{"drain and replace a backend server", true, func(r *run, n *node, _ *rand.Rand) { r.replaceBackend(n, true) }},
	{"replace a backend server without draining", true, func(r *run, n *node, _ *rand.Rand) { r.replaceBackend(n, false) }},
	{"kill a node", false, func(_ *run, n *node, _ *rand.Rand) {
		n.recordFault()
		n.signal(syscall.SIGKILL)
	}},
	{"pause a node", false, func(_ *run, n *node, rnd *rand.Rand) {
		n.recordFault()
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+rnd.IntN(6000)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
		n.recordFault()
	}},
	{"crash a backend server", false, func(r *run, n *node, _ *rand.Rand) {
		n.recordFault()
		n.replaceBackend(n.currentBackend(), 300*time.Millisecond, r.interceptor(n))
	}},
	{"backend server drops responses", false, func(r *run, n *node, _ *rand.Rand) { r.injectResponseFault(n, responseDropped) }},
	{"backend server truncates responses", false, func(r *run, n *node, _ *rand.Rand) { r.injectResponseFault(n, responseTruncated) }},
	{"backend server sends a head without end", false, func(r *run, n *node, _ *rand.Rand) { r.injectResponseFault(n, responseEndlessHead) }},
	{"backend server sends a body without end", false, func(r *run, n *node, _ *rand.Rand) { r.injectResponseFault(n, responseEndlessBody) }},
	{"store is slow", false, func(r *run, _ *node, _ *rand.Rand) { r.failStore(standin.Faults{Delay: 300 * time.Millisecond}) }},
	{"store is down", false, func(r *run, _ *node, _ *rand.Rand) { r.failStore(standin.Faults{Down: true}) }},
	{"store drops responses to writes", false, func(r *run, _ *node, _ *rand.Rand) { r.failStore(standin.Faults{DropWriteResponses: true}) }},
	{"store commits writes late", false, func(r *run, _ *node, _ *rand.Rand) { r.failStore(standin.Faults{WriteDelay: 1500 * time.Millisecond}) }},
	{"store truncates its change history", false, func(r *run, _ *node, _ *rand.Rand) { r.fleet.store.TruncateHistory() }},
	{"store comes back from a copy", false, func(r *run, _ *node, rnd *rand.Rand) { r.comeBackFromCopy(rnd) }},
	{"link fault to the store", false, func(r *run, n *node, rnd *rand.Rand) { r.injectLinkFault(n, n.toStore, rnd) }},
	{"revoke keys while a node is cut off from the store", false, func(r *run, n *node, rnd *rand.Rand) {
		n.recordFault()
		n.toStore.setFault([]linkFault{linkBlackhole, linkReset}[rnd.IntN(2)])
		time.Sleep(300 * time.Millisecond)
		for range 2 {
			key, _ := r.config.choose(rnd.IntN)
			r.config.revokeKey(r.fleet, key)
		}
		time.Sleep(revokeBound + 4*time.Second)
		n.toStore.setFault(linkOK)
		n.recordFault()
	}},
	{"link fault to the backend server", false, func(r *run, n *node, rnd *rand.Rand) { r.injectLinkFault(n, n.toBackend, rnd) }},
	{"restart a node without the store while its backend server leaves", false, func(r *run, n *node, _ *rand.Rand) { r.leaveWithoutStore(n) }},
	{"backend server names a rate limit", true, func(r *run, n *node, rnd *rand.Rand) { r.nameLimit(n, rnd) }},
	{"another program announces a backend server", false, func(r *run, n *node, rnd *rand.Rand) {
		n.recordFault()
		r.announceForeign(n, rnd)
		n.recordFault()
	}},
	{"backend server leaves unannounced", false, func(r *run, n *node, _ *rand.Rand) {
		n.recordFault()
		r.leaveUnannounced(n)
		n.recordFault()
	}},
}

// responseFault is what a backend server does to a quarter of its responses.
type responseFault uint8

const (
	responseOK responseFault = iota
	responseDropped
	responseTruncated
	responseEndlessHead
	responseEndlessBody
)

const (
	responseFaultDuration = 2 * time.Second
	linkFaultDuration     = 2 * time.Second // after the end of the process
	leaveTimeout          = 8 * time.Second // for the acknowledgement that a backend server leaves
)

// injectResponseFault makes the backend server beside a node drop or truncate responses
// for responseFaultDuration.
func (r *run) injectResponseFault(n *node, fault responseFault) {
	n.recordFault()
	r.setResponseFault(n, fault)
	time.Sleep(responseFaultDuration)
	r.setResponseFault(n, responseOK)
	n.recordFault()
}

// comeBackFromCopy takes the store away and brings it back from a copy up to 2 s old. The
// operator writes the configuration again within a second.
func (r *run) comeBackFromCopy(rnd *rand.Rand) {
	r.storeMu.Lock() // one copy at a time
	defer r.storeMu.Unlock()
	copied := r.fleet.store.Copy()
	time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	r.recordFaultOnAll()
	r.fleet.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
	r.config.comeBack(r.fleet, copied, time.Duration(rnd.IntN(1000))*time.Millisecond)
	r.recordFaultOnAll()
}

func (r *run) recordFaultOnAll() {
	for _, n := range r.fleet.nodes {
		n.recordFault()
	}
}

// failStore applies a fault to the store for 4 s. It affects all nodes.
func (r *run) failStore(f standin.Faults) {
	r.recordFaultOnAll()
	r.fleet.store.SetFaults(f)
	time.Sleep(4 * time.Second)
	r.fleet.store.SetFaults(standin.Faults{})
	r.recordFaultOnAll()
}

// injectLinkFault applies a randomly drawn fault to a link for 0.5 to 6.5 s.
func (r *run) injectLinkFault(n *node, p *proxy, rnd *rand.Rand) {
	n.recordFault()
	p.setFault([]linkFault{linkSlow, linkOneWay, linkBlackhole, linkReset}[rnd.IntN(4)])
	time.Sleep(time.Duration(500+rnd.IntN(6000)) * time.Millisecond)
	p.setFault(linkOK)
	n.recordFault()
}

// replaceBackend makes the backend server beside a node leave. It goes on serving for
// the drain time and then stops, and another is started.
func (r *run) replaceBackend(n *node, drain bool) {
	n.mu.Lock()
	b := n.backend
	_, leaving := n.leaveAcknowledged[b]
	n.mu.Unlock()
	if leaving {
		return
	}
	state := "draining"
	if drain {
		b.Drain(context.Background())
	} else {
		state = "gone"
		b.Deregister(context.Background())
	}
	if b.Acknowledged(state) {
		n.mu.Lock()
		n.leaveAcknowledged[b] = time.Now()
		n.mu.Unlock()
	}
	time.Sleep(drainBound + time.Second)
	n.replaceBackend(b, 0, r.interceptor(n))
}

// leaveWithoutStore restarts a node that the store does not answer, while the backend server
// beside it announces that it is gone, until that is acknowledged. It goes on serving for a
// while.
func (r *run) leaveWithoutStore(n *node) {
	n.recordFault()
	b := n.currentBackend()
	b.StopAnnouncing()
	n.toStore.setFault(linkReset)
	n.terminate()
	time.AfterFunc(linkFaultDuration, func() { n.toStore.setFault(linkOK) })
	for end := time.Now().Add(leaveTimeout); !b.Acknowledged("gone") && time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		b.Deregister(context.Background())
	}
	if b.Acknowledged("gone") {
		n.mu.Lock()
		n.leaveAcknowledged[b] = time.Now()
		n.mu.Unlock()
	}
	n.recordFault()
	time.Sleep(drainBound + time.Second)
	n.replaceBackend(b, 0, r.interceptor(n))
}

// interceptor returns the function that intercepts the requests of a backend server
// (see standin.Backend.Intercept): it makes internal calls and drops or truncates
// responses.
func (r *run) interceptor(n *node) func(http.ResponseWriter, *http.Request) bool {
	client := &http.Client{Timeout: time.Second}
	return func(w http.ResponseWriter, req *http.Request) bool {
		r.setCondition(n, w.Header())
		if req.URL.Path == crashingPath {
			r.crash(n)
		}
		workAsAsked(req)
		if n.service == slowService && strings.HasPrefix(req.URL.Path, movedPrefix) {
			time.Sleep(movedWork)
		}
		if strings.Contains(req.URL.Path, "nested-") && !r.internalCall(client, n, req) {
			standin.Sign(w)
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		r.mu.Lock()
		fault := r.responseFaults[n]
		applies := fault != responseOK && r.rnd.IntN(4) == 0
		r.mu.Unlock()
		if !applies {
			return false
		}
		switch fault {
		case responseTruncated:
			standin.TruncateResponse(w)
		case responseEndlessHead:
			standin.SendEndlessHead(w)
		case responseEndlessBody:
			standin.SendEndlessBody(w, req)
		}
		panic(http.ErrAbortHandler)
	}
}

// workMark precedes the time that a request takes in the last segment of its path.
const workMark = "work-"

// workAsAsked waits for as long as the path of a request says, or until its caller leaves.
func workAsAsked(req *http.Request) {
	_, text, found := strings.Cut(req.URL.Path, workMark)
	if d, err := time.ParseDuration(text); found && err == nil {
		select {
		case <-time.After(d):
		case <-req.Context().Done():
		}
	}
}

// internalCall makes a call of the backend server through the node beside it and
// reports whether it succeeded.
func (r *run) internalCall(client *http.Client, n *node, parent *http.Request) bool {
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+n.addresses["callers"]+"/check/mill/x", nil)
	if err != nil {
		return false
	}
	req.Host = "soak.example"
	req.Header.Set("Request-Id", "call-"+r.callers.nextID())
	req.Header.Set("Deadline-Ms", parent.Header.Get("Deadline-Ms"))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) setResponseFault(n *node, fault responseFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseFaults[n] = fault
}
