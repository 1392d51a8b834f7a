//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// readPause is how long a client does not read, well within its deadline.
	readPause = 2 * time.Second
	// clientWindow is the receive buffer of a client, in bytes.
	clientWindow = 4 << 10
	lostAllowed  = 3 // LOST: more than three times
)

func init() { cases["slow-reader"] = slowReader }

// slowReader has clients that do not read for two seconds of the five that they wait.
func slowReader(f *fleet, trouble bool) (verdict, error) {
	for i := range 2 {
		f.add(fmt.Sprintf("z%d", i), "stockroom", true).worker.work = sampleWork
	}
	if err := f.configure(sampleRoutes(), []tenant{{name: "pulo780", keys: []string{tenantKey}, rate: 100, burst: 100}}); err != nil {
		return verdict{}, err
	}
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime + time.Second)
	var results []slowResult
	for i := range 4 {
		m := f.machines[i%len(f.machines)]
		for _, play := range []func(*machine, int, bool) ([]slowResult, error){orderReadSlowly, lookupsReadSlowly} {
			rs, err := play(m, i, trouble)
			if err != nil {
				return verdict{}, err
			}
			results = append(results, rs...)
		}
	}
	began := map[string]bool{}
	for _, m := range f.machines {
		for _, x := range m.worker.ran() {
			began[x.id] = true
		}
	}
	lost, orders, nothing := 0, 0, 0
	for _, r := range results {
		if !began[r.id] || r.whole {
			continue
		}
		lost++
		if r.order {
			orders++
		}
		if r.status == 0 {
			nothing++
		}
	}
	return verdict{broken: lost > lostAllowed, text: fmt.Sprintf(
		"%d of %d requests on kept connections that a worker ran got no whole answer (%d of them orders; of %d not a byte arrived); %d are allowed",
		lost, len(results), orders, nothing, lostAllowed)}, nil
}

// slowResult is how a request ended on a connection that had been used before.
type slowResult struct {
	answer
	id    string
	order bool
}

// keptConn returns a connection on which a request has been answered.
func keptConn(m *machine, id string) (*conn, error) {
	c, err := m.dial(clientWindow)
	if err != nil {
		return nil, err
	}
	x := lookup(id)
	if err := c.send(x); err != nil {
		return nil, err
	}
	if a := c.receive(x); a.status != http.StatusOK || !a.whole || a.bytes != lookupAnswer {
		return nil, fmt.Errorf("first request of a connection failed: status %d, %d bytes, %v", a.status, a.bytes, a.err)
	}
	return c, nil
}

func orderReadSlowly(m *machine, i int, trouble bool) ([]slowResult, error) {
	c, err := keptConn(m, fmt.Sprintf("first-order-%d", i))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	x := order(fmt.Sprintf("order-%d", i))
	return c.readSlowly(trouble, true, x)
}

// lookupsReadSlowly sends two lookups ahead of the answer to a first one.
func lookupsReadSlowly(m *machine, i int, trouble bool) ([]slowResult, error) {
	c, err := keptConn(m, fmt.Sprintf("first-lookup-%d", i))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.readSlowly(trouble, false, lookup(fmt.Sprintf("lookup-%d-a", i)), lookup(fmt.Sprintf("lookup-%d-b", i)), lookup(fmt.Sprintf("lookup-%d-c", i)))
}

// readSlowly sends requests and reads the answers, with trouble after a pause.
func (c *conn) readSlowly(trouble, isOrder bool, xs ...call) ([]slowResult, error) {
	for _, x := range xs {
		if err := c.send(x); err != nil {
			return nil, err
		}
	}
	if trouble {
		time.Sleep(readPause)
	}
	var out []slowResult
	for _, x := range xs {
		out = append(out, slowResult{answer: c.receive(x), id: x.id, order: isOrder})
	}
	return out, nil
}
