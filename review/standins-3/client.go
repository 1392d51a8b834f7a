//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, host, path, key string
	deadline                    time.Duration
	body                        int // bytes
}

// answer is what a client got.
type answer struct {
	status int
	bytes  int // of the body
	whole  bool
	signed bool
	err    error
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	r      *bufio.Reader
	record *record
	m      *machine
}

// dial connects to the outbound address of a machine.
func (m *machine) dial() (*conn, error) {
	nc, err := net.DialTimeout("tcp", m.addr(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReader(nc), record: m.f.record, m: m}, nil
}

// send sends a request.
func (c *conn) send(x call) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", x.method, x.path, x.host, x.id, x.deadline.Milliseconds())
	if x.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", x.key)
	}
	if x.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", x.body)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte("b"), x.body))
	c.record.note("sent", "request", x.id, "method", x.method, "path", x.path, "machine", c.m.name)
	_, err := c.Write(b.Bytes())
	return err
}

// receive reads the answer to a request.
func (c *conn) receive(x call) answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: x.method})
	if err != nil {
		c.record.note("no_answer", "request", x.id, "err", err)
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, bytes: len(body), whole: err == nil, signed: resp.Header.Get("Response-Signature") != "", err: err}
	c.record.note("answered", "request", x.id, "status", a.status, "bytes", a.bytes, "whole", a.whole, "signed", a.signed, "err", err)
	return a
}

// do sends a request on a connection of its own and reads the answer.
func (m *machine) do(x call) answer {
	c, err := m.dial()
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(x.deadline + time.Second))
	if err := c.send(x); err != nil {
		return answer{err: err}
	}
	return c.receive(x)
}
