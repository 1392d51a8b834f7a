//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	foreignService = "audit-log" // which no configuration names
	// downTime is how long the processes are away after the final fault (closing of scale-1 of
	// obrecz-mesh).
	downTime = 1100 * time.Millisecond
	// recoveryTime is recoveryS.
	recoveryTime = 15 * time.Second
	beforeTime   = 8 * time.Second
	watchTime    = 20 * time.Second
)

func init() { cases["foreign-beat"] = foreignBeat }

// foreignBeat kills all nodes at once, as a final fault does, and has another writer send each
// machine one heartbeat of a service that is not named, once they are back.
func foreignBeat(f *fleet, trouble bool) (verdict, error) {
	for i := range 3 {
		f.add(fmt.Sprintf("z%d", i), "stockroom", true).worker.work = sampleWork
	}
	if err := f.configure(sampleRoutes(), []tenant{{name: "pulo780", keys: []string{tenantKey}, rate: 200, burst: 200}}); err != nil {
		return verdict{}, err
	}
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime + time.Second)
	askedBefore, servedBefore := f.ask("before", beforeTime)
	if err := f.killAll(); err != nil {
		return verdict{}, err
	}
	back := time.Now()
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if trouble {
		for i, m := range f.machines {
			if err := m.foreignHeartbeat(i); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(time.Until(back.Add(recoveryTime + time.Second)))
	asked, served := f.ask("after", watchTime)
	if servedBefore*4 < askedBefore {
		return verdict{}, fmt.Errorf("only %d of %d requests were served before the fault", servedBefore, askedBefore)
	}
	return verdict{broken: served*4 < asked, text: fmt.Sprintf(
		"%d of %d requests were served before the final fault, %d of %d later than %v after it", servedBefore, askedBefore, served, asked, recoveryTime)}, nil
}

// ask sends lookups and orders one after the other for a time.
func (f *fleet) ask(name string, d time.Duration) (asked, served int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		x := lookup(fmt.Sprintf("%s-%d", name, asked))
		if asked%3 == 2 {
			x = order(x.id)
		}
		a := f.machines[asked%len(f.machines)].do(x)
		if a.status == http.StatusOK && a.whole && a.signed {
			served++
		}
		asked++
	}
	return asked, served
}

// killAll kills all nodes at the same moment and starts them again. The workers run on.
func (f *fleet) killAll() error {
	for _, m := range f.machines {
		f.record.note("process", "machine", m.name, "signal", "killed")
		_ = m.cmd.Process.Kill() // it runs, unless it has ended by itself
	}
	for _, m := range f.machines {
		<-m.ended
	}
	time.Sleep(downTime)
	for _, m := range f.machines {
		m.firstStart = false
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}

// foreignHeartbeat sends the heartbeat of another writer to the machine.
func (m *machine) foreignHeartbeat(i int) error {
	body, err := json.Marshal(map[string]any{
		"service": foreignService, "address": m.addr(portMetrics), "zone": m.zone, "version": "v1", "slots": 4, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%s-%d", foreignService, i)
	m.f.record.note("foreign_heartbeat", "machine", m.name, "id", id, "service", foreignService, "acknowledged", m.worker.put(id, body))
	return nil
}
