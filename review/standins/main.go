//go:build review

// Command standins plays the cases of the review: it starts nodes with the command of the deploy
// file, plays clients, workers, the store and the platform's checks on loopback addresses, and
// judges what these have seen.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *recorder) run(x *run) {
	r.log("run %s at %s: %s tenant=%s caller=%s", x.id, x.worker, x.uri, x.tenant, x.caller)
}

func (r *recorder) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// answer is what a client has seen of one request.
type answer struct {
	id, node, uri string
	sent, ended   time.Time
	status        int    // 0 if the connection ended without a whole answer
	signature     string // of a worker
	body          string
	err           error
}

var lastID atomic.Uint64

// send sends one request on a new connection and waits for the answer.
func (f *fleet) send(n *node, method, uri, key string, deadline time.Duration, body io.Reader) answer {
	a := answer{id: fmt.Sprintf("q%06d", lastID.Add(1)), node: n.name, uri: uri, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound, body)
	check(err)
	req.URL.Opaque = uri // sent as it is
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	c := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	f.rec.log("sent %s to %s: %s %s", a.id, n.name, method, uri)
	resp, err := c.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("Response-Signature"), string(data)
		}
	}
	a.ended, a.err = time.Now(), err
	if err != nil {
		f.rec.log("answered %s: no answer: %v", a.id, err)
	} else {
		f.rec.log("answered %s: %d %s", a.id, a.status, strings.TrimSpace(a.body))
	}
	return a
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// current is stopped before the program ends.
var current *fleet

// cannotRun ends the program with the code for a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	if current != nil {
		current.rec.log("cannot run: "+format, args...)
		current.stop()
	}
	os.Exit(2)
}

func main() {
	cases := map[string]func(*fleet, bool) string{"drain": drainCase, "term": termCase, "quota": quotaCase, "slow": slowCase, "leak": leakCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	check(err)
	rec := &recorder{file: file, started: time.Now()}
	current = newFleet(rec)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			cannotRun("stopped by a signal")
		case <-time.After(maxDuration):
			cannotRun("not finished after %v", maxDuration)
		}
	}()
	broken := cases[os.Args[1]](current, os.Getenv("TROUBLE") != "0")
	current.stop()
	if broken != "" {
		rec.log("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.log("held")
	fmt.Println("held")
}
