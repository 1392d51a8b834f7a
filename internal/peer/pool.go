package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/peerpb"
)

// Connection limits and timers between nodes.
const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout exceeds the longest time between two exchanges with one partner,
	// so that gossip does not pay for a handshake each time.
	idleTimeout = 90 * time.Second
	// pingInterval and pingTimeout find a connection for forwarded calls that went
	// silent: after pingInterval without a byte a ping is sent, and without its
	// response within pingTimeout the connection is closed.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// serverPingInterval is longer, because callers find silence by themselves. With
	// pings every second, 40 idle gossip connections take most of the 11 KB/s that
	// a node has for control.
	serverPingInterval = 15 * time.Second
	// callTimeout bounds each call of the twirp services. A connection on which a
	// call ran into it is not used again.
	callTimeout = 2 * time.Second
	// maxStreams is the number of concurrent calls on one connection.
	maxStreams = 1000
	// maxPeers is the number of peers whose clients are kept; the least recently
	// used goes first.
	maxPeers = 4096
)

// Pool holds the connections to all peers. It is safe for concurrent use.
type Pool struct {
	creds Credentials
	http  *http.Client
	mu    sync.Mutex
	peers map[string]*client

	control, calls Traffic
}

// client is the twirp client of one peer.
type client struct {
	peerpb.Peer
	transport *controlTransport
	used      time.Time
}

// NewPool returns a pool that authenticates with the given credentials.
func NewPool(creds Credentials) *Pool {
	p := &Pool{creds: creds, peers: map[string]*client{}}
	transport := newTransport(creds, &p.calls)
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout}
	p.http = &http.Client{Transport: transport}
	return p
}

func newTransport(creds Credentials, traffic *Traffic) *http.Transport {
	return &http.Transport{
		DialContext:         traffic.dialer(&net.Dialer{Timeout: dialTimeout, KeepAlive: serverPingInterval}),
		TLSClientConfig:     creds.Client.Clone(), // http.Transport changes it
		ForceAttemptHTTP2:   true,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
	}
}

// Control returns the traffic of the twirp calls that this node makes.
func (p *Pool) Control() *Traffic { return &p.control }

// HTTP returns the client for forwarded calls.
func (p *Pool) HTTP() *http.Client { return p.http }

// Client returns the twirp client of a peer address. Its calls end within
// callTimeout, and after a failure the next call uses a new connection.
func (p *Pool) Client(address string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.peers[address]
	if !ok {
		if len(p.peers) >= maxPeers {
			p.dropOldest()
		}
		t := &controlTransport{creds: p.creds, traffic: &p.control, base: newTransport(p.creds, &p.control)}
		c = &client{Peer: peerpb.NewPeerProtobufClient("https://"+address, &http.Client{Transport: t}), transport: t}
		p.peers[address] = c
	}
	c.used = time.Now()
	return c.Peer
}

func (p *Pool) dropOldest() {
	var oldest string
	for address, c := range p.peers {
		if oldest == "" || c.used.Before(p.peers[oldest].used) {
			oldest = address
		}
	}
	p.peers[oldest].transport.closeIdle()
	delete(p.peers, oldest)
}

// Close drops idle connections.
func (p *Pool) Close() {
	p.http.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.peers {
		c.transport.closeIdle()
	}
}

// controlTransport carries the twirp calls to one peer. It needs no pings: a call
// that fails makes the next one use a new connection.
type controlTransport struct {
	creds   Credentials
	traffic *Traffic
	mu      sync.Mutex
	base    *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *controlTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	base := t.current()
	resp, err := base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel()
		if !errors.Is(err, context.Canceled) {
			t.replace(base)
		}
		return nil, err
	}
	noteServer(resp)
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel, failed: func() { t.replace(base) }}
	return resp, nil
}

func (t *controlTransport) current() *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.base
}

// replace makes later calls use a new connection. Calls that run on the old one
// may still end; it is closed once it is idle.
func (t *controlTransport) replace(failed *http.Transport) {
	t.mu.Lock()
	if t.base == failed {
		t.base = newTransport(t.creds, t.traffic)
	}
	t.mu.Unlock()
	failed.CloseIdleConnections()
}

func (t *controlTransport) closeIdle() { t.current().CloseIdleConnections() }

// body ends the deadline of a call when its response has been read.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	failed func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		b.failed()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// ServerConfig returns the HTTP/2 settings of the peer listener.
func ServerConfig() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      serverPingInterval,
		PingTimeout:          serverPingInterval,
	}
}
