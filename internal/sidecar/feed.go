package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/replica"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// feedPath is where a node hands on changes of the tables of the store.
	feedPath = "/teaselseam/feed"
	// feedWait is the long-poll wait for changes. It bounds how late a node notices that
	// its source has gone silent.
	feedWait = 2 * time.Second
	// feedTimeoutMargin is added to feedWait to get the timeout of a request.
	feedTimeoutMargin = 500 * time.Millisecond
	// maxSourceAge is the age of a node's configuration from which on it feeds nobody: it
	// has lost the store itself.
	maxSourceAge = maxDefinitiveAge
	// maxWatchFailure is how long the calls of a node for a table may fail until it feeds
	// nobody.
	maxWatchFailure = 500 * time.Millisecond
	// minSourcePause and maxSourcePause bound how long a source that failed is not asked.
	// A silent one costs the whole timeout each time.
	minSourcePause = time.Second
	maxSourcePause = 16 * time.Second
	// standInTime is how long a node that is not a follower watches the store after it was
	// asked, which happens if the followers do not answer.
	standInTime = 10 * time.Second
	// feedRetryPause is the pause before all sources are asked again.
	feedRetryPause = 300 * time.Millisecond
	// maxFeedFailures is how many rounds in which no source answers a node waits before it
	// watches the store itself: nodes that start together answer after a moment.
	maxFeedFailures = 3
	// restartTime is how long after its start a node does not wait so.
	restartTime = 5 * time.Second
	// maxStaleRounds is how often a source that answers without having the store is asked
	// again before the next one: it may just be starting.
	maxStaleRounds = 2
	// minStandIn and maxStandIn bound how long a node without a source watches the store.
	minStandIn = 3 * time.Second
	maxStandIn = 6 * time.Second
	// maxFeedBytes bounds a request and a response.
	maxFeedBytes = 8 << 20
)

// feedRequest asks a node for what is newer than the caller's copies.
type feedRequest struct {
	Tables map[string]feedRevision `json:"tables"`
	WaitMS int64                   `json:"wait_ms"`
}

type feedRevision struct {
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
}

// feedTable is a change of a table, or all its rows.
type feedTable struct {
	feedRevision
	Table    string    `json:"table"`
	Snapshot bool      `json:"snapshot,omitempty"`
	Rows     []feedRow `json:"rows"`
}

type feedRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// setPlan changes from whom the node learns of changes.
func (s *storeState) setPlan(p replica.Plan) {
	s.replicaMu.Lock()
	defer s.replicaMu.Unlock()
	s.plan = p
	pace.Wake(s.planChanged)
}

// currentPlan returns the plan and, if that is to watch the store because other nodes have
// asked this one, until when.
func (s *storeState) currentPlan() (p replica.Plan, standInUntil time.Time) {
	s.replicaMu.Lock()
	defer s.replicaMu.Unlock()
	p = s.plan
	if !p.Follow && time.Now().Before(s.standInUntil) {
		p.Follow, standInUntil = true, s.standInUntil
	}
	return p, standInUntil
}

// standIn makes a node that is not a follower watch the store for a while. It does so at
// once, even if the node still waits for a source of its own.
func (s *storeState) standIn() {
	s.replicaMu.Lock()
	follows := s.plan.Follow
	if !follows {
		s.standInUntil = time.Now().Add(standInTime)
	}
	s.replicaMu.Unlock()
	if !follows {
		s.setWatching(true, "stands in")
		pace.Wake(s.planChanged)
	}
}

// errConnectionLost is the failure of a request to a source that responds on other
// connections.
var errConnectionLost = errors.New("connection to the node has been lost")

// feeder learns of changes from other nodes.
type feeder struct {
	s           *storeState
	failed      map[string]*sourceFailure // by node
	staleRounds int                       // since a source answered last
}

// sourceFailure describes a source that has failed since it answered last.
type sourceFailure struct {
	pause       time.Duration
	pausedUntil time.Time
}

