package model

import "time"

// event is a function that runs at a point in simulated time. Events of the same time
// run in the order in which they were scheduled, so that a run depends only on its seed.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// eventQueue is a binary heap of events with the simulated clock. container/heap would
// allocate for each event.
type eventQueue struct {
	now  time.Duration
	seq  uint64
	heap []event
}

// epoch is the simulated wall-clock time at the start of each run.
var epoch = time.Unix(1_700_000_000, 0)

// wallTime returns the simulated time as the time.Time that the decision core takes.
func (q *eventQueue) wallTime() time.Time {
	return epoch.Add(q.now)
}

// schedule runs fn after a delay. A negative delay counts as zero.
func (q *eventQueue) schedule(delay time.Duration, fn func()) {
	q.seq++
	q.heap = append(q.heap, event{q.now + max(delay, 0), q.seq, fn})
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

// step runs the next event. It returns false if none is due by the given time.
func (q *eventQueue) step(until time.Duration) bool {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return false
	}
	e := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	q.siftDown()
	q.now = e.at
	e.fn()
	return true
}

func (q *eventQueue) siftDown() {
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
