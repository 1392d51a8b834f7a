package sidecar

import (
	"crypto/rand"
	"net"
	"net/http"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
)

// peerDirectory tells how the requests of other nodes are recognised, by the rows of the
// fleet.
type peerDirectory struct {
	keys map[string]string // by address
	// earlier holds the IPs of nodes of an earlier release, which have no key and know none.
	earlier map[string]bool
	// onDemand holds the addresses of nodes that ask for the rest of request bodies.
	onDemand map[string]bool
}

func newPeerDirectory(members []*fleet.Member) *peerDirectory {
	d := &peerDirectory{keys: map[string]string{}, earlier: map[string]bool{}, onDemand: map[string]bool{}}
	for _, m := range members {
		if m.BodyOnDemand {
			d.onDemand[m.Address] = true
		}
		if m.Key != "" {
			d.keys[m.Address] = m.Key
		} else if host, _, err := net.SplitHostPort(m.Address); err == nil {
			d.earlier[host] = true
		}
	}
	return d
}

// keyOf returns the key of the node at an address; empty if it has none.
func (n *Node) keyOf(address string) string { return n.state.peers.Load().keys[address] }

// asksForBody reports whether the node at an address asks for the rest of request bodies.
func (n *Node) asksForBody(address string) bool { return n.state.peers.Load().onDemand[address] }

// newKey returns a new key for a node.
func newKey() string {
	var key [fleet.KeyBytes]byte
	_, _ = rand.Read(key[:]) // never fails
	return fleet.EncodeKey(key)
}

func (n *Node) setKey(key string) { n.key.Store(&key) }

// servePeer serves the requests of other nodes.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if !n.fromPeer(r) {
		n.refusePeer(w, r)
		return
	}
	if hop.IsCall(r) {
		n.guard.serve(w, r)
		return
	}
	switch r.URL.Path {
	case bankPath:
		n.tokens.serveBank(w, r)
	case livenessPath:
		n.guard.serveLiveness(w, r)
	case configurationPath:
		n.state.serveConfiguration(w, r)
	case feedPath:
		n.state.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// fromPeer reports whether a request comes from another node. During a release it may come
// from one of an earlier build, which cannot prove it.
func (n *Node) fromPeer(r *http.Request) bool {
	if hop.HasKey(r, *n.key.Load()) {
		return true
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && n.state.peers.Load().earlier[host]
}

// refusePeer refuses a request that does not prove to come from another node: from another
// program, or from a node that has not heard yet of the key of this one.
func (n *Node) refusePeer(w http.ResponseWriter, r *http.Request) {
	n.requestLog.Warn("request without the key of this node refused", "event", "peer", "peer", r.RemoteAddr,
		"call", hop.IsCall(r), "key_known", *n.key.Load() != "")
	if !hop.IsCall(r) {
		w.Header()["Date"] = nil
		w.WriteHeader(http.StatusServiceUnavailable) // the sender may ask again when it knows the key
		return
	}
	resp := hop.Refused(request.ReasonNoBackend, 0)
	resp.RetryElsewhere = true
	hop.WriteToNode(w, resp)
}
