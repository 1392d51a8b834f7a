package hop

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

// errNotInOrder is returned if the body of a response without a length ended with a failure of
// its exchange, so that the rest of it may be missing.
var errNotInOrder = errors.New("response without a length ended with a failed exchange")

// unframedBody reads the body of a response that states no length and ends with its connection.
// The kernel tells an error of a connection once, to a read or to a write, and the other sees a
// plain end. So the end of the stream is the end of the body only if the request was written
// without an error as well.
type unframedBody struct {
	io.ReadCloser
	conn    *conn
	written chan error // receives the result of writing the request body; nil if that is done
}

// Read implements io.Reader.
func (u *unframedBody) Read(b []byte) (int, error) {
	n, err := u.ReadCloser.Read(b)
	if err == io.EOF {
		err = u.end()
	}
	return n, err
}

// end returns io.EOF if the connection ended in order.
func (u *unframedBody) end() error {
	if u.written == nil {
		return io.EOF
	}
	// The writer may have been told of an error and not have returned yet.
	t := time.NewTimer(bodyWriteGrace)
	defer t.Stop()
	select {
	case err := <-u.written:
		u.written <- err // for bodyWritten
		if err != nil {
			return errors.Join(errNotInOrder, err)
		}
		return io.EOF
	case <-t.C:
	}
	if u.conn.lost() {
		return errNotInOrder
	}
	return io.EOF
}

// lost reports whether the connection is closed in both directions, which this side has not done.
// A peer that has ended its side in order still reads.
func (c *conn) lost() bool {
	if c.raw == nil {
		return false
	}
	lost := false
	err := c.raw.Control(func(fd uintptr) {
		poll := [1]unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(poll[:], 0)
		lost = err != nil || poll[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
	})
	return err != nil || lost
}
