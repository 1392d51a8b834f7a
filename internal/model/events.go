package model

import "time"

// event is a function to run at a time. Events of the same time run in the order in
// which they were added, so that a run depends on its seed only.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// events is a binary heap. container/heap would box each event.
type events struct {
	now  time.Duration
	seq  uint64
	heap []event
}

// epoch is the wall-clock time at the start of each run.
var epoch = time.Unix(1_700_000_000, 0)

// time returns the current time in the form that the core takes.
func (q *events) time() time.Time {
	return epoch.Add(q.now)
}

// after runs fn after a delay.
func (q *events) after(d time.Duration, fn func()) {
	q.seq++
	q.heap = append(q.heap, event{q.now + max(d, 0), q.seq, fn})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].before(q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// step runs the next event. It returns false if there is none up to the end.
func (q *events) step(end time.Duration) bool {
	if len(q.heap) == 0 || q.heap[0].at > end {
		return false
	}
	e := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	q.sink()
	q.now = e.at
	e.fn()
	return true
}

func (q *events) sink() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heap[child+1].before(q.heap[child]) {
			child++
		}
		if !q.heap[child].before(q.heap[i]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
