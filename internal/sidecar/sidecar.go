// Package sidecar implements the node process that runs beside a backend server.
// It has two roles. As ingress it accepts requests from callers on its VM and from
// the backend server itself, and forwards them to the node of the backend server
// chosen to run them. As guard it admits calls from other nodes to its own backend
// server.
//
// The decisions are made in packages without I/O: catalog (routes, keys), share
// (rate limits), routing (load balancing), retry (retries), dispatch (queueing),
// backend (state of the backend server), fleet (other nodes), replica (from whom a node
// learns of changes), evacuation (data centres that get nothing), era (a store that comes
// back from an older copy) and quarantine (requests that crash backend servers). This
// package holds their state, does their I/O and logs their decisions.
//
// Background goroutines keep copies of the tables of the store, which they watch
// (replication.go) or learn of from another node (feed.go), and publish snapshots
// (storeState), which the request path reads.
package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/teaselseam/teaselseam/internal/ahead"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/httpcheck"
	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/presence"
	"github.com/teaselseam/teaselseam/internal/sockets"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	maxHeaderBytes = 64 << 10
	// peerHeaderBytes is what nodes may add to the headers of a caller's request.
	peerHeaderBytes = 8 << 10
	// readHeaderTimeout exceeds the header timeout that the operator configures for
	// callers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout exceeds the idle timeout announced to callers, so that the node
	// never closes a connection on which a caller is about to send.
	idleTimeout = 2 * time.Minute
	// responseWriteTimeout bounds the response to a caller that does not read it. It is
	// far longer than any caller's deadline.
	responseWriteTimeout = time.Minute
	// peerIdleTimeout is when idle connections to peers are closed, before the other
	// side closes them (idleTimeout).
	peerIdleTimeout = 30 * time.Second
	// defaultBackendIdleTimeout is how long an idle connection to a backend server is
	// kept if the server does not announce its own idle timeout.
	defaultBackendIdleTimeout = 4 * time.Second
	// peerDialTimeout and backendDialTimeout are shorter than a TCP SYN retransmission
	// (1 s): if a packet is lost, trying another endpoint is faster.
	peerDialTimeout    = 400 * time.Millisecond
	backendDialTimeout = 250 * time.Millisecond
	sweepInterval      = time.Second
)

// Node is one running sidecar.
type Node struct {
	log        *slog.Logger       // changes of the node's state
	requestLog *slog.Logger       // decisions on requests, rate-limited
	settings   *platform.Settings // as at the start; reload.go tells what changes later
	bounds     atomic.Pointer[platform.Bounds]
	// storeAddress is the IP:port of the store, pendingSettings what Reload returned last.
	storeAddress    atomic.Pointer[string]
	pendingSettings atomic.Pointer[[]string]
	incarnation     string
	// key is what the requests of other nodes have to bear; empty until the node has read which
	// one its earlier process had.
	key        atomic.Pointer[string]
	store      *platform.Store
	metrics    *obs.Metrics
	histograms histograms

	state          *storeState
	guard          *guard
	balancer       *balancer
	tokens         *tokens
	member         *memberRow
	crashes        *crashTracker
	sockets        *sockets.Budget
	memory         *memory.Budget // for bodies
	peers          *hop.Pool
	retryBudgets   retryBudgets
	responseTimes  responseTimes
	durations      requestDurations
	livenessChecks singleflight.Group // by endpoint ID
	downstream     *downstream

	startedAt      time.Time
	stopping       atomic.Bool
	closing        atomic.Bool               // new requests are refused
	stopAt         atomic.Pointer[stopTimes] // nil until the node stops
	activeRequests atomic.Int64              // requests of callers and of the backend server in progress
	delay          atomic.Int64              // see recordDelay, in nanoseconds
	ahead          *ahead.Listener           // for callers
	servers        []*server
}

type server struct {
	http.Server
	listener net.Listener
	name     string
}

// New returns a node whose listeners are open.
func New(log *slog.Logger, s *platform.Settings) (*Node, error) {
	n := &Node{
		log: log, requestLog: slog.New(obs.RateLimit(log.Handler())), settings: s, startedAt: time.Now(),
		incarnation: uuid.Must(uuid.NewV7()).String(),
		store:       platform.NewStore(s.StoreAddress, hop.NewDialer(storeDialTimeout)),
		metrics:     obs.NewMetrics(),
		sockets:     sockets.New(s.Sockets),
		memory:      memory.New(bodyMemory(s)),
	}
	n.peers = hop.NewPool(peerDialTimeout, peerIdleTimeout, n.sockets)
	n.bounds.Store(&s.Bounds)
	n.storeAddress.Store(&s.StoreAddress)
	n.pendingSettings.Store(&[]string{})
	n.histograms = newHistograms(n.metrics)
	n.store.Observe = n.observeStoreCall
	n.store.WrapConn = httpcheck.WrapConn
	n.peers.UseMemory(n.memory)
	n.peers.UseKeys(n.keyOf)
	n.peers.UseBodyOnDemand(n.asksForBody)
	n.key.Store(new(string))
	if s.FirstStart {
		n.setKey(newKey())
	}
	n.state = newStoreState(n)
	n.crashes = newCrashTracker(log, n.publishCrash)
	n.downstream = newDownstream()
	n.guard = newGuard(n)
	n.balancer = newBalancer(s, n.guard.handle, n.peers)
	n.tokens = newTokens(n)
	n.member = newMemberRow(n)
	n.registerMetrics()
	return n, n.listen()
}

