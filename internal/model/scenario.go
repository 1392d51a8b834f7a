package model

import "time"

const (
	settleTime       = time.Second // from the end of the warm-up to the overload
	overloadTime     = 4 * time.Second
	postOverloadTime = 4 * time.Second // from the end of the overload to the last arrival
	lateResponseTime = 2 * time.Second // from the last arrival to the end of the run, for late responses

	baseLoad    = 0.7 // offered load outside of the overload, as a fraction of the capacity
	initialLoad = 0.1 // load at the start of the warm-up, as a fraction of the base load
)

// phases are the boundaries between the phases of a run. Arrivals rise to the base load
// until warmUpEnd. The overload lasts from overloadStart to overloadEnd. No request
// arrives after lastArrival.
type phases struct {
	warmUpEnd, overloadStart, overloadEnd, lastArrival time.Duration
}

func phasesOf(g *Graph) phases {
	p := phases{warmUpEnd: g.WarmUp}
	p.overloadStart = p.warmUpEnd + settleTime
	p.overloadEnd = p.overloadStart + overloadTime
	p.lastArrival = p.overloadEnd + postOverloadTime
	return p
}

// overloaded reports whether a time lies in the overload.
func (p phases) overloaded(at time.Duration) bool {
	return at >= p.overloadStart && at < p.overloadEnd
}

// Scenario is a fault or an overload that a run is exposed to.
type Scenario struct {
	Name                string
	ArrivalFactor       float64 // factor on all arrivals; 1 for no change, as in the other factors
	LastServiceSlowdown float64 // factor on the work of the last service
	NoisyFactor         float64 // factor on the arrivals of the largest workspace
	ClientAttempts      int     // how often a client sends a request at most, until it succeeds
	RestartHalf         bool    // half of the backend servers restart when the overload starts
	WrongLoadReports    bool    // load reports lag; one node per service is slow and reports no load
	RunDeep             bool    // also run on the graphs of depth 23
}

// Scenarios returns the measured scenarios.
func Scenarios() []Scenario {
	base := Scenario{ArrivalFactor: 1, LastServiceSlowdown: 1, NoisyFactor: 1, ClientAttempts: 1}
	derive := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		derive("steady", func(s *Scenario) { s.RunDeep = true }),
		derive("surge 3x", func(s *Scenario) { s.ArrivalFactor, s.RunDeep = 3, true }),
		derive("deep service 10x slower", func(s *Scenario) { s.LastServiceSlowdown, s.RunDeep = 10, true }),
		derive("one workspace at 10x", func(s *Scenario) { s.NoisyFactor = 10 }),
		derive("surge 3x, clients retry hard", func(s *Scenario) { s.ArrivalFactor, s.ClientAttempts = 3, 5 }),
		derive("cold restart of half", func(s *Scenario) { s.RestartHalf = true }),
		derive("lagging and lying reports", func(s *Scenario) { s.WrongLoadReports = true }),
		derive("surge 2x and slow deep service", func(s *Scenario) { s.ArrivalFactor, s.LastServiceSlowdown = 2, 10 }),
	}
}

// workspaceShares are the workspaces' fractions of the base load. A few workspaces send
// most of it.
var workspaceShares = [...]float64{0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05}

var workspaceNames = [len(workspaceShares)]string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}

// noisyWorkspace is the workspace to which Scenario.NoisyFactor applies.
const noisyWorkspace = 0

// arrivalRate returns the arrivals per second of a workspace at a time.
func (s *Scenario) arrivalRate(p phases, workspace int, baseRate float64, at time.Duration) float64 {
	r := baseRate * workspaceShares[workspace]
	if at < p.warmUpEnd {
		return r * (initialLoad + (1-initialLoad)*float64(at)/float64(p.warmUpEnd))
	}
	if !p.overloaded(at) {
		return r
	}
	if workspace == noisyWorkspace {
		r *= s.NoisyFactor
	}
	return r * s.ArrivalFactor
}
