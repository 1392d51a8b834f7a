// Package node wires one node together: listeners, control, ingress and guard.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/admission"
	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/claims"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/guard"
	"github.com/teaselseam/teaselseam/internal/ingress"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/resilient"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/rates"
	"github.com/teaselseam/teaselseam/internal/store"
)

// Limits and timers of the listeners.
const (
	maxHeaderBytes = 64 << 10
	// maxPeerHeaderBytes leaves room for what the ingress adds to the largest
	// header that it accepts.
	maxPeerHeaderBytes = maxHeaderBytes + 16<<10
	headerTimeout      = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	keepAliveInterval  = 2 * time.Second
	keepAliveProbes    = 3
	// longestWrite exceeds the longest timeout of a route. The ingress sets a
	// shorter bound for each request; this one makes the server renew it.
	longestWrite = 11 * time.Minute
	// drainTimeout bounds a planned stop.
	drainTimeout = time.Minute
	// drainNotice is how long a stopping node still serves everything, so that
	// the fleet learns that it is leaving and callers close their connections.
	drainNotice = 2 * time.Second
	// spreadTimeout bounds the push of crash evidence.
	spreadTimeout = 5 * time.Second
	// liftInterval is how often quarantine lifts are looked for.
	liftInterval = time.Second
)

// Node is one running node.
type Node struct {
	log     *slog.Logger
	cfg     *config.Config
	control *control.Control
	backend *guard.Backend
	guard   *guard.Guard
	limiter *guard.AdmissionLimiter
	ingress *ingress.Ingress
	pool    *peer.Pool
	metrics *obs.Metrics
	// peerTraffic counts the bytes on the peer listener: control and forwarded calls.
	peerTraffic peer.Traffic
	claims      *claims.Service
	rates       *rates.Service
	crashes     *guard.Crashes
	admin       *adminapi.API
	servers     []*server
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
	tls      bool
}

// New opens the listeners of a node.
func New(log *slog.Logger, cfg *config.Config, creds peer.Credentials, st platform.Store) (*Node, error) {
	self := membership.Member{
		ID:          cfg.Node.Name,
		Incarnation: uuid.Must(uuid.NewV7()).String(),
		DataCentre:  cfg.Node.DataCentre,
		Region:      cfg.Node.Region,
		PeerAddress: cfg.Node.PeerAddr,
		Status:      membership.Alive,
		Started:     time.Now(),
	}
	n := &Node{log: log, cfg: cfg, pool: peer.NewPool(creds), metrics: obs.NewMetrics()}
	client, err := resilient.New(st, resilient.DefaultConfig())
	if err != nil {
		return nil, err
	}
	changes := store.NewLog(client, store.WithSnapshots(client, store.DefaultSnapshotEvery))
	n.control = control.New(log, self, changes, n.pool, cfg.Peer.Seeds)
	n.wireControl(self)
	n.wireTraffic(self)
	n.registerMetrics()
	return n, n.listen(creds, changes)
}

// wireControl connects what runs between nodes: claims, rates and crash records.
func (n *Node) wireControl(self membership.Member) {
	log := n.log
	source := &rings{log: log, control: n.control}
	n.claims = claims.New(log, self.ID, self.Incarnation, source, n.pool)
	n.rates = rates.New(log, rates.Self{Node: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre}, source, n.pool)
	n.crashes = guard.NewCrashes(log, n.spreadCrash)
	n.control.SetHooks(control.Hooks{
		QuarantineOut:   n.crashes.Summary,
		QuarantineIn:    func(_ string, data []byte) { n.crashes.Receive(data) },
		QuarantineReply: func(_ string, data []byte) []byte { return n.crashes.Receive(data) },
		NextRing:        source.next,
		AcquireClaim:    n.claims.AcquireClaim,
		ReleaseClaim:    n.claims.ReleaseClaim,
		Borrow:          n.rates.Borrow,
		HandOver:        n.rates.HandOver,
	})
}

// wireTraffic builds the guard and the ingress.
func (n *Node) wireTraffic(self membership.Member) {
	log := n.log
	n.backend = guard.NewBackend(guard.Events{
		Announced: n.backendAnnounced,
		Lost:      n.backendLost,
		Died:      func(string) { n.crashes.BackendDied() },
	})
	n.limiter = guard.NewAdmissionLimiter(n.weight, encodeLoad)
	n.guard = guard.New(log, self.Incarnation, n.control, n.backend, guard.Parts{
		Limiter:    n.limiter,
		Rate:       n.rates,
		Claims:     guardClaims{n.claims},
		Quarantine: n.crashes,
	})
	forward := ingress.NewForwarder(log, n.pool.HTTP())
	n.ingress = ingress.New(log, n.control, n.guard, n.backend, forward, ingress.NewServices(), ingress.NewPressureTable(n.weight), n.metrics)
}

