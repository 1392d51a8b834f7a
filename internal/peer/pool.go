package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/peerpb"
)

// Connection limits and timers between nodes.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// pingInterval and pingTimeout find a connection that went silent: after
	// pingInterval without a byte a ping is sent, and without its response
	// within pingTimeout the connection is closed.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// maxStreams is the number of concurrent calls on one connection.
	maxStreams = 1000
)

// Pool holds the connections to all peers. It is safe for concurrent use.
type Pool struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]peerpb.Peer
}

// NewPool returns a pool that authenticates with the given credentials.
func NewPool(creds Credentials) *Pool {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: pingInterval}).DialContext,
		TLSClientConfig:     creds.Client,
		ForceAttemptHTTP2:   true,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
	}
	return &Pool{http: &http.Client{Transport: transport}, clients: map[string]peerpb.Peer{}}
}

// HTTP returns the client for forwarded calls.
func (p *Pool) HTTP() *http.Client { return p.http }

// Client returns the twirp client of a peer address.
func (p *Pool) Client(address string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = peerpb.NewPeerProtobufClient("https://"+address, p.http)
		p.clients[address] = c
	}
	return c
}

// Close drops idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// ServerConfig returns the HTTP/2 settings of the peer listener.
func ServerConfig() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingInterval, PingTimeout: pingTimeout}
}
