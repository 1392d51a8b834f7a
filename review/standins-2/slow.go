//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	viewBytes = 30_000 // within the largest answers of the site
	readPause = 2 * time.Second
	// readWindow is what the kernel of a client takes before the client reads.
	readWindow = 4096
)

// serveView sends an answer of viewBytes, or a short one.
func serveView(w http.ResponseWriter, short bool) {
	n := viewBytes
	if short {
		n = 100
	}
	w.Header().Set("Content-Length", fmt.Sprint(n))
	_, _ = w.Write(make([]byte, n))
}

// view is the second request of a kept connection, as its client saw it.
type view struct {
	id           string
	sent, ended  time.Time
	status, read int
	first        int // status of the first request of the connection
	err          error
}

// slowReaders: some clients pause once for two seconds while they read an answer.
func slowReaders(f *fleet, trouble bool) (broken bool, err error) {
	f.configure(7, [][]any{{"r-view", "views.example", "/view/", "safe", 5000, 1200, 2, 2, "views"}},
		[]string{"views"}, [][]any{{"guild", []string{"key-of-guild-0001"}, 1, 171, 171}})
	for i := range 4 {
		if _, err := f.add([]string{"a", "b"}[i%2], "views", true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(f.began.Add(8 * time.Second))) // traffic starts 8 s after the machines
	var list []*view
	var wg sync.WaitGroup
	for i := range 60 {
		v := &view{id: fmt.Sprintf("view-%03d", i)}
		list = append(list, v)
		pause := time.Duration(0)
		if trouble && i%3 == 0 {
			pause = readPause
		}
		wg.Go(func() { v.ask(f.machines[i%4].outbound, pause) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	ran := map[string]run{}
	for _, x := range f.runs.all() {
		ran[x.ID] = x
	}
	lost, whole := 0, 0
	for _, v := range list {
		x, began := ran[v.id]
		f.note("%s: first answer %d; then status %d, %d of %d bytes read after %.3f s, %v; run: %v %s", v.id, v.first, v.status, v.read, viewBytes,
			v.ended.Sub(v.sent).Seconds(), v.err, began, x.Worker)
		switch {
		case v.err == nil && v.status == 200 && v.read == viewBytes:
			whole++
		case v.first == 200 && began && v.err != nil && v.ended.Sub(v.sent) < 4500*time.Millisecond:
			lost++
		}
	}
	f.say("asked on kept connections: %d; whole answers: %d; passed on to a worker and ended without the whole answer: %d (the rule allows 3)", len(list), whole, lost)
	return lost > 3, nil
}

func (v *view) ask(address string, pause time.Duration) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readWindow)
		}), err)
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		v.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	r := bufio.NewReaderSize(c, 1024)
	send := func(id, path string) (*http.Response, error) {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: views.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-of-guild-0001\r\n\r\n", path, id)
		return http.ReadResponse(r, nil)
	}
	resp, err := send(v.id+"-first", "/view/short")
	if err != nil {
		v.err = err
		return
	}
	v.first = resp.StatusCode
	_, _ = io.Copy(io.Discard, resp.Body)
	v.sent = time.Now()
	defer func() { v.ended = time.Now() }()
	if resp, err = send(v.id, "/view/"+v.id); err != nil {
		v.err = err
		return
	}
	v.status = resp.StatusCode
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, resp.Body)
	v.read, v.err = int(n), err
}
