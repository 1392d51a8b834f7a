package model

import (
	"fmt"
	"time"
)

const (
	dataCentres     = 4
	interDCDelay    = 1500 * time.Microsecond // one way, between data centres
	intraDCDelay    = 100 * time.Microsecond  // one way, within a data centre
	nodesPerService = 4                       // one in each data centre
)

// Service is one service of a graph.
type Service struct {
	Name  string
	Slots int           // of each node
	Work  time.Duration // mean time of a call without its internal calls
	Calls []int         // indexes of the services that it calls after its work
}

// Graph is a call graph whose first service is the root.
type Graph struct {
	Name        string
	Parallel    bool // internal calls of a call run at the same time
	Services    []Service
	ClientDelay time.Duration // one way, between client and ingress
	WarmUp      time.Duration // time in which arrivals rise to the base load
}

const (
	shallowWarmUp = 3 * time.Second
	deepWarmUp    = 16 * time.Second // concurrency limits adapt one level after the other
)

// Chain returns a graph of services that call each other in order.
func Chain(name string, client time.Duration, ss ...Service) Graph {
	for i := range ss[:len(ss)-1] {
		ss[i].Calls = []int{i + 1}
	}
	return Graph{Name: name, Services: ss, ClientDelay: client, WarmUp: shallowWarmUp}
}

// FanOut returns a graph whose first service calls all others at the same time.
func FanOut(name string, client time.Duration, ss ...Service) Graph {
	for i := 1; i < len(ss); i++ {
		ss[0].Calls = append(ss[0].Calls, i)
	}
	return Graph{Name: name, Parallel: true, Services: ss, ClientDelay: client, WarmUp: shallowWarmUp}
}

// Graphs returns each of the two deployments as a chain, as a fan-out and as a chain of
// depth 23. Slots and client delays are those of section 1.4 of the design page. It does
// not give the work of a call, which is set to 20 ms, and to 10 ms at depth 23.
func Graphs() []Graph {
	const work = 20 * time.Millisecond
	obrecz := func() []Service {
		return []Service{
			{Name: "forging", Slots: 100, Work: work},
			{Name: "mill", Slots: 100, Work: work},
			{Name: "inventory", Slots: 100, Work: work},
			{Name: "spec", Slots: 15, Work: work},
		}
	}
	harcourt := func() []Service {
		return []Service{
			{Name: "repair", Slots: 35, Work: work},
			{Name: "vial", Slots: 35, Work: work},
			{Name: "certificate", Slots: 35, Work: work},
			{Name: "bench", Slots: 15, Work: work},
		}
	}
	const obreczClient, harcourtClient = 8 * time.Millisecond, time.Millisecond
	return []Graph{
		Chain("obrecz/chain", obreczClient, obrecz()...),
		FanOut("obrecz/fan-out", obreczClient, obrecz()...),
		deepChain("obrecz/depth-23", obreczClient, 100),
		Chain("harcourt/chain", harcourtClient, harcourt()...),
		FanOut("harcourt/fan-out", harcourtClient, harcourt()...),
		deepChain("harcourt/depth-23", harcourtClient, 35),
	}
}

// deepChainDepth is the number of services in the deepest graphs.
const deepChainDepth = 23

func deepChain(name string, client time.Duration, slots int) Graph {
	ss := make([]Service, deepChainDepth)
	for i := range ss {
		ss[i] = Service{Name: fmt.Sprintf("level%d", i+1), Slots: slots, Work: 10 * time.Millisecond}
	}
	ss[deepChainDepth-1].Slots = 15
	g := Chain(name, client, ss...)
	g.WarmUp = deepWarmUp
	return g
}

// slotTime returns the mean time for which a call of a service holds its slot if nothing
// queues. The work of the last service is multiplied by lastFactor. Of parallel internal
// calls, the one with the largest mean counts.
func (g *Graph) slotTime(service int, lastFactor float64) time.Duration {
	s := g.Services[service]
	work := s.Work
	if service == len(g.Services)-1 {
		work = time.Duration(float64(work) * lastFactor)
	}
	internal := time.Duration(0)
	for _, c := range s.Calls {
		t := 2*intraDCDelay + g.slotTime(c, lastFactor)
		if g.Parallel {
			internal = max(internal, t)
		} else {
			internal += t
		}
	}
	return work + internal
}

// Capacity returns the requests per second that the bottleneck service can complete. The
// work of the last service is multiplied by lastFactor.
func (g *Graph) Capacity(lastFactor float64) float64 {
	lowest := 0.0
	for i, s := range g.Services {
		c := float64(nodesPerService*s.Slots) / g.slotTime(i, lastFactor).Seconds()
		if i == 0 || c < lowest {
			lowest = c
		}
	}
	return lowest
}
