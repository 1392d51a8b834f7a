package hop

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// answerEarly answers a request before it has read the body: a head without a length, a part of
// the body, and then the end of the connection.
func answerEarly(t *testing.T, part int, pause time.Duration, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				c.Read(make([]byte, 4<<10))
				io.WriteString(c, signedHead+"\r\n"+strings.Repeat("a", part))
				time.Sleep(pause)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// uploadTo sends uploads of 3 MB and returns how many were answered with success and how many
// body bytes the shortest of these answers had.
func uploadTo(t *testing.T, addr string, uploads int, chunked bool) (whole int64, shortest int) {
	t.Helper()
	shortest = -1
	var mu sync.Mutex
	var wg sync.WaitGroup
	p := newTestPool()
	slots := make(chan struct{}, 16)
	for i := range uploads {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			call := newCall("r1", "")
			data := strings.Repeat("u", 3<<20)
			call.Body = Body{Data: []byte(data), Length: int64(len(data))}
			if i%2 == 1 {
				call.Body = Body{Data: []byte(data[:MaxBufferedBody]), Rest: &bodyRest{r: strings.NewReader(data[MaxBufferedBody:])}, Length: int64(len(data))}
			}
			if chunked {
				call.Body.Length = -1
			}
			resp, err := toBackend(t, p, addr, call)
			if err != nil {
				return
			}
			n := len(resp.Body)
			if resp.Rest != nil {
				rest, err := io.ReadAll(resp.Rest)
				resp.Close()
				if err != nil {
					return
				}
				n += len(rest)
			}
			mu.Lock()
			defer mu.Unlock()
			if whole++; shortest < 0 || n < shortest {
				shortest = n
			}
		})
	}
	wg.Wait()
	return whole, shortest
}

// TestResetIsNoEnd guards against taking the part of an answer without a length that arrived
// before a reset for the whole: the error of the connection is told to the side that writes the
// request, and the side that reads sees a plain end.
func TestResetIsNoEnd(t *testing.T) {
	for _, part := range []int{2_000, 300_000} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("part=%d,pause=%v,chunked=%t", part, pause, chunked), func(t *testing.T) {
					t.Parallel()
					addr := answerEarly(t, part, pause, func(c *net.TCPConn) { c.SetLinger(0) })
					if n, _ := uploadTo(t, addr, 64, chunked); n > 0 {
						t.Errorf("%d of 64 answers that were reset count as whole", n)
					}
				})
			}
		}
	}
}

// TestEarlyAnswerEndsInOrder guards against losing an answer without a length whose backend server
// ends its side in order and reads the rest of the upload.
func TestEarlyAnswerEndsInOrder(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		var read atomic.Int64
		addr := answerEarly(t, 2_000, 0, func(c *net.TCPConn) {
			c.CloseWrite()
			n, _ := io.Copy(io.Discard, c)
			read.Add(n)
		})
		if n, shortest := uploadTo(t, addr, 16, chunked); n != 16 || shortest != 2_000 {
			t.Errorf("chunked %t: %d of 16 answers are whole, the shortest has %d bytes", chunked, n, shortest)
		}
	}
}

// TestFailedUploadIsNoEnd guards against taking an answer without a length for the whole if the
// request was not sent to its end.
func TestFailedUploadIsNoEnd(t *testing.T) {
	server := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, signedHead+"\r\npart")
		return false
	})
	call := newCall("r1", "")
	call.Body = Body{Data: make([]byte, 4<<10), Rest: &failingReader{}, Length: -1}
	if resp, err := toBackend(t, newTestPool(), server.addr, call); err == nil {
		t.Errorf("got %q of a request whose body was cut off", resp.Body)
	}
}

// TestResetToldToWriter is TestResetIsNoEnd with the order that loses the error: the side that
// writes the request has been told of the reset before the other reads.
func TestResetToldToWriter(t *testing.T) {
	answered := make(chan struct{})
	addr := answerEarly(t, 2_000, 0, func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // for the answer to arrive
		c.SetLinger(0)
		c.Close()
		close(answered)
	})
	c, err := newTestPool().get(t.Context(), exchange{addr: addr, call: newCall("r1", "x"), choice: connNew})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST / HTTP/1.1\r\n")
	<-answered
	written := make(chan error, 1)
	for err == nil {
		_, err = c.Write(make([]byte, 1<<10))
	}
	written <- err
	resp, _, err := c.receive(exchange{call: newCall("r1", "x")}, written)
	if err == nil {
		t.Errorf("an answer that was reset counts as whole with %d bytes", len(resp.Body))
	}
}