func (n *Node) listen(creds peer.Credentials, changes *store.Log) error {
	control := n.control.Handler()
	// No http.ServeMux: it would redirect calls whose path has "//".
	peerHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, call.PathPrefix+"/") {
			n.guard.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
	n.admin = adminapi.New(n.log, n.cfg.Operators, adminControl{n.control, n.crashes}, changes)
	adminMux := http.NewServeMux()
	adminMux.Handle("/metrics", obs.MetricsHandler(n.metrics.Set()))
	adminMux.Handle("/", n.admin)
	peerServer := &http.Server{Handler: peerHandler, TLSConfig: creds.Server, HTTP2: peer.ServerConfig()}
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{n.cfg.Node.Ingress, &http.Server{Handler: n.ingress, WriteTimeout: longestWrite}},
		{n.cfg.Node.PeerAddr, peerServer},
		{n.cfg.Node.Admin, &http.Server{Handler: adminMux}},
	} {
		if err := n.open(s.address, s.server); err != nil {
			n.closeAll()
			return err
		}
	}
	return nil
}

func (n *Node) open(address string, s *http.Server) error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return oops.In("node").With("step", "listen", "address", address).Wrap(err)
	}
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	if s.TLSConfig != nil {
		s.MaxHeaderBytes = maxPeerHeaderBytes
		l = n.peerTraffic.Listener(l)
	}
	s.ErrorLog = slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	n.servers = append(n.servers, &server{Server: s, listener: l, tls: s.TLSConfig != nil})
	return nil
}

func (n *Node) closeAll() {
	for _, s := range n.servers {
		s.listener.Close()
	}
}

// Run serves until ctx ends, then stops gracefully: the fleet is told, running
// requests end, and nothing is cut off within the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return n.control.Run(runCtx) })
	g.Go(func() error { return n.backend.Watch(runCtx) })
	g.Go(func() error { return n.limiter.Run(runCtx) })
	g.Go(func() error { return n.rates.Run(runCtx) })
	g.Go(func() error { return n.applyLifts(runCtx) })
	for _, s := range n.servers {
		g.Go(s.serve)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
		}
		defer stop()
		return n.shutdown()
	})
	n.log.Info("node started", "step", "start", "data_centre", n.cfg.Node.DataCentre, "ingress", n.cfg.Node.Ingress)
	return g.Wait()
}

// weight returns the weight of a workspace in the settings tree.
func (n *Node) weight(workspace string) float64 {
	if s := n.control.Snapshot().Settings; s != nil {
		return s.Workspace(workspace).Weight
	}
	return 1
}

// encodeLoad puts a guard's figures into the form in which they ride on
// responses.
func encodeLoad(l admission.Load) call.Load {
	return call.Load{Encoded: pressure.EncodeLoad(pressure.Load{
		Limit: l.Limit, Running: l.Running, Queued: l.Queued, Wait: l.Wait,
		ServiceTime: l.ServiceTime, ShedLevel: l.ShedLevel, AcceptRatio: l.AcceptRatio,
	})}
}

// backendAnnounced passes on what a backend server says about its load.
func (n *Node) backendAnnounced(a control.Announcement, fresh bool) {
	if fresh {
		n.log.Info("backend server announced", "step", "announce", "service", a.Service, "address", a.Address, "instance", a.Instance)
		n.limiter.Restart()
	}
	if s := n.control.Snapshot().Settings; s != nil {
		n.limiter.SetBounds(s.Service(a.Service).QueueTime, a.MaxConnections)
	}
	n.limiter.Report(a)
}

// spreadCrash sends crash evidence to all nodes at once. Gossip repairs what
// does not arrive.
func (n *Node) spreadCrash(evidence []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
		defer cancel()
		n.control.SpreadQuarantine(ctx, evidence)
	}()
}

// applyLifts passes the quarantine lifts of the change log on to the guard.
func (n *Node) applyLifts(ctx context.Context) error {
	t := time.NewTicker(liftInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if s := n.control.Snapshot().State; s != nil {
				n.crashes.Lift(s.Lifts)
			}
		}
	}
}

// backendLost tells the fleet that the node has no backend server.
func (n *Node) backendLost() {
	n.log.Warn("backend server lost", "step", "health")
	n.control.Announce(context.Background(), control.Announcement{})
}

func (s *server) serve() error {
	var err error
	if s.tls {
		err = s.ServeTLS(s.listener, "", "")
	} else {
		err = s.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// shutdown stops in the order in which work flows: first the fleet learns that
// the node is leaving and sends no new calls; then the guard's running calls
// end, while the ingress still serves their nested calls; then the ingress; and
// last the peer listener, which the other nodes' claims and tokens go through.
func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.log.Info("node stopping", "step", "drain")
	n.ingress.Leave()
	n.control.SetDraining(ctx)
	time.Sleep(drainNotice)
	err := n.guard.Drain(ctx)
	n.control.LeaveRing(ctx)
	n.rates.WaitHandOver(ctx)
	n.admin.Close()
	for _, s := range n.servers {
		err = errors.Join(err, s.Shutdown(ctx))
	}
	n.pool.Close()
	n.log.Info("node stopped", "step", "stop", "error", err)
	return err
}
