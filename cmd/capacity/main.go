// Command capacity measures what control costs a node at several fleet sizes on
// one machine: processor time, memory, control bytes, platform calls, and the
// time in which a settings change and a revocation reach every node. It starts
// each node as a process of its own over loopback and fits a line through the
// sizes. It is a measuring tool and no part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
)

type cli struct {
	Daemon      string        `help:"Path of teaselseamd." default:"bin/teaselseamd"`
	Sizes       []int         `help:"Fleet sizes in nodes." default:"10,30,60"`
	DataCentres int           `help:"Data centres that the nodes are spread over." default:"4"`
	Settle      time.Duration `help:"Time after the start before figures are taken." default:"25s"`
	Window      time.Duration `help:"Time over which figures are taken." default:"20s"`
	Target      int           `help:"Fleet size to extrapolate to." default:"1800"`
	CallRate    int           `help:"Calls a second in the measurement of the cost of a call; 0 leaves it out." default:"200"`
}

// maxNodes keeps the run under a few hundred processes.
const maxNodes = 200

func main() {
	var c cli
	kong.Parse(&c, kong.Name("capacity"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) error {
	var all []figures
	fmt.Printf("%6s %10s %10s %12s %12s %10s %10s %10s %10s\n",
		"nodes", "cpu %core", "rss MB", "sent B/s", "received B/s", "reads/s", "writes/s", "change s", "revoke s")
	for _, n := range c.Sizes {
		if n > maxNodes {
			return fmt.Errorf("size %d exceeds %d nodes", n, maxNodes)
		}
		f, err := c.measure(ctx, n)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		fmt.Printf("%6.0f %10.3f %10.1f %12.0f %12.0f %10.1f %10.2f %10.2f %10.2f\n",
			f.nodes, f.cpu, f.rss, f.sent, f.received, f.reads, f.writes, f.change, f.revoke)
		all = append(all, f)
	}
	printFits(all, float64(c.Target))
	if c.CallRate > 0 {
		return c.measureCalls(ctx)
	}
	return nil
}

// figures are the means over the nodes of one fleet.
type figures struct {
	nodes    float64
	cpu      float64 // percent of a core, per node
	rss      float64 // MB, per node
	sent     float64 // control bytes a second, per node
	received float64
	reads    float64 // platform calls a second, whole fleet
	writes   float64
	change   float64 // seconds until a settings change is in force on all nodes
	revoke   float64 // seconds until a revocation is in force on all nodes
}

func printFits(all []figures, target float64) {
	rows := []struct {
		name string
		get  func(figures) float64
	}{
		{"cpu, percent of a core per node", func(f figures) float64 { return f.cpu }},
		{"memory, MB per node", func(f figures) float64 { return f.rss }},
		{"control bytes sent a second per node", func(f figures) float64 { return f.sent }},
		{"control bytes received a second per node", func(f figures) float64 { return f.received }},
		{"platform reads a second, fleet", func(f figures) float64 { return f.reads }},
		{"platform writes a second, fleet", func(f figures) float64 { return f.writes }},
		{"seconds until a change is in force", func(f figures) float64 { return f.change }},
		{"seconds until a revocation is in force", func(f figures) float64 { return f.revoke }},
	}
	fmt.Printf("\n%-44s %12s %14s %14s\n", "least squares fit", "at 0 nodes", "per 100 nodes", fmt.Sprintf("at %.0f", target))
	for _, r := range rows {
		a, b := fit(all, r.get)
		fmt.Printf("%-44s %12.3f %14.4f %14.3f\n", r.name, a, 100*b, a+b*target)
	}
}

// fit returns the line a + b*nodes with the least squares.
func fit(all []figures, get func(figures) float64) (a, b float64) {
	var n, sx, sy, sxx, sxy float64
	for _, f := range all {
		x, y := f.nodes, get(f)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		b = (n*sxy - sx*sy) / d
	}
	return (sy - b*sx) / n, b
}
