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

// leavingOneIn is the number of requests of which one caller leaves early.
const leavingOneIn = 20

// oddOneIn, longOneIn and movedOneIn are the numbers of requests of which one has a path of
// oddPaths, takes up to maxLongWork, or is for the route that is moved.
const (
	oddOneIn     = 20
	longOneIn    = 100
	movedOneIn   = 50
	maxLongWork  = 1500 * time.Millisecond
	longDeadline = 4 * time.Second
)

// oddPaths are paths that a node may take for something else than the path of a request:
// those of messages between nodes, and paths that are not clean.
var oddPaths = []string{
	"/teaselseam/configuration", "/teaselseam/feed", "/teaselseam/share", "/teaselseam/alive", "//teaselseam/feed",
	"/a//b", "//", "/a/../b", "/a/./b", "/a%2fb//c", "/metrics", "/status",
}

// callerRequest is one request of a caller with its result.
type callerRequest struct {
	id, key, host   string
	path, body      string
	nonIdempotent   bool // must run at most once
	node            *node
	sentAt, endedAt time.Time
	deadline        time.Duration
	leaves          bool // the caller closes the connection early
	status          int  // 0 if no complete response arrived
	responseBody    string
	statedCondition bool // the response states a rate limit, or that its backend server leaves
	err             error
}

// callers send requests to the nodes and record the results.
type callers struct {
	config *operatorConfig
	mu     sync.Mutex
	all    []*callerRequest
	lastID int
}

func (c *callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("s%07d", c.lastID)
}

// run sends requests to one node until ctx ends, one at a time over persistent
// connections. A node that is not ready gets only a few.
func (c *callers) run(ctx context.Context, n *node, rnd *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var checkedAt time.Time
	ready := false
	for ctx.Err() == nil {
		if time.Since(checkedAt) > time.Second {
			ready, checkedAt = n.ready(), time.Now()
		}
		if !ready && rnd.IntN(4) > 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.sendOne(client, n, rnd)
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

func (c *callers) sendOne(client *http.Client, n *node, rnd *rand.Rand) {
	key, prefix := c.config.choose(rnd.IntN)
	sent := &callerRequest{id: c.nextID(), key: key, host: usualHost, node: n, nonIdempotent: strings.HasPrefix(prefix, "/order/"), deadline: time.Second}
	sent.path = prefix + sent.id
	switch {
	case rnd.IntN(oddOneIn) == 0:
		sent.host, sent.path, sent.nonIdempotent = oddHost, oddPaths[rnd.IntN(len(oddPaths))], false
	case rnd.IntN(longOneIn) == 0:
		work := time.Duration(rnd.Int64N(int64(maxLongWork))).Round(time.Millisecond)
		sent.path, sent.nonIdempotent, sent.deadline = fmt.Sprintf("/long/%s/%s%v", services[rnd.IntN(len(services))], workMark, work), true, longDeadline
	case rnd.IntN(movedOneIn) == 0:
		sent.path, sent.nonIdempotent, sent.deadline = movedPrefix+sent.id, true, longDeadline
	}
	method := http.MethodGet
	if sent.nonIdempotent {
		method, sent.body = http.MethodPost, strings.Repeat("strip ", 1+rnd.IntN(2000))
	}
	patience := sent.deadline
	if rnd.IntN(leavingOneIn) == 0 {
		sent.leaves, patience = true, time.Duration(1+rnd.IntN(100))*time.Millisecond
	}
	c.send(client, sent, method, patience)
}

// send sends a request and records the result. patience is how long its caller waits.
func (c *callers) send(client *http.Client, sent *callerRequest, method string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// Hides the concrete type of the reader, so that net/http can't rewind the body and
	// resend the request on its own.
	body := struct{ io.Reader }{strings.NewReader(sent.body)}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+sent.node.addresses["callers"]+sent.path, body)
	if err != nil {
		panic(err) // cannot happen: method and URL are always valid
	}
	req.ContentLength = int64(len(sent.body))
	req.Host = sent.host
	req.Header.Set("Request-Id", sent.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(sent.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+sent.key)
	sent.sentAt = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			sent.status, sent.responseBody = resp.StatusCode, string(data)
			sent.statedCondition = resp.Header.Get("Server-Limit") != "" || resp.Header.Get("Server-Leaving") != ""
		}
	}
	sent.err, sent.endedAt = err, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, sent)
}

// requests returns all requests sent so far.
func (c *callers) requests() []*callerRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*callerRequest(nil), c.all...)
}
