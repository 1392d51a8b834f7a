// Package sidecar is the process beside a backend server: it takes calls from
// the callers on its VM and from the backend server itself (Ingress), passes them
// to the node beside the backend server that is to run them, and admits what other
// nodes send to its own backend server (guard).
//
// What is decided stands in packages without I/O: catalog (routes, keys), share
// (rates), routing (placement), retry (repetition), dispatch (waiting), backend
// (state of the backend server), fleet (other nodes) and quarantine (requests
// that crash backend servers). This package keeps their state, does their I/O and
// logs what they decide.
//
// One goroutine owns the control state: it watches the store and publishes
// snapshots (knowledge). Traffic reads the snapshots.
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

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	maxHeaderBytes = 64 << 10
	// headerTimeout exceeds what the operator allows callers.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds what the operator tells callers, so that the node never
	// closes a connection on which a caller is about to send.
	idleTimeout = 2 * time.Minute
	// longestWrite bounds a response to a caller that does not read. It exceeds the
	// longest deadlines of callers by far.
	longestWrite = time.Minute
	// Peers close idle connections after peerIdle, before the other side does.
	peerIdle = 30 * time.Second
	// backendIdle is how long a connection to a backend server is kept if that does
	// not say when it closes idle ones.
	backendIdle = 4 * time.Second
	// peerDial and backendDial bound the opening of a connection. A lost packet
	// costs a second anyway; another place is better then.
	peerDial    = 400 * time.Millisecond
	backendDial = 250 * time.Millisecond
	sweepEvery  = time.Second
)

// Node is one running sidecar.
type Node struct {
	log         *slog.Logger // changes of what the node believes
	requests    *slog.Logger // decisions on requests, bounded in volume
	settings    *platform.Settings
	incarnation string
	store       *platform.Store
	metrics     *obs.Metrics
	times       times

	knowledge      *knowledge
	guard          *guard
	places         *places
	tokens         *tokens
	member         *memberRow
	crashes        *crashes
	peers          *hop.Pool
	budgets        budgets
	patience       patience
	livenessChecks singleflight.Group // by place
	behind         *behind

	began     time.Time
	stopping  atomic.Bool
	closing   atomic.Bool  // no request is passed on any more
	takeUntil atomic.Int64 // time since began until which a stopping node takes requests
	active    atomic.Int64 // requests of callers being served
	servers   []*server
}

type server struct {
	http.Server
	listener net.Listener
	name     string
}

// New opens the listeners of a node.
func New(log *slog.Logger, s *platform.Settings) (*Node, error) {
	n := &Node{
		log: log, requests: slog.New(obs.RateLimit(log.Handler())), settings: s, began: time.Now(),
		incarnation: uuid.Must(uuid.NewV7()).String(),
		store:       platform.NewStore(s.StoreAddress, hop.NewDialer(storeDial)),
		metrics:     obs.NewMetrics(),
		peers:       hop.NewPool(peerDial, peerIdle),
	}
	n.times = newTimes(n.metrics)
	n.store.Observe = n.observeStore
	n.knowledge = newKnowledge(n)
	n.crashes = newCrashes(log, n.spreadCrash)
	n.behind = newBehind()
	n.guard = newGuard(n)
	n.places = newPlaces(s, n.guard.handle, n.peers)
	n.tokens = newTokens(n)
	n.member = newMemberRow(n)
	n.registerMetrics()
	return n, n.listen()
}

// storeDial is a few round trips between data centres.
const storeDial = 500 * time.Millisecond

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// listen opens all listeners, so that a wrong address fails the start.
func (n *Node) listen() error {
	peers := http.NewServeMux()
	peers.HandleFunc(exchangePath, n.tokens.serve)
	peers.HandleFunc(livenessPath, serveLiveness)
	peers.HandleFunc("/", n.guard.serve)
	control := http.HandlerFunc(n.serveControl)
	lc := net.ListenConfig{KeepAliveConfig: hop.KeepAlive, Control: hop.SetUserTimeout}
	for _, x := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.CallerAddress, http.HandlerFunc(n.serveCaller)},
		{"peers", n.settings.PeerAddress, peers},
		{"announcements", n.settings.AnnounceAddress, control},
		{"ready", n.settings.ReadyAddress, control},
		{"metrics", n.metricsAddress(), n.observe()},
	} {
		l, err := lc.Listen(context.Background(), "tcp", x.address)
		if err != nil {
			return oops.With("step", "listen", "for", x.name, "address", x.address).Wrap(err)
		}
		n.servers = append(n.servers, &server{listener: l, name: x.name, Server: http.Server{
			Handler: x.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, WriteTimeout: longestWrite,
			ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		}})
	}
	return nil
}

// metricsAddress is the first port for traffic between nodes.
func (n *Node) metricsAddress() string {
	return net.JoinHostPort(n.settings.IP, itoa(n.settings.FirstPort))
}

// Run serves until ctx ends and then stops in order.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("node starts", "event", "start", "incarnation", n.incarnation,
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
	g.Go(func() error { return n.knowledge.runConfiguration(work) })
	g.Go(func() error { return n.knowledge.runFleet(work) })
	g.Go(func() error { return n.knowledge.runDeaths(work) })
	g.Go(func() error { return n.knowledge.runConfirm(work) })
	g.Go(func() error { return n.member.run(work) })
	g.Go(func() error { return n.tokens.run(work) })
	g.Go(func() error { return n.guard.line.run(work) })
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

// sweep closes connections that have been idle for too long.
func (n *Node) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			n.peers.Sweep(now)
			n.guard.pool.Sweep(now)
			n.crashes.expire()
		}
	}
}
