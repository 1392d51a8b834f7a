//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	foreignService = "audit-log" // which no configuration names
	foreignTime    = 25 * time.Second
)

func init() { cases["foreign-beat"] = foreignBeat }

// foreignBeat has another writer send one heartbeat to each machine, of a service that is not named.
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
	if trouble {
		for i, m := range f.machines {
			body, err := json.Marshal(map[string]any{
				"service": foreignService, "address": m.addr(portMetrics), "zone": m.zone, "version": "v1", "slots": 4, "state": "ready",
				"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				return verdict{}, err
			}
			id := fmt.Sprintf("i-%s-%d", foreignService, i)
			f.record.note("foreign_heartbeat", "machine", m.name, "id", id, "service", foreignService, "acknowledged", m.worker.put(id, body, "ready"))
		}
	}
	time.Sleep(time.Second)
	asked, served := 0, 0
	for end := time.Now().Add(foreignTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := f.machines[asked%len(f.machines)]
		if a := m.do(lookup(fmt.Sprintf("lookup-%d", asked))); a.status == 200 && a.whole && a.signed {
			served++
		}
		asked++
	}
	return verdict{broken: served == 0, text: fmt.Sprintf("%d of %d requests were served in %v", served, asked, foreignTime)}, nil
}
