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

// Buffer sizes of a connection, in bytes. Most requests and response headers fit.
const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
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

type conn struct {
	net.Conn
	r               *bufio.Reader
	w               *bufio.Writer
	raw             syscall.RawConn
	expiresAt       time.Time     // not reused after this time
	lastUsed        time.Time     // end of the last exchange
	peerIdleTimeout time.Duration // idle timeout announced by the peer; zero if it announced none
}

func setDeadline(ctx context.Context, c *conn) {
	d, _ := ctx.Deadline() // the zero time clears the deadline
	c.SetDeadline(d)
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