// runFeed learns of changes from other nodes, or lets the node watch the store if it is a
// follower or no other node can tell.
func (s *storeState) runFeed(ctx context.Context) error {
	select {
	case <-s.fleetLoaded:
	case <-ctx.Done():
		return nil
	}
	f := &feeder{s: s, failed: map[string]*sourceFailure{}}
	failures := 0
	for ctx.Err() == nil {
		plan, standInUntil := s.currentPlan()
		if plan.Follow {
			failures = 0
			s.setWatching(true, "follower")
			s.awaitPlanChange(ctx, standInUntil)
			continue
		}
		switch f.ask(ctx, plan.Sources) {
		case sourceAnswered:
			failures = 0
			if p, _ := s.currentPlan(); !p.Follow {
				s.setWatching(false, "another node answers")
			}
			continue
		case sourceStale:
			if s.configAge() > maxSourceAge && s.catalog.Load() != nil {
				// This node has lost the store as well; confirm.go keeps trying it.
				s.setWatching(false, "no node has the store")
				sleep(ctx, feedRetryPause)
				continue
			}
		case sourceSilent:
		}
		if failures++; failures < s.maxFeedFailures() {
			sleep(ctx, feedRetryPause)
			continue
		}
		s.setWatching(true, "no other node answers")
		sleep(ctx, minStandIn+time.Duration(rand.Float64()*float64(maxStandIn-minStandIn)))
	}
	return nil
}

// maxFeedFailures returns how many rounds in which no source answers the node waits before
// it watches the store. When a whole fleet starts again, its sources are starting too, and
// the backend servers that it knows from the store have been replaced.
func (s *storeState) maxFeedFailures() int {
	if !s.n.settings.FirstStart && time.Since(s.n.startedAt) < restartTime {
		return 1
	}
	return maxFeedFailures
}

// awaitPlanChange waits for another plan, and until the given time if that is not zero.
func (s *storeState) awaitPlanChange(ctx context.Context, until time.Time) {
	if !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	select {
	case <-s.planChanged:
	case <-ctx.Done():
	}
}

// sourceResult is the outcome of asking all sources.
type sourceResult uint8

const (
	sourceAnswered sourceResult = iota
	sourceStale                 // at least one answers, but none has the store
	sourceSilent
)

// ask asks the sources one after the other until one answers, and applies its answer.
func (f *feeder) ask(ctx context.Context, sources []*fleet.Member) sourceResult {
	result := sourceSilent
	for _, m := range sources {
		if ctx.Err() != nil {
			return result
		}
		if failure := f.failed[m.Node]; failure != nil && time.Now().Before(failure.pausedUntil) {
			continue
		}
		stale, err := f.askOne(ctx, m)
		switch {
		case stale:
			if f.staleRounds++; f.staleRounds <= maxStaleRounds {
				return sourceStale
			}
			result = sourceStale
		case err == nil:
			delete(f.failed, m.Node)
			f.staleRounds = 0
			return sourceAnswered
		case errors.Is(err, errConnectionLost):
			f.s.log.Warn("connection to a source has been lost", "event", "feed", "peer", m.Node, "err", err)
			return sourceAnswered // it responds, so it is asked again at once
		case ctx.Err() == nil:
			f.recordFailure(m, err)
		}
	}
	return result
}

func (f *feeder) recordFailure(m *fleet.Member, err error) {
	failure := f.failed[m.Node]
	if failure == nil {
		failure = &sourceFailure{}
		f.failed[m.Node] = failure
		f.s.log.Warn("another node does not hand on changes", "event", "feed", "peer", m.Node, "err", err)
	}
	failure.pause = min(max(2*failure.pause, minSourcePause), maxSourcePause)
	failure.pausedUntil = time.Now().Add(failure.pause)
}

