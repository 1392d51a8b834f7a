package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

// relay passes bytes between a client and a server, or swallows those of the
// connections that were open when it was told to.
type relay struct {
	net.Listener
	target   string
	mu       sync.Mutex
	silent   []*atomic.Bool
	accepted int
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: l, target: target}
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		silent := new(atomic.Bool)
		r.mu.Lock()
		r.accepted++
		r.silent = append(r.silent, silent)
		r.mu.Unlock()
		go pass(in, out, silent)
		go pass(out, in, silent)
	}
}

func pass(from, to net.Conn, silent *atomic.Bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// goSilent swallows the bytes of all open connections and returns how many
// connections there have been.
func (r *relay) goSilent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
	return r.accepted
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// start serves a handler with mutual TLS and returns the pool of a second node.
func start(t *testing.T, h http.Handler) (address string, pool *peer.Pool) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ca, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	server, err := ca.Credentials("server")
	if err != nil {
		t.Fatal(err)
	}
	client, err := ca.Credentials("client")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(h)
	s.TLS, s.EnableHTTP2, s.Config.HTTP2 = server.Server, true, peer.ServerConfig()
	s.StartTLS()
	pool = peer.NewPool(client)
	t.Cleanup(func() { pool.Close(); s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), pool
}

// probed answers probes and notes who asked.
type probed struct {
	peerpb.Peer
	from atomic.Value
}

func (p *probed) Probe(ctx context.Context, _ *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	name, _ := peer.NodeName(ctx)
	p.from.Store(name)
	return &peerpb.ProbeResponse{Reached: true}, nil
}

// TestSilentConnection guards against calls that hang, and later calls that are
// sent into the same void, when a connection loses its path without an error (F7).
func TestSilentConnection(t *testing.T) {
	address, pool := start(t, peer.Identify(peerpb.NewPeerServer(&probed{})))
	r := newRelay(t, address)
	defer r.Close()
	via := r.Addr().String()
	kinds := map[string]func(context.Context) error{
		"twirp": func(ctx context.Context) error {
			_, err := pool.Client(via).Probe(ctx, &peerpb.ProbeRequest{})
			return err
		},
		"forward": func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+via+"/", nil)
			if err != nil {
				return err
			}
			resp, err := pool.HTTP().Do(req)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return err
		},
	}
	for name, call := range kinds {
		// The deadline is ten times what is expected, so that a slow machine does not
		// fail the test; without detection the call would run into it.
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if err := call(ctx); err != nil {
			t.Fatal(name, err)
		}
		before := r.goSilent()
		if err := call(ctx); err == nil {
			t.Errorf("%s: a call on a silent connection succeeded", name)
		}
		if ctx.Err() != nil {
			t.Errorf("%s: a call on a silent connection ran until the caller's deadline", name)
		}
		if err := call(ctx); err != nil {
			t.Errorf("%s: the call after a silent connection failed: %v", name, err)
		}
		if r.connections() == before {
			t.Errorf("%s: the call after a silent connection opened no new one", name)
		}
		cancel()
	}
}

// TestIdentity guards against a node that speaks for another one: both ends see
// the name in the other's certificate.
func TestIdentity(t *testing.T) {
	p := &probed{}
	address, pool := start(t, peer.Identify(peerpb.NewPeerServer(p)))
	ctx, server := peer.ObserveServer(context.Background())
	if _, err := pool.Client(address).Probe(ctx, &peerpb.ProbeRequest{}); err != nil {
		t.Fatal(err)
	}
	if p.from.Load() != "client" || *server != "server" {
		t.Fatalf("server sees %q, client sees %q", p.from.Load(), *server)
	}
}
