package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// callNodes is the size of the fleet in which the cost of a call is measured.
const callNodes = 4

const callTree = `
[defaults]
rate = 100000
burst = 100000

[route repeat]
path = /repeat
service = echo
idempotent = true

[route once]
path = /once
service = echo
idempotent = false
`

// measureCalls measures control bytes and processor time of a root call of one
// workspace, with and without a claim, over an idle fleet of the same size.
func (c *cli) measureCalls(ctx context.Context) error {
	f, err := startFleet(c.Daemon, callNodes, callNodes)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	time.Sleep(c.Settle)
	var issued struct{ Key string }
	if err := f.nodes[0].call(ctx, "/v1/tree/edit", map[string]any{"base": 0, "ini": callTree}, &issued); err != nil {
		return err
	}
	if err := f.nodes[0].call(ctx, "/v1/keys", map[string]any{"workspace": "guild"}, &issued); err != nil {
		return err
	}
	if err := f.awaitAll("calls", func(n *node) bool { return n.send(ctx, "/once", issued.Key) }); err != nil {
		return err
	}
	fmt.Printf("\n%-34s %14s %14s %10s %8s\n", "root calls over all nodes", "control B/call", "cpu us/call", "served/s", "failed")
	idle, window := f.control(ctx), c.Window.Seconds()
	time.Sleep(c.Window)
	idle = f.control(ctx).minus(idle)
	for _, path := range []string{"/repeat", "/once"} {
		before := f.control(ctx)
		served, failed := f.load(ctx, path, issued.Key, c.CallRate, c.Window)
		cost := f.control(ctx).minus(before).minus(idle)
		fmt.Printf("%-34s %14.0f %14.0f %10.0f %8d\n", path, cost.bytes/float64(served), cost.ticks*1e6/ticksPerSecond/float64(served), float64(served)/window, failed)
	}
	return nil
}

func (f *fleet) startBackends() error {
	for _, n := range f.nodes {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		n.backend = exec.Command(f.daemon, "sample-backend", "--service", "echo", "--address", address, "--ingress", n.ingress)
		if err := n.backend.Start(); err != nil {
			return err
		}
	}
	return nil
}

// cost is what all nodes together have spent.
type cost struct{ bytes, ticks float64 }

func (c cost) minus(o cost) cost { return cost{c.bytes - o.bytes, c.ticks - o.ticks} }

// control sums up the control bytes, counted once where they are sent and once
// where the answer is received, and the processor time of the nodes.
func (f *fleet) control(ctx context.Context) cost {
	var out cost
	for _, n := range f.nodes {
		m, err := n.metrics(ctx)
		if err != nil {
			continue
		}
		out.bytes += m[`teaselseam_control_bytes_total{direction="sent"}`] + m[`teaselseam_control_bytes_total{direction="received"}`]
		ticks, err := processTicks(n.cmd.Process.Pid)
		if err == nil {
			out.ticks += ticks
		}
	}
	return out
}

// load sends calls at a fixed rate through all nodes in turn.
func (f *fleet) load(ctx context.Context, path, key string, rate int, d time.Duration) (served, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(float64(rate) * d.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			ok := f.nodes[i%len(f.nodes)].send(ctx, path, key)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				served++
			} else {
				failed++
			}
		})
	}
	wg.Wait()
	return served, failed
}

func (n *node) send(ctx context.Context, path, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.ingress+path, strings.NewReader("x"))
	if err != nil {
		return false
	}
	req.Header.Set(request.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
