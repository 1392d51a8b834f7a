package era

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/platform"
)

const ms = time.Millisecond

// TestTracker guards against comparing versions of different eras, and against a late
// response of an earlier era.
func TestTracker(t *testing.T) {
	var tr Tracker
	steps := []struct {
		at       time.Duration
		revision platform.Revision
		want     Relation
		settled  bool
		written  map[uint64]bool // WrittenIn by version
	}{
		{0, platform.Revision{Era: 1, Version: 100}, Current, true, map[uint64]bool{1: true, 101: true}},
		{10 * ms, platform.Revision{Era: 1, Version: 120}, Current, true, nil},
		{20 * ms, platform.Revision{Era: 2, Version: 90}, Later, false, map[uint64]bool{90: false, 91: true}},
		{30 * ms, platform.Revision{Era: 1, Version: 121}, Earlier, false, map[uint64]bool{90: false, 91: true}},
		{40 * ms, platform.Revision{Era: 2, Version: 88}, Current, false, map[uint64]bool{88: false, 89: true}},
		{20*ms + Settle, platform.Revision{Era: 2, Version: 95}, Current, true, map[uint64]bool{88: false, 89: true}},
	}
	for i, s := range steps {
		if got := tr.Observe(s.at, s.revision); got != s.want {
			t.Errorf("step %d: relation %v, want %v", i, got, s.want)
		}
		if got := tr.Settled(s.at); got != s.settled {
			t.Errorf("step %d: settled %v, want %v", i, got, s.settled)
		}
		for v, want := range s.written {
			if got := tr.WrittenIn(v); got != want {
				t.Errorf("step %d: version %d written in the era: %v, want %v", i, v, got, want)
			}
		}
	}
}

// TestStartInLaterEra guards against a node that starts right after the store came back
// and takes the copy for the newest state.
func TestStartInLaterEra(t *testing.T) {
	var tr Tracker
	if got := tr.Observe(time.Second, platform.Revision{Era: 2, Version: 90}); got != Current {
		t.Errorf("relation %v, want %v", got, Current)
	}
	if tr.Settled(time.Second) || !tr.Settled(time.Second+Settle) {
		t.Error("the era must be settled a while after the first contact, not before")
	}
}

// TestLineage guards against bringing back replaced content from an older copy, and
// against ignoring content that an operator has brought back deliberately and replaced
// again.
func TestLineage(t *testing.T) {
	var l Lineage
	for _, content := range []string{"a", "b", "b", "c"} {
		l.Replace([]byte(content))
	}
	for content, want := range map[string]bool{"a": true, "b": true, "c": false, "new": false} {
		if got := l.Replaced([]byte(content)); got != want {
			t.Errorf("content %q replaced: %v, want %v", content, got, want)
		}
	}
	l.Replace([]byte("a"))
	if l.Replaced([]byte("a")) || !l.Replaced([]byte("c")) {
		t.Error("content that is in force again must not count as replaced")
	}
	for i := range 2 * maxLineage {
		l.Replace(fmt.Append(nil, i))
	}
	if len(l.replaced) != maxLineage {
		t.Errorf("%d contents are remembered, want %d", len(l.replaced), maxLineage)
	}
}

// Bounds of the model, as on the users' platform: keys are rejected revokeBound after the
// change that withdrew them, and a node serves by a configuration for keyAge after it was
// last known to be the newest.
const (
	revokeBound = 5 * time.Second
	keyAge      = 3800 * ms
	rewriteTime = 1500 * ms // longest time until the operator has written again
	maxLag      = 900 * ms  // longest time of a response on its way
)

// storeModel is a store with one row, the operator's configuration, that comes back from
// copies of itself.
type storeModel struct {
	era, version       uint64
	config, rowVersion uint64
	copied             *storeModel
	copiedAt           time.Duration
	away               bool
	rewriteAt          time.Duration // when the operator writes a lost configuration again; 0 for never
}

// response is a whole read of the store on its way to a node.
type response struct {
	sentAt, arrivesAt  time.Duration
	revision           platform.Revision
	config, rowVersion uint64
}

// nodeModel follows the configuration as a node does.
type nodeModel struct {
	c           Confirmation
	config      uint64
	confirmedAt time.Duration
	confirmed   bool
	inFlight    []response
	cutOff      bool
}