// bodyMemoryRatio is the part of the memory limit of the platform that bodies may use. With what
// the garbage collector adds they stay below the half that the heap should use.
const bodyMemoryRatio = 0.2

func bodyMemory(s *platform.Settings) int64 { return int64(bodyMemoryRatio * float64(s.MemoryBytes)) }

// storeDialTimeout allows for a few round trips between data centres.
const storeDialTimeout = 500 * time.Millisecond

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// listen opens all listeners before the node runs, so that an invalid address makes
// the start fail.
func (n *Node) listen() error {
	control := http.HandlerFunc(n.serveControl)
	lc := net.ListenConfig{KeepAliveConfig: hop.KeepAlive, Control: hop.SetUserTimeout}
	for _, x := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.CallerAddress, http.HandlerFunc(n.serveCaller)},
		{"peers", n.settings.PeerAddress, http.HandlerFunc(n.servePeer)},
		{"announcements", n.settings.AnnounceAddress, control},
		{"ready", n.settings.ReadyAddress, control},
		{"metrics", n.metricsAddress(), n.metricsHandler()},
	} {
		l, err := lc.Listen(context.Background(), "tcp", x.address)
		if err != nil {
			return oops.With("step", "listen", "for", x.name, "address", x.address).Wrap(err)
		}
		n.servers = append(n.servers, &server{listener: n.sockets.Listen(l), name: x.name, Server: http.Server{
			Handler: x.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
			DisableGeneralOptionsHandler: true, // OPTIONS * of a caller has no route
			IdleTimeout:                  idleTimeout, WriteTimeout: responseWriteTimeout,
			ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		}})
	}
	callers := n.servers[0]
	n.ahead = &ahead.Listener{Listener: callers.listener}
	callers.listener, callers.ConnState = n.ahead, n.ahead.ConnState
	callers.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return presence.WithConn(n.ahead.ConnContext(ctx, nc), nc.(*ahead.Conn).Conn)
	}
	peers := n.servers[1]
	peers.ConnContext = presence.WithConn
	peers.MaxHeaderBytes += peerHeaderBytes
	return nil
}

// metricsAddress uses the first of the ports reserved for traffic between nodes.
func (n *Node) metricsAddress() string {
	return net.JoinHostPort(n.settings.IP, itoa(n.settings.FirstPort))
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("node started", "event", "start", "incarnation", n.incarnation,
		"data_centre", n.settings.DataCentre, "service", n.settings.Service)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	for _, s := range n.servers {
		g.Go(func() error {
			if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return oops.With("step", "serve", "for", s.name).Wrap(err)
			}
			return nil
		})
	}
	for _, t := range n.state.tables {
		g.Go(func() error { return n.state.followTable(work, t) })
	}
	g.Go(func() error { return n.state.runFeed(work) })
	g.Go(func() error { return n.state.runConfigurationPolling(work) })
	g.Go(func() error { return n.member.run(work) })
	g.Go(func() error { return n.tokens.run(work) })
	g.Go(func() error { return n.guard.queue.run(work) })
	g.Go(func() error { return n.runQuarantine(work) })
	g.Go(func() error { return n.sweep(work) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop()
		case <-work.Done():
		}
		cancel()
		return nil
	})
	err := g.Wait()
	n.log.Info("node stopped", "event", "stop")
	return err
}

// minLoggedDelay is the delay of the process from which it is logged.
const minLoggedDelay = 100 * time.Millisecond

// recordDelay records how late a timer has fired, by which the process was behind at that
// moment with all else that had arrived.
func (n *Node) recordDelay(d time.Duration) {
	n.delay.Store(int64(d))
	if d >= minLoggedDelay {
		n.log.Warn("process is behind", "event", "delay", "delay", d, "active", n.activeRequests.Load())
	}
}

// recordSockets logs that there was no room for connections since the count was last taken.
func (n *Node) recordSockets(before uint64) uint64 {
	full := n.sockets.Full()
	if full > before {
		n.log.Warn("no socket was left for connections", "event", "sockets", "times", full-before, "open", n.sockets.Used())
	}
	return full
}

// recordMemory logs that there was no room for bodies since the count was last taken.
func (n *Node) recordMemory(before uint64) uint64 {
	short := n.memory.Short()
	if short > before {
		n.log.Warn("no memory was left for bodies", "event", "memory", "times", short-before, "held", n.memory.Used(), "limit", n.memory.Limit())
	}
	return short
}

// sweep periodically closes idle connections and drops expired crash records.
func (n *Node) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	socketsFull, memoryShort := uint64(0), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C: // when it was due
			n.recordDelay(time.Since(now))
			socketsFull = n.recordSockets(socketsFull)
			memoryShort = n.recordMemory(memoryShort)
			n.peers.Sweep(now)
			n.guard.pool.Sweep(now)
			n.crashes.expire()
		}
	}
}
