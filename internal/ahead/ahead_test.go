package ahead

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// server is an HTTP server on a Listener, or on a plain one.
type server struct {
	http.Server
	address string
	ahead   *Listener

	mu      sync.Mutex
	run     []string // paths of the requests that were handled
	arrived []time.Time
}

func serve(t *testing.T, plain bool, h http.HandlerFunc) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), ahead: &Listener{Listener: l}}
	s.ReadHeaderTimeout, s.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		at := c.Begin(time.Now(), r.Close)
		defer c.End()
		s.mu.Lock()
		s.run, s.arrived = append(s.run, r.URL.Path), append(s.arrived, at)
		s.mu.Unlock()
		h(w, r)
	})
	if !plain {
		s.ConnContext, s.ConnState, l = s.ahead.ConnContext, s.ahead.ConnState, s.ahead
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s
}

func (s *server) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func (s *server) handled() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.run, " ")
}

func get(path string) string { return "GET /" + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// post has a body and an additional header of the given size.
func post(path string, size int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, strings.Repeat("h", size), size, strings.Repeat("b", size))
}

func pause() { time.Sleep(30 * time.Millisecond) }

// TestLeavingCaller guards against running a request to its end although its caller has
// left, because the caller had sent further requests ahead. net/http alone does not notice
// it; once it does, this package is not needed.
func TestLeavingCaller(t *testing.T) {
	for name, x := range map[string]struct {
		plain    bool
		send     []string // with a pause between each
		running  string   // request during which the caller leaves
		reset    bool
		noticed  bool
		requests string
	}{
		"net/http, none ahead":   {plain: true, send: []string{get("a")}, running: "/a", noticed: true, requests: "/a"},
		"net/http, one ahead":    {plain: true, send: []string{get("a"), get("b")}, running: "/a", requests: "/a"},
		"none ahead":             {send: []string{get("a")}, running: "/a", noticed: true, requests: "/a"},
		"one ahead":              {send: []string{get("a"), get("b")}, running: "/a", noticed: true, requests: "/a"},
		"one ahead, reset":       {send: []string{get("a"), get("b")}, running: "/a", reset: true, noticed: true, requests: "/a"},
		"in one piece":           {send: []string{get("a") + get("b") + get("c")}, running: "/b", noticed: true, requests: "/a /b"},
		"part of one ahead":      {send: []string{get("a"), get("b")[:9]}, running: "/a", noticed: true, requests: "/a"},
		"behind a body":          {send: []string{post("a", 3000), get("b")}, running: "/a", noticed: true, requests: "/a"},
		"during one sent ahead":  {send: []string{get("a"), get("b"), get("c")}, running: "/b", noticed: true, requests: "/a /b"},
		"more than is buffered":  {send: []string{get("a"), post("b", 3*maxBytes)}, running: "/a", noticed: true, requests: "/a"},
		"more than net/http has": {send: []string{get("a"), post("b", 1500) + post("c", 1500) + get("d")}, running: "/b", noticed: true, requests: "/a /b"},
	} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan error, 1)
			s := serve(t, x.plain, func(_ http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if r.URL.Path != x.running {
					time.Sleep(4 * 30 * time.Millisecond)
					return
				}
				close(begun)
				select {
				case <-r.Context().Done():
					ended <- r.Context().Err()
				case <-time.After(600 * time.Millisecond):
					ended <- nil
				}
			})
			c := s.dial(t)
			for _, part := range x.send {
				io.WriteString(c, part)
				pause()
			}
			<-begun
			pause()
			if x.reset {
				c.SetLinger(0)
			}
			c.Close()
			if err := <-ended; (err != nil) != x.noticed {
				t.Errorf("the context ended with %v, want noticed %v", err, x.noticed)
			}
			pause()
			if got := s.handled(); !x.plain && got != x.requests {
				t.Errorf("handled %s, want %s", got, x.requests)
			}
		})
	}
}

// TestOrder guards against responses out of order and against bytes lost or doubled between
// what was read ahead and what is read after, however the requests are cut.
func TestOrder(t *testing.T) {
	for seed := range uint64(4) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := serve(t, false, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			time.Sleep(time.Duration(len(r.URL.Path)) * 500 * time.Microsecond)
			fmt.Fprint(w, r.URL.Path, " ", n)
		})
		var stream strings.Builder
		var want []string
		for i := range 60 {
			size := rnd.IntN(3000)
			stream.WriteString(post(strconv.Itoa(i), size))
			want = append(want, fmt.Sprint("/", i, " ", size))
		}
		c := s.dial(t)
		go func() {
			for rest := stream.String(); rest != ""; {
				n := min(1+rnd.IntN(9000), len(rest))
				io.WriteString(c, rest[:n])
				rest = rest[n:]
				time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond)
			}
		}()
		r := bufio.NewReader(c)
		for i, w := range want {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("seed %d, response %d: %v", seed, i, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != w {
				t.Fatalf("seed %d, response %d: %q, %v; want %q", seed, i, body, err, w)
			}
		}
		if n := s.ahead.Requests(); n < 30 || n > 59 {
			t.Errorf("seed %d: %d of 60 requests counted as sent ahead", seed, n)
		}
	}
}