func (n *nodeModel) deliver(now time.Duration) {
	kept := n.inFlight[:0]
	for _, r := range n.inFlight {
		if r.arrivesAt > now {
			kept = append(kept, r)
			continue
		}
		if n.c.Observe(now, r.revision) == Earlier {
			continue
		}
		n.config = max(n.config, r.config)
		n.c.Stored(r.config, platform.Revision{Era: r.revision.Era, Version: r.rowVersion})
		if n.c.Confirms(r.sentAt) {
			n.confirmedAt, n.confirmed = max(n.confirmedAt, r.sentAt), true
		}
	}
	n.inFlight = kept
}

// servesKeys reports whether the node serves requests with keys.
func (n *nodeModel) servesKeys(now time.Duration) bool {
	return n.confirmed && now-n.confirmedAt < keyAge
}

// history is a run of the model.
type history struct {
	t       *rapid.T
	now     time.Duration
	store   storeModel
	written []time.Duration // when each configuration was acknowledged, by version
	nodes   []*nodeModel
}

// TestHistories checks two promises over random histories of changes, copies and returns
// of the store, restarts, cut links and delayed responses: a node never goes back to an
// older configuration, and never serves keys by one that was replaced longer than
// revokeBound ago.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, store: storeModel{era: 1}}
		h.write()
		for range 3 {
			h.nodes = append(h.nodes, &nodeModel{})
		}
		steps := rapid.IntRange(20, 300).Draw(t, "steps")
		for range steps {
			h.step()
		}
	})
}

func (h *history) step() {
	h.now += time.Duration(rapid.IntRange(1, 300).Draw(h.t, "pause")) * ms
	node := h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "node")]
	switch rapid.SampledFrom([]string{"write", "copy", "away", "back", "cut", "join", "restart", "read", "read", "read", "read"}).Draw(h.t, "event") {
	case "write":
		// An operator changes nothing before what was lost is written again.
		if !h.store.away && h.store.rewriteAt == 0 {
			h.write()
		}
	case "copy":
		if !h.store.away {
			c := h.store
			c.copied = nil
			h.store.copied, h.store.copiedAt = &c, h.now
		}
	case "away":
		h.store.away = h.store.away || h.store.copied != nil
	case "back":
		h.comeBack()
	case "cut":
		node.cutOff = true
	case "join":
		node.cutOff = false
	case "restart":
		*node = nodeModel{}
	}
	h.rewrite()
	for _, n := range h.nodes {
		h.read(n)
		previous := n.config
		n.deliver(h.now)
		h.check(n, previous)
	}
}

func (h *history) write() {
	h.written = append(h.written, h.now)
	h.put(uint64(len(h.written)))
}

func (h *history) put(config uint64) {
	h.store.version++
	h.store.config, h.store.rowVersion = config, h.store.version
}

func (h *history) comeBack() {
	if !h.store.away {
		return
	}
	c, era := *h.store.copied, h.store.era+1
	h.store = c
	h.store.era = era
	if c.config < uint64(len(h.written)) {
		h.store.rewriteAt = h.now + time.Duration(rapid.IntRange(0, int(rewriteTime/ms)).Draw(h.t, "rewrite"))*ms
	}
}

// rewrite performs a due write of the operator, at the time at which it was due.
func (h *history) rewrite() {
	if h.store.rewriteAt != 0 && h.now >= h.store.rewriteAt && !h.store.away {
		h.put(uint64(len(h.written)))
		h.store.rewriteAt = 0
	}
}

// read sends a node's read, whose response holds the present state.
func (h *history) read(n *nodeModel) {
	if h.store.away || n.cutOff {
		return
	}
	n.inFlight = append(n.inFlight, response{
		sentAt: h.now, arrivesAt: h.now + time.Duration(rapid.IntRange(0, int(maxLag/ms)).Draw(h.t, "lag"))*ms,
		revision: platform.Revision{Era: h.store.era, Version: h.store.version},
		config:   h.store.config, rowVersion: h.store.rowVersion,
	})
}

func (h *history) check(n *nodeModel, previous uint64) {
	if n.config < previous {
		h.t.Fatalf("at %v a node went back from configuration %d to %d", h.now, previous, n.config)
	}
	if !n.servesKeys(h.now) || n.config == 0 || n.config >= uint64(len(h.written)) {
		return
	}
	if replacedAt := h.written[n.config]; h.now > replacedAt+revokeBound {
		h.t.Fatalf("at %v a node serves keys by configuration %d, replaced at %v", h.now, n.config, replacedAt)
	}
}
