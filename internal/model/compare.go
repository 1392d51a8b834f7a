package model

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Case is one graph under one scenario.
type Case struct {
	Graph    Graph
	Scenario Scenario
}

// Cases returns all measured cases in order. The graphs of depth 23 run only with the
// scenarios that have RunDeep set, and with the larger deployment only with the surge,
// since one such run takes several seconds.
func Cases() []Case {
	var out []Case
	for _, g := range Graphs() {
		for _, sc := range Scenarios() {
			if len(g.Services) < deepChainDepth || sc.RunDeep && (sc.ArrivalFactor > 1 || g.Services[0].Slots < largeSlots) {
				out = append(out, Case{g, sc})
			}
		}
	}
	return out
}

// largeSlots is the number of slots per node from which a deployment counts as large.
const largeSlots = 100

// Comparison holds the figures of both versions, each in the order of the seeds.
type Comparison struct {
	Case
	Naive, Ours []Figures
}

// Compare runs both versions of each case with each seed. The argument parallel limits the
// number of concurrent runs and does not affect the result.
func Compare(cases []Case, seeds []uint64, parallel int) []Comparison {
	out := make([]Comparison, len(cases))
	running := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	run := func(c Case, v Version, seed uint64, result *Figures) {
		running <- struct{}{}
		wg.Go(func() {
			*result = Run(c.Graph, c.Scenario, v, seed)
			<-running
		})
	}
	for i, c := range cases {
		out[i] = Comparison{c, make([]Figures, len(seeds)), make([]Figures, len(seeds))}
		for j, seed := range seeds {
			run(c, Naive, seed, &out[i].Naive[j])
			run(c, Ours, seed, &out[i].Ours[j])
		}
	}
	wg.Wait()
	return out
}

// Range is the smallest, the median and the largest of a set of values.
type Range[T cmp.Ordered] struct {
	Min, Median, Max T
}

// RangeOf returns the range of one figure over all runs.
func RangeOf[T cmp.Ordered](fs []Figures, figure func(Figures) T) Range[T] {
	values := make([]T, len(fs))
	for i, f := range fs {
		values[i] = figure(f)
	}
	slices.Sort(values)
	return Range[T]{values[0], values[len(values)/2], values[len(values)-1]}
}

// Metric is one row of the report.
type Metric struct {
	Name      string
	Value     func(Figures) float64
	Target    string // from section 1.6 of the design page; empty if there is none
	TargetMet func(Range[float64]) bool

	Detail    bool // breaks down another figure; not printed if it is 0 in all runs of version Ours
	NoisyOnly bool // printed only if NoisyFactor is not 1; otherwise equal to the figure that it breaks down
}

// Metrics returns the rows of the report in order.
func Metrics() []Metric {
	return []Metric{
		{Name: "goodput /s", Value: func(f Figures) float64 { return f.Goodput }},
		{Name: "of capacity", Value: func(f Figures) float64 { return f.CapacityFraction }},
		{
			Name: "of attainable", Value: func(f Figures) float64 { return f.AttainableFraction },
			Target: ">= 0.95", TargetMet: func(r Range[float64]) bool { return r.Min >= 0.95 },
		},
		{
			Name: "recovery s", Value: func(f Figures) float64 { return f.Recovery.Seconds() },
			Target: "<= 1", TargetMet: func(r Range[float64]) bool { return r.Max <= time.Second.Seconds() },
		},
		{
			Name: "worst workspace", Value: func(f Figures) float64 { return f.WorstWorkspace },
			Target: ">= 0.99", TargetMet: func(r Range[float64]) bool { return r.Min >= 0.99 },
		},
		{Name: "critical", Value: func(f Figures) float64 { return f.Critical }},
		{
			Name: "wrongful refusals", Value: func(f Figures) float64 { return f.WrongfulRefusals },
			Target: "< 0.001", TargetMet: func(r Range[float64]) bool { return r.Max < 0.001 },
		},
		{Name: "wrongful, over_share", Value: func(f Figures) float64 { return f.WrongfulOverShare }, Detail: true},
		{Name: "wrongful, quiet workspaces", Value: func(f Figures) float64 { return f.WrongfulExceptNoisy }, Detail: true, NoisyOnly: true},
		{Name: "short of the rate", Value: func(f Figures) float64 { return f.Shortfall }, Detail: true},
		{
			Name: "amplification", Value: func(f Figures) float64 { return f.Amplification },
			Target: "<= 1.1", TargetMet: func(r Range[float64]) bool { return r.Max <= 1.1 },
		},
	}
}