// askOne sends a long poll to a source. stale is true if the source has lost the store.
func (f *feeder) askOne(ctx context.Context, m *fleet.Member) (stale bool, err error) {
	errBuilder := oops.With("step", "get changes", "peer", m.Address)
	req := feedRequest{Tables: map[string]feedRevision{}, WaitMS: feedWait.Milliseconds()}
	for _, t := range f.s.tables {
		r, _ := t.position()
		req.Tables[t.name] = feedRevision{r.Era, r.Version}
	}
	body, err := json.Marshal(req)
	if err != nil {
		return false, errBuilder.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedTimeoutMargin)
	defer cancel()
	sentAt := clock.SinceBoot()
	resp, callErr := f.s.n.peers.Post(ctx, m.Address, feedPath, body)
	if callErr != nil {
		if callErr.ReuseFailed && f.s.n.checkLiveness(m.Address) == nil {
			callErr.Err = fmt.Errorf("%w: %w", errConnectionLost, callErr.Err)
		}
		return false, errBuilder.Wrap(callErr)
	}
	defer resp.Close()
	switch resp.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return true, nil
	default:
		return false, errBuilder.Errorf("status %d", resp.Status)
	}
	data := resp.Body
	if resp.Rest != nil {
		rest, err := io.ReadAll(io.LimitReader(resp.Rest, maxFeedBytes))
		if err != nil {
			return false, errBuilder.Wrap(err)
		}
		data = append(bytes.Clone(data), rest...)
	}
	var tables []feedTable
	if err := json.Unmarshal(data, &tables); err != nil {
		return false, errBuilder.Wrap(err)
	}
	for i := range tables {
		if err := f.apply(&tables[i], sentAt); err != nil {
			return false, errBuilder.Wrap(err)
		}
	}
	if resp.Config != nil {
		f.s.applyPeerFreshness(*resp.Config, sentAt)
	}
	return false, nil
}

// apply applies a change that a source has sent.
func (f *feeder) apply(ft *feedTable, sentAt time.Duration) error {
	for _, t := range f.s.tables {
		if t.name != ft.Table {
			continue
		}
		u := update{snapshot: ft.Snapshot, sentAt: sentAt, revision: platform.Revision(ft.feedRevision), fromPeer: true}
		if f.s.observe(u.revision) == era.Earlier {
			return errEarlierEra
		}
		for _, r := range ft.Rows {
			u.rows = append(u.rows, platform.Row{Table: ft.Table, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		f.s.update(t, u) // one that is outdated changes nothing
		return nil
	}
	return fmt.Errorf("unknown table %q", ft.Table)
}

// serveFeed hands on changes to another node. It responds as soon as there is one that the
// caller lacks, and without one after the requested wait.
func (s *storeState) serveFeed(w http.ResponseWriter, r *http.Request) {
	var req feedRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFeedBytes)).Decode(&req); err != nil {
		s.log.Warn("request for changes cannot be parsed", "event", "feed", "peer", r.RemoteAddr, "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header()["Date"] = nil
	s.standIn()
	wait := time.NewTimer(min(time.Duration(req.WaitMS)*time.Millisecond, feedWait))
	defer wait.Stop()
	for expired := false; ; {
		if s.n.stopping.Load() || !isClosed(s.fleetLoaded) || s.hasLostStore() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.replicaMu.Lock()
		changed := s.changed
		s.replicaMu.Unlock()
		tables := s.changesFor(&req)
		if len(tables) > 0 || expired {
			s.writeFeed(w, tables)
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesFor returns the tables in which the caller's copies lack something.
func (s *storeState) changesFor(req *feedRequest) []feedTable {
	var out []feedTable
	for _, t := range s.tables {
		if u, ok := t.since(platform.Revision(req.Tables[t.name])); ok {
			out = append(out, encodeFeed(t.name, u))
		}
	}
	return out
}

// since returns what a copy at a revision lacks; false if that is nothing.
func (t *replicatedTable) since(r platform.Revision) (replica.Update, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.copy.Loaded() {
		return replica.Update{}, false
	}
	u := t.copy.Since(r)
	return u, len(u.Rows) > 0 || u.Snapshot
}

func encodeFeed(table string, u replica.Update) feedTable {
	out := feedTable{feedRevision: feedRevision(u.Revision), Table: table, Snapshot: u.Snapshot, Rows: make([]feedRow, 0, len(u.Rows))}
	for _, r := range u.Rows {
		out.Rows = append(out.Rows, feedRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return out
}

func (s *storeState) writeFeed(w http.ResponseWriter, tables []feedTable) {
	body, err := json.Marshal(tables)
	if err != nil {
		s.log.Error("changes cannot be encoded", "event", "feed", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Header()["Content-Length"] = []string{itoa(len(body))}
	hop.SetFreshness(w.Header(), s.configFreshness())
	_, _ = w.Write(body) // the caller asks again if the response is lost
}
