package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/platform"
)

// The store may come back from an older copy of its rows. Package era decides what that
// voids. This file tells the node's goroutines of it and closes the gap that the copy
// leaves: a configuration that the operator has yet to write again is obtained from peers.

const (
	// configurationPath is where a node gives its configuration to a peer.
	configurationPath = "/teaselseam/configuration"
	// configurationPeers is how many peers a node asks in one round.
	configurationPeers       = 2
	configurationPeerTimeout = 300 * time.Millisecond
)

// observe takes the revision of a response of the store.
func (s *storeState) observe(r platform.Revision) era.Relation {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.era.Era()
	relation := s.era.Observe(clock.SinceBoot(), r)
	if relation == era.Later {
		s.log.Warn("store has come back from an older copy", "event", "era", "era", r.Era, "previous", previous,
			"version", r.Version)
		s.n.metrics.Counter("teaselseam_store_eras_total").Inc()
		s.endWatches()
	}
	return relation
}

// writtenInEra reports whether a row was certainly written since the store has come back from an
// older copy, if it ever has.
func (s *storeState) writtenInEra(r platform.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Era == s.era.Era() && s.era.WrittenIn(r.Version)
}

func (s *storeState) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era.Era()
}

// settled reports whether the rows of the store prove again what is newest.
func (s *storeState) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era.Settled(clock.SinceBoot())
}

// abortWatches ends the pending watches: they are sent again, to the present address of the
// store, if this node still watches it.
func (s *storeState) abortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches()
}

// endWatches ends the pending watches. The caller holds mu.
func (s *storeState) endWatches() {
	close(s.watchesEnd)
	s.watchesEnd = make(chan struct{})
}

// onWatchesEnd calls f once a later era than the given one is known or watches are to be
// aborted, unless stop is called first.
func (s *storeState) onWatchesEnd(known uint64, f func()) (stop func()) {
	s.mu.Lock()
	ended, current := s.watchesEnd, s.era.Era()
	s.mu.Unlock()
	if current != known {
		f()
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-ended:
			f()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// learnFromPeers asks a few peers for a newer configuration than the store has.
func (s *storeState) learnFromPeers(ctx context.Context) {
	members := s.servingMembers()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.Node == s.n.settings.Node {
			continue
		}
		if asked++; asked > configurationPeers {
			return
		}
		if err := s.learnFromPeer(ctx, m.Address); err != nil {
			s.log.Warn("configuration could not be obtained from a peer", "event", "configuration", "peer", m.Node, "err", err)
		}
	}
}

func (s *storeState) learnFromPeer(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, configurationPeerTimeout)
	defer cancel()
	errBuilder := oops.With("step", "get configuration", "peer", addr)
	resp, callErr := s.n.peers.Post(ctx, addr, configurationPath, nil)
	if callErr != nil {
		return errBuilder.Wrap(callErr)
	}
	defer resp.Close()
	switch {
	case resp.Status == http.StatusNoContent:
		return nil // the peer has none
	case resp.Status != http.StatusOK || resp.Rest != nil:
		return errBuilder.Errorf("status %d, length %d", resp.Status, resp.Length)
	}
	c, err := platform.ParseConfiguration(resp.Body)
	if err != nil {
		return errBuilder.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaceConfiguration(c, resp.Body) {
		s.publishCatalog()
	}
	return nil
}

// serveConfiguration gives the configuration to a peer, as the operator wrote it.
func (s *storeState) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	value := s.configValue
	s.mu.Unlock()
	w.Header()["Date"] = nil
	if value == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = w.Write(value) // the peer asks again if the response is lost
}
