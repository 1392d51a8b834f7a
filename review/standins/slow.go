//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// slowCase: clients with small receive windows pause while they read an answer.
func slowCase(f *fleet, trouble bool) string {
	const answerBytes = 36_000
	key := "6wsjnbanfqasnmgkcuyj"
	f.configure(7, []route{
		{"r-tally", "/leny950/", "safe", "tally", 5000, 1200, false},
		{"r-gate", "/puka111/", "non_idempotent", "gatework", 5000, 1200, false},
	}, []tenant{{"pulo780", key, 171, 171}})
	f.add("esna-1", "esna", "tally", 32, 20*time.Millisecond)
	f.add("esna-2", "esna", "gatework", 32, 20*time.Millisecond)
	for _, n := range f.nodes {
		n.worker.answerBytes = answerBytes
		n.start(true)
		n.worker.start()
	}
	f.awaitReady(15*time.Second, f.nodes...)
	time.Sleep(3 * time.Second)
	lost := 0
	for i := range 10 {
		n := f.nodes[i%2]
		if !f.slowRead(n, "PUT", "/puka111/2f", key, trouble) {
			lost++
		}
	}
	if lost > 3 {
		return fmt.Sprintf("LOST: %d of 10 answers were cut off", lost)
	}
	return ""
}

// slowRead sends two requests on one connection and reads the answer to the second slowly. It
// reports whether that was whole.
func (f *fleet) slowRead(n *node, method, uri, key string, slowly bool) bool {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			check(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8192))
		})
	}}
	conn, err := d.Dial("tcp", n.outbound)
	check(err)
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 1024)
	for i := range 2 {
		id := fmt.Sprintf("q%06d", lastID.Add(1))
		f.rec.log("sent %s to %s: %s %s", id, n.name, method, uri)
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", method, uri, host, id, key)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			f.rec.log("answered %s: no answer: %v", id, err)
			return false
		}
		if slowly && i == 1 {
			f.rec.log("client of %s: reads nothing for 2 s", id)
			time.Sleep(2 * time.Second)
		}
		data, err := io.ReadAll(resp.Body)
		f.rec.log("answered %s: %d, %d of %d bytes, %v", id, resp.StatusCode, len(data), resp.ContentLength, err)
		if err != nil {
			return false
		}
	}
	return true
}
