package soak

import (
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

const (
	maxJoinDelay = 3 * time.Second
	// readsFleet is about how long after its start a node has read the table of members and not
	// yet written its row.
	readsFleet     = 300 * time.Millisecond
	turnedAwayTime = 4 * time.Second
)

// join starts a node some time into the run. Unless the run has planned operations only, the store
// turns it away from about the moment at which it has read the table of members.
func (r *run) join(n *node, rnd *rand.Rand) {
	time.Sleep(time.Duration(rnd.Int64N(int64(maxJoinDelay))))
	r.cfg.Log("%s: joins", n.name)
	if err := n.start(); err != nil {
		r.cfg.Log("%s could not be started: %v", n.name, err)
		return
	}
	if r.plannedOnly {
		return
	}
	n.recordFault()
	time.Sleep(time.Duration(rnd.Int64N(int64(readsFleet))))
	n.toStore.setFault(linkReset)
	time.Sleep(turnedAwayTime)
	n.toStore.setFault(linkOK)
	n.recordFault()
}

// announceForeign announces a backend server beside a node that is not there, as another program.
func (r *run) announceForeign(n *node, rnd *rand.Rand) {
	own := n.currentBackend().ID()
	x := []struct{ id, service string }{
		{"foreign", "unnamed"}, {own, "unnamed"}, {"foreign", services[rnd.IntN(len(services))]}, {own, n.service},
	}[rnd.IntN(4)]
	state := []string{"ready", "draining"}[rnd.IntN(2)]
	if x.service == n.service {
		state = "ready" // what leaves under the ID of the real one would bind the node
	}
	// An error tells that the node does not run.
	_, _ = standin.Foreign{
		ID: x.id, Service: x.service, Address: n.addresses["backend"], State: state, Slots: slots,
		Born: time.Now().Add(time.Duration(rnd.IntN(2000)) * time.Millisecond),
	}.Send(n.addresses["announce"])
}
