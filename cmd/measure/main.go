// Command measure compares teaselseam's decision core with a naive deployment in the
// queueing model of package model. It prints a table in Markdown for each case.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/teaselseam/teaselseam/internal/model"
)

type options struct {
	Seeds    int    `help:"Number of seeds, counted from 1." default:"5"`
	Parallel int    `help:"Number of concurrent runs; 0 means half of the processors." default:"0"`
	Graph    string `help:"Measure this graph only." default:""`
	Scenario string `help:"Measure this scenario only." default:""`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("measure"), kong.Description("Compare teaselseam with a naive deployment in a queueing model."))
	if err := measure(os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// gcPercent trades memory for time: a run allocates an object per call, and few of them
// stay in use.
const gcPercent = 400

func measure(w io.Writer, o options) error {
	debug.SetGCPercent(gcPercent)
	if o.Seeds < 1 {
		return fmt.Errorf("invalid number of seeds %d, want at least 1", o.Seeds)
	}
	var cases []model.Case
	for _, c := range model.Cases() {
		if (o.Graph == "" || o.Graph == c.Graph.Name) && (o.Scenario == "" || o.Scenario == c.Scenario.Name) {
			cases = append(cases, c)
		}
	}
	if len(cases) == 0 {
		return fmt.Errorf("no case matches graph %q and scenario %q", o.Graph, o.Scenario)
	}
	seeds := make([]uint64, o.Seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	parallel := o.Parallel
	if parallel < 1 {
		parallel = max(runtime.NumCPU()/2, 1)
	}
	fmt.Fprintf(w, "Seeds 1 to %d. Each cell shows min / median / max over the seeds. A recovery of %.0f s means that the run did not recover.\n"+
		"Rows that break down another figure are left out if ours are 0.\n",
		o.Seeds, model.NotRecovered.Seconds())
	for _, c := range model.Compare(cases, seeds, parallel) {
		printCase(w, c)
	}
	return nil
}

func printCase(w io.Writer, c model.Comparison) {
	g, sc := c.Graph, c.Scenario
	fmt.Fprintf(w, "\n### %s, %s (capacity %.0f/s, during the overload %.0f/s)\n", g.Name, sc.Name, g.Capacity(1), g.Capacity(sc.LastServiceSlowdown))
	fmt.Fprintln(w, "| Figure | naive | ours | target | reached |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, m := range model.Metrics() {
		naive, ours := model.RangeOf(c.Naive, m.Value), model.RangeOf(c.Ours, m.Value)
		if m.Detail && (ours.Max == 0 || m.NoisyOnly && sc.NoisyFactor == 1) {
			continue
		}
		reached := ""
		if m.TargetMet != nil {
			reached = "no"
			if m.TargetMet(ours) {
				reached = "yes"
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", m.Name, cell(naive), cell(ours), m.Target, reached)
	}
}

// cell formats a range, without decimals if the maximum is at least 10.
func cell(r model.Range[float64]) string {
	format := "%.3f / %.3f / %.3f"
	if r.Max >= 10 {
		format = "%.0f / %.0f / %.0f"
	}
	return fmt.Sprintf(format, r.Min, r.Median, r.Max)
}
