//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// clockStep is how far the clock of a machine is set back (clock_step of obrecz-mesh).
	clockStep = 2400 * time.Millisecond
	// downTime is how long a worker that flaps is down, and upTime how long it is up before.
	downTime = 700 * time.Millisecond
	upTime   = 700 * time.Millisecond
	// leaveTime is how long the worker serves on after its acknowledgement.
	leaveTime = drainTime + 3*time.Second
)

func init() { cases["drain-clock"] = drainClock }

// drainClock has a worker that starts again under its id while the clock of its machine is set
// back, and then drains.
func drainClock(f *fleet, trouble bool) (verdict, error) {
	for i := range 2 {
		f.add(fmt.Sprintf("z%d", i), "stockroom", true).worker.work = sampleWork
	}
	if err := f.configure(sampleRoutes(), []tenant{{name: "pulo780", keys: []string{tenantKey}, rate: 200, burst: 200}}); err != nil {
		return verdict{}, err
	}
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	w := f.machines[0].worker
	time.Sleep(time.Second)
	// The worker goes down and up by turns: twice.
	w.crash()
	time.Sleep(downTime)
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(upTime)
	w.crash()
	time.Sleep(downTime)
	born := time.Now()
	if trouble {
		born = born.Add(-clockStep)
		f.record.note("clock", "machine", f.machines[0].name, "set_back", clockStep)
	}
	if err := w.startAt(born.UnixMilli()); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime + 2*beatInterval) // all machines are in touch

	stop := f.send(40 * time.Millisecond)
	time.Sleep(time.Second)
	acked, ok := w.drain(4 * time.Second)
	if !ok {
		stop()
		return verdict{text: "the worker's leaving was not acknowledged"}, nil
	}
	f.record.note("drain", "worker", w.id, "acknowledged", "yes")
	time.Sleep(leaveTime)
	stop()
	late := 0
	for _, x := range w.ran() {
		if x.started.After(acked.Add(drainTime)) {
			late++
		}
	}
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests reached the worker later than %v after its leaving was acknowledged", late, drainTime)}, nil
}
