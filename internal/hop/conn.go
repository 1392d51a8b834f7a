package hop

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer and writeBuffer are the sizes of a connection's buffers, in bytes. Most
// requests and headers of answers fit.
const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
)

// NewDialer returns a dialer whose connections fail soon after the other side has
// gone silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
}

// silence is how long a connection may leave bytes or probes unacknowledged.
// Round trips take a few ms, so this covers several lost packets.
const silence = 1200 * time.Millisecond

// KeepAlive finds connections that went silent while an answer is awaited.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. It fits
// net.Dialer.Control and net.ListenConfig.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	raw    syscall.RawConn
	until  time.Time     // not used again after this
	usedAt time.Time     // end of the last exchange
	idle   time.Duration // after which the other side closes it; zero if it does not say
}

func setDeadline(ctx context.Context, c *conn) {
	d, _ := ctx.Deadline() // the zero time means no deadline
	c.SetDeadline(d)
}

// silent tells whether an idle connection is open and no byte has arrived.
func (c *conn) silent() bool {
	if c.r.Buffered() > 0 || c.raw == nil {
		return false
	}
	silent := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
