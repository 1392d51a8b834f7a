// Package presence tells whether the caller of a request still waits for the response.
//
// A net/http server learns that a caller has left from a goroutine of its own, which reads from the connection while the
// handler runs. On a busy node both are runnable at the same time, and a handler that does not wait for anything goes
// first: requests that were received together with the end of their connection were sent on to backend servers. The
// server does not read at all while a request body or requests sent ahead stand unread. Left asks the kernel instead,
// without reading, at the moment at which work for the caller is about to begin.
package presence

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// WithConn is for http.Server.ConnContext: it stores the connection of the caller for Left and
// Watch. Connections without a file descriptor are ignored.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx // already closed, which the server notices by itself
	}
	return context.WithValue(ctx, connKey{}, raw)
}

// Left reports whether the caller of the request with this context has left: the context has
// ended, or the caller has closed its side of the connection, even if that was not read yet.
// Without a connection in the context only the context counts.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	return ok && Closed(raw)
}

// Closed reports whether the peer has closed its side of a connection, or this process the
// connection itself. It neither waits nor reads.
func Closed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	return err != nil || closed
}

// peerClosed also finds an end of the stream that stands behind unread bytes.
func peerClosed(fd int) bool {
	var b [1]byte
	switch n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
	case err != nil:
		return err != unix.EAGAIN && err != unix.EINTR
	case n == 0:
		return true
	}
	poll := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll[:], 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// watchInterval is how often Await looks. It is far below the time after which work for a
// caller that has left counts as lost (500 ms).
const watchInterval = 100 * time.Millisecond

// Await waits until the peer of a connection has closed its side, and returns true, or until
// stop is closed. It is for connections from which nobody reads.
func Await(raw syscall.RawConn, stop <-chan struct{}) (closed bool) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return false
		case <-t.C:
			if Closed(raw) {
				return true
			}
		}
	}
}

// Watch returns a context that ends when ctx does or the caller has left, for a request whose
// connection nobody reads. The returned function ends the watch.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	ctx, cancel := context.WithCancel(ctx)
	if ok {
		go func() {
			if Await(raw, ctx.Done()) {
				cancel()
			}
		}()
	}
	return ctx, cancel
}
