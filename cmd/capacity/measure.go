package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/request"
)

// ticksPerSecond is the unit of processor time in /proc, USER_HZ.
const ticksPerSecond = 100

func (c *cli) measure(ctx context.Context, size int) (figures, error) {
	f, err := startFleet(c.Daemon, size, c.DataCentres)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return figures{}, err
	}
	select {
	case <-ctx.Done():
		return figures{}, ctx.Err()
	case <-time.After(c.Settle):
	}
	out := figures{nodes: float64(size)}
	if err := f.idle(ctx, c.Window, &out); err != nil {
		return out, err
	}
	return out, f.spread(ctx, &out)
}

// sample is the sum over all nodes at one moment.
type sample struct {
	ticks, sent, received float64
	platform              standin.Counts
}

// idle measures a fleet without calls and without changes.
func (f *fleet) idle(ctx context.Context, window time.Duration, out *figures) error {
	before, err := f.sample(ctx)
	if err != nil {
		return err
	}
	time.Sleep(window)
	after, err := f.sample(ctx)
	if err != nil {
		return err
	}
	nodes, seconds := float64(len(f.nodes)), window.Seconds()
	out.cpu = 100 * (after.ticks - before.ticks) / ticksPerSecond / nodes / seconds
	out.sent = (after.sent - before.sent) / nodes / seconds
	out.received = (after.received - before.received) / nodes / seconds
	out.reads = float64(after.platform.Reads-before.platform.Reads) / seconds
	out.writes = float64(after.platform.Writes-before.platform.Writes) / seconds
	for _, n := range f.nodes {
		rss, err := residentMB(n.cmd.Process.Pid)
		if err != nil {
			return err
		}
		out.rss += rss / nodes
	}
	return nil
}

func (f *fleet) sample(ctx context.Context) (sample, error) {
	var s sample
	var err error
	if s.platform, err = f.platform.Counts(ctx); err != nil {
		return s, err
	}
	for _, n := range f.nodes {
		ticks, err := processTicks(n.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.ticks += ticks
		m, err := n.metrics(ctx)
		if err != nil {
			return s, err
		}
		// Without calls, all bytes on the peer listener are control as well.
		for _, name := range []string{"teaselseam_control_bytes_total", "teaselseam_peer_listener_bytes_total"} {
			s.sent += m[name+`{direction="sent"}`]
			s.received += m[name+`{direction="received"}`]
		}
	}
	return s, nil
}

// spread measures how long a settings change and a revocation take to be in
// force on every node.
func (f *fleet) spread(ctx context.Context, out *figures) error {
	var result struct {
		Seq float64
		Key string
	}
	started := time.Now()
	if err := f.nodes[0].call(ctx, "/v1/tree/edit", map[string]any{"base": 0, "ini": tree}, &result); err != nil {
		return err
	}
	err := f.awaitAll("settings change", func(n *node) bool {
		m, err := n.metrics(ctx)
		return err == nil && m["teaselseam_applied_seq"] >= result.Seq
	})
	if err != nil {
		return err
	}
	out.change = time.Since(started).Seconds()
	if err := f.nodes[0].call(ctx, "/v1/keys", map[string]any{"workspace": "guild"}, &result); err != nil {
		return err
	}
	err = f.awaitAll("key", func(n *node) bool { return n.refusal(ctx, result.Key) == request.ReasonNoBackend })
	if err != nil {
		return err
	}
	started = time.Now()
	if err := f.nodes[0].call(ctx, "/v1/keys/revoke", map[string]any{"key": result.Key}, &result); err != nil {
		return err
	}
	err = f.awaitAll("revocation", func(n *node) bool { return n.refusal(ctx, result.Key) == request.ReasonKeyRevoked })
	out.revoke = time.Since(started).Seconds()
	return err
}

// metrics reads a node's metrics.
func (n *node) metrics(ctx context.Context) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}

// processTicks returns the user and system time of a process, in ticks.
func processTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the command name, which stands in parentheses.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const user, system = 11, 12
	u, err := strconv.ParseFloat(fields[user], 64)
	if err != nil {
		return 0, err
	}
	s, err := strconv.ParseFloat(fields[system], 64)
	return u + s, err
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d has no VmRSS", pid)
}
