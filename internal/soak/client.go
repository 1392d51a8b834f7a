package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one request of a caller and what it got.
type sent struct {
	id, key, path, body string
	order               bool // may not be repeated
	node                *node
	at, end             time.Time
	deadline            time.Duration
	status              int // 0 if there was no whole answer
	answer              string
	err                 error
}

// callers send requests to the nodes and keep what they got.
type callers struct {
	cfg  *operatorConfig
	mu   sync.Mutex
	all  []*sent
	next int
}

func (c *callers) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("s%07d", c.next)
}

// run sends requests to one node, one after the other on kept connections, until
// ctx ends. A node that is not ready gets none, but for a few.
func (c *callers) run(ctx context.Context, n *node, rnd *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var checked time.Time
	ready := false
	for ctx.Err() == nil {
		if time.Since(checked) > time.Second {
			ready, checked = n.ready(), time.Now()
		}
		if !ready && rnd.IntN(4) > 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.one(client, n, rnd)
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

func (c *callers) one(client *http.Client, n *node, rnd *rand.Rand) {
	key, prefix := c.cfg.choose(rnd.IntN)
	s := &sent{id: c.id(), key: key, node: n, order: strings.HasPrefix(prefix, "/order/"), deadline: time.Second}
	s.path = prefix + s.id
	method := http.MethodGet
	if s.order {
		method, s.body = http.MethodPost, strings.Repeat("strip ", 1+rnd.IntN(2000))
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline)
	defer cancel()
	// The type hides how to read the body again, so that the client does not send a
	// request twice by itself.
	body := struct{ io.Reader }{strings.NewReader(s.body)}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ports["callers"]+s.path, body)
	if err != nil {
		panic(err) // the request is built from constants
	}
	req.ContentLength = int64(len(s.body))
	req.Host = "soak.example"
	req.Header.Set("Request-Id", s.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(s.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	s.at = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			s.status, s.answer = resp.StatusCode, string(data)
		}
	}
	s.err, s.end = err, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
}

// taken returns all requests so far.
func (c *callers) taken() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.all...)
}
