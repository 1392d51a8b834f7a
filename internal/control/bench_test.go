package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
)

const benchDCs = 13

func benchMember(i int) membership.Member {
	return membership.Member{
		ID: fmt.Sprintf("node-%04d", i), Incarnation: fmt.Sprintf("01939f6e-7c00-7000-8000-%012d", i),
		DataCentre: fmt.Sprintf("region-%d-dc-%02d", i%benchDCs/4, i%benchDCs), Region: fmt.Sprintf("region-%d", i%benchDCs/4),
		PeerAddress: fmt.Sprintf("10.%d.%d.7:8081", i/250, i%250), Status: membership.Alive, Version: 7,
		Service: fmt.Sprintf("service-%03d", i%160), Started: time.UnixMilli(1_700_000_000_000), MaxConnections: 750,
		BackendStarted: time.UnixMilli(1_700_000_000_000), AppliedSeq: 123_456,
	}
}

// pair returns two nodes that know n members, and that have evidence of all data
// centres.
func pair(n int, now time.Time) (a, b *membership.State) {
	table := membership.Exchange{Self: benchMember(1), Seq: 123_456, Full: true, MembersDigest: 1}
	for i := range n {
		table.Members = append(table.Members, benchMember(i))
	}
	for i := range min(n, benchDCs) {
		table.Evidence = append(table.Evidence, membership.Evidence{Source: benchMember(i).DataCentre, Age: time.Second})
	}
	states := []*membership.State{}
	for i := range 2 {
		s := membership.New(membership.Config{Seeds: []string{"10.0.0.0:1"}}, benchMember(i), now)
		s.Applied(now, 123_456, func(membership.Digest) bool { return false })
		s.PlatformRead(now, now)
		s.Answer(now, now, "", table)
		states = append(states, s)
	}
	a, b = states[0], states[1]
	b.Handle(now, a.Request(now, "", false)) // each learns the other's new version
	a.Handle(now, b.Request(now, "", false))
	return a, b
}

// BenchmarkMembership measures one node in a fleet of n: protobuf bytes a second
// sent and received, and CPU time per exchange, in steady state and while deltas
// fill every message; and the memory per member.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{10, 50, 200, 1800} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/busy=%t", n, busy), func(b *testing.B) { benchExchanges(b, n, busy) })
		}
	}
}

func benchExchanges(b *testing.B, n int, busy bool) {
	now := time.UnixMilli(1_700_000_100_000)
	rnd := rand.New(rand.NewPCG(1, 1))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, other := pair(n, now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	start, bytes, exchanges, version := now, 0, 0, uint64(9)
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		if busy { // five changes a tick are more than the deltas can carry
			for range 5 {
				m := benchMember(2 + rnd.IntN(n-2))
				m.Version = version
				version += 2
				other.Answer(now, now, "", membership.Exchange{Self: m, Seq: -1, MembersDigest: other.Digest()})
				s.Answer(now, now, "", membership.Exchange{Self: m, Seq: -1, MembersDigest: s.Digest()})
			}
		}
		for _, a := range s.Tick(now, rnd) {
			bytes += exchange(b, now, s, other, a)
			bytes += exchange(b, now, other, s, a) // as many are served as are started
			exchanges += 2
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(bytes)/now.Sub(start).Seconds(), "B/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, exchanges)), "ns/exchange")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(2*n), "B/member")
	runtime.KeepAlive(s)
}

// exchange sends through protobuf and returns the bytes of both messages.
func exchange(b *testing.B, now time.Time, from, to *membership.State, a membership.Action) int {
	req, err := proto.Marshal(requestToPB(from.Request(now, a.Peer.ID, a.Full), nil))
	if err != nil {
		b.Fatal(err)
	}
	var in peerpb.ExchangeRequest
	if err := proto.Unmarshal(req, &in); err != nil {
		b.Fatal(err)
	}
	resp, err := proto.Marshal(responseToPB(to.Handle(now, exchangeFromPB(&in, in.GetFull())), nil))
	if err != nil {
		b.Fatal(err)
	}
	var out peerpb.ExchangeResponse
	if err := proto.Unmarshal(resp, &out); err != nil {
		b.Fatal(err)
	}
	from.Answer(now, now, "", exchangeFromPB(&out, a.Full))
	return len(req) + len(resp)
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.bytes.Add(int64(n))
	return n, err
}

// wireServer answers exchanges like a node of a fleet of 1,800 in steady state.
type wireServer struct {
	peerpb.Peer
	resp *peerpb.ExchangeResponse
}

func (s *wireServer) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.resp, nil
}

// BenchmarkWire measures an exchange over TLS and HTTP/2 on loopback, with both
// ends in one process: bytes with their framing, and the bytes of a handshake.
func BenchmarkWire(b *testing.B) {
	now := time.UnixMilli(1_700_000_100_000)
	s, other := pair(1800, now)
	req := requestToPB(s.Request(now, "", false), nil)
	ca, err := peer.NewDevAuthority()
	if err != nil {
		b.Fatal(err)
	}
	creds, err := ca.Credentials("node-0001")
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewUnstartedServer(peerpb.NewPeerServer(&wireServer{resp: responseToPB(other.Handle(now, exchangeFromPB(req, req.GetFull())), nil)}))
	l := &countingListener{Listener: server.Listener}
	server.Listener, server.TLS, server.EnableHTTP2 = l, creds.Server, true
	server.Config.HTTP2 = peer.ServerConfig()
	server.StartTLS()
	defer server.Close()
	pool := peer.NewPool(creds)
	defer pool.Close()
	client := pool.Client(l.Addr().String())
	call := func() {
		if _, err := client.Exchange(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
	call()
	handshake := l.bytes.Load()
	n := 0
	for b.Loop() {
		call()
		n++
	}
	perExchange := float64(l.bytes.Load()-handshake) / float64(n)
	b.ReportMetric(perExchange, "B/exchange")
	b.ReportMetric(float64(handshake)-perExchange, "B/handshake")
}

// BenchmarkFresh measures the check on the traffic path, without reading the clock.
func BenchmarkFresh(b *testing.B) {
	c := NewWithConfig(Config{})
	now := time.Now()
	c.freshFrom.Store(&now)
	for b.Loop() {
		if !c.Fresh(now) {
			b.Fatal("not fresh")
		}
	}
}
