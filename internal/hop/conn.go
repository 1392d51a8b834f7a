package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/teaselseam/teaselseam/internal/httpcheck"
)

// Buffer sizes of a connection, in bytes. Most requests and response headers fit.
const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
)

// Bounds of the head of a response, so that a faulty peer that sends without end is
// noticed at once and costs little memory. The longest heads of backend servers are
// below 2 KB.
const (
	maxHeadBytes = 32 << 10
	// maxHeadTime runs from the first byte of the head. It allows for the
	// retransmission of lost packets.
	maxHeadTime = time.Second
)

// NewDialer returns a dialer whose connections fail within a few seconds once the
// peer stops responding.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
}

// maxUnacked is how long sent data may stay unacknowledged before the connection
// fails. Round trips take a few ms, so this tolerates several lost packets.
const maxUnacked = 1200 * time.Millisecond

// KeepAlive detects peers that stop responding while a response is awaited.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// SetUserTimeout sets TCP_USER_TIMEOUT, the time for which sent data may stay
// unacknowledged. It can be used as net.Dialer.Control and net.ListenConfig.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacked.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

// conn is a client connection. Its deadlines are set through begin, cancel and
// limitHead only, so that a cancelled exchange never gets more time.
type conn struct {
	net.Conn
	r               *bufio.Reader     // reads from responses
	responses       *httpcheck.Reader // reads from received
	received        *meteredReader
	w               *bufio.Writer
	raw             syscall.RawConn
	expiresAt       time.Time     // not reused after this time
	lastUsed        time.Time     // end of the last exchange
	peerIdleTimeout time.Duration // idle timeout announced by the peer; zero if it announced none
	reused          bool          // the present exchange is not the first
	// refusedIDs are the IDs of the requests that were refused on the connection. A copy of such
	// a refusal may still arrive, so the same request is not sent on it again.
	refusedIDs []string
	ambiguous  bool // what arrives next may be a copy that names no request

	mu        sync.Mutex
	deadline  time.Time // of the current exchange; zero if it has none
	cancelled bool
}

func newConn(nc net.Conn) *conn {
	received := &meteredReader{r: nc, remaining: unmetered}
	responses := httpcheck.NewReader(received)
	return &conn{
		Conn: nc, received: received, responses: responses,
		r: bufio.NewReaderSize(responses, readBuffer), w: bufio.NewWriterSize(nc, writeBuffer),
	}
}

// begin sets the deadline of the next exchange from ctx.
func (c *conn) begin(ctx context.Context) {
	d, _ := ctx.Deadline() // the zero time clears the deadline
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = d
	c.received.any = false
	c.SetDeadline(d)
}

// maxRefusedIDs bounds conn.refusedIDs. The connection is not reused after as many refusals.
const maxRefusedIDs = 16

// refused records that the peer has refused a request without running it. named is false if
// the refusal does not name the request.
func (c *conn) refused(id string, named bool) {
	c.refusedIDs = append(c.refusedIDs, id)
	c.ambiguous = c.ambiguous || !named || len(c.refusedIDs) >= maxRefusedIDs
}

// hasRefused reports whether the peer has refused the request on this connection before.
func (c *conn) hasRefused(id string) bool { return id != "" && slices.Contains(c.refusedIDs, id) }

// cancel makes the current exchange fail.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	c.SetDeadline(time.Unix(1, 0))
}

// dropUnsent makes Close reset the connection. A peer that does not read would otherwise learn
// of the end only behind the part of the request that it has not taken.
func (c *conn) dropUnsent() {
	if tc, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tc.SetLinger(0) // fails only if the connection is closed
	}
}

// limitHead bounds the size of the response head that is read next and the time that
// the rest of it takes.
func (c *conn) limitHead() {
	c.received.remaining = maxHeadBytes
	c.setReadDeadline(time.Now().Add(maxHeadTime))
}

// unlimitHead ends the bounds of limitHead: a body has the time of its exchange.
func (c *conn) unlimitHead() {
	c.received.remaining = unmetered
	c.setReadDeadline(time.Time{})
}

// setReadDeadline sets the read deadline to t, or to that of the exchange if that is
// earlier or t is zero.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return
	}
	if t.IsZero() || !c.deadline.IsZero() && c.deadline.Before(t) {
		t = c.deadline
	}
	c.SetReadDeadline(t)
}

// unmetered is the value of meteredReader.remaining without a limit.
const unmetered = -1

// errHeadTooLarge is returned if the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("response head exceeds the size limit")

// meteredReader fails once more than a limited number of bytes has been read.
type meteredReader struct {
	r         io.Reader
	remaining int64 // unmetered for no limit
	any       bool  // something was received since the exchange began
}

func (m *meteredReader) Read(b []byte) (int, error) {
	if m.remaining == 0 {
		return 0, errHeadTooLarge
	}
	if m.remaining != unmetered {
		b = b[:min(int64(len(b)), m.remaining)]
	}
	n, err := m.r.Read(b)
	if m.any = m.any || n > 0; m.remaining != unmetered {
		m.remaining -= int64(n)
	}
	return n, err
}

// reusable reports whether an idle connection is still open and has no unread data.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 || c.raw == nil {
		return false
	}
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && ok
}