// TestClosing guards against handling requests behind a response that closes the connection,
// and against resetting the connection before the caller has read that response.
func TestClosing(t *testing.T) {
	const size = 1 << 20
	s := serve(t, false, func(w http.ResponseWriter, r *http.Request) {
		pause()
		if r.URL.Path == "/b" {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", strconv.Itoa(size))
			w.Write(make([]byte, size))
		}
	})
	c := s.dial(t)
	go func() {
		for i := range 50 { // the caller goes on sending until it sees the end
			if _, err := io.WriteString(c, get(string(rune('a'+i%26)))); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	r := bufio.NewReaderSize(c, 1<<10)
	for _, want := range []int64{0, size} {
		time.Sleep(50 * time.Millisecond) // a slow reader
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != want || err != nil {
			t.Fatalf("%d bytes, %v; want %d", n, err, want)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("behind the last response: %v, want EOF", err)
	}
	if got := s.handled(); got != "/a /b" {
		t.Errorf("handled %s", got)
	}
	c.Close()
	s.ahead.Wait(lingerTime)
	if n := s.ahead.lingering.Load(); n != 0 {
		t.Errorf("%d connections still linger", n)
	}
}

// TestCallerNeverCloses guards against a connection that lingers for ever behind its last
// response, because the caller neither closes it nor stops sending.
func TestCallerNeverCloses(t *testing.T) {
	s := serve(t, false, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	c := s.dial(t)
	go func() {
		for {
			if _, err := io.WriteString(c, get("a")); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	began := time.Now()
	io.Copy(io.Discard, c)
	for s.ahead.lingering.Load() > 0 && time.Since(began) < 2*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(began); took > 2*lingerTime+200*time.Millisecond {
		t.Errorf("lingers for %v", took)
	}
}

// TestUnreadOnIdleConnection guards against reading a request that arrives while the server
// closes an idle connection: the caller may send it again only if it was not read.
func TestUnreadOnIdleConnection(t *testing.T) {
	s := serve(t, false, func(http.ResponseWriter, *http.Request) {})
	c := s.dial(t)
	io.WriteString(c, get("a"))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	pause()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Shutdown(ctx)
	if n := s.ahead.lingering.Load(); n != 0 {
		t.Error("the idle connection is read further")
	}
}

// TestBounded guards against memory that grows with what a caller sends ahead.
func TestBounded(t *testing.T) {
	conns, release := make(chan *Conn, 1), make(chan struct{})
	s := serve(t, false, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			conns <- FromContext(r.Context())
			<-release
		}
		io.Copy(io.Discard, r.Body)
	})
	c := s.dial(t)
	const requests = 2000
	go func() {
		io.WriteString(c, get("first"))
		pause()
		for range requests {
			if _, err := io.WriteString(c, post("x", 4000)); err != nil {
				return
			}
		}
	}()
	held := <-conns
	time.Sleep(10 * 30 * time.Millisecond)
	held.mu.Lock()
	if n := len(held.buffered); n == 0 || n > maxBytes || cap(held.space) > maxBytes {
		t.Errorf("%d bytes are held", n)
	}
	held.mu.Unlock()
	close(release)
	r := bufio.NewReader(c)
	for i := range requests + 1 {
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %v", i, err)
		}
	}
}

// TestTimeouts guards against losing the server's time limits on a connection that was read
// ahead: the limit of a request's head and that of an idle connection.
func TestTimeouts(t *testing.T) {
	for _, rest := range []string{"", get("c")[:9]} {
		s := serve(t, false, func(http.ResponseWriter, *http.Request) { time.Sleep(3 * 30 * time.Millisecond) })
		c := s.dial(t)
		io.WriteString(c, get("a"))
		pause()
		io.WriteString(c, get("b")+rest)
		began := time.Now()
		c.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("rest %q: %v", rest, err)
		}
		if took := time.Since(began); took < s.IdleTimeout || took > 1500*time.Millisecond {
			t.Errorf("rest %q: closed after %v", rest, took)
		}
		if s.handled() != "/a /b" {
			t.Errorf("handled %s", s.handled())
		}
	}
}

// TestArrival guards against counting the time of a request from when its turn came instead
// of from when it arrived.
func TestArrival(t *testing.T) {
	for _, piecewise := range []bool{false, true} {
		s := serve(t, false, func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) })
		c := s.dial(t)
		began := time.Now()
		io.WriteString(c, get("a"))
		if piecewise {
			pause()
		}
		io.WriteString(c, get("b")+get("c"))
		r := bufio.NewReader(c)
		for range 3 {
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Fatal(err)
			}
		}
		for i, at := range s.arrived {
			if late := at.Sub(began); late > 150*time.Millisecond {
				t.Errorf("piecewise %v: request %d arrived after %v", piecewise, i, late)
			}
		}
	}
}

// TestConcurrentEnds guards against races and deadlocks between callers that leave at any
// moment, handlers that end and a server that closes.
func TestConcurrentEnds(t *testing.T) {
	s := serve(t, false, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		if rand.IntN(10) == 0 {
			w.Header().Set("Connection", "close")
		}
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler)
		}
	})
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			for range 10 {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					return
				}
				go io.Copy(io.Discard, c)
				for range rand.IntN(6) {
					io.WriteString(c, get("a"))
					time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
				}
				c.Close()
			}
		})
	}
	callers.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
