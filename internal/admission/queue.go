package admission

import (
	"github.com/teaselseam/teaselseam/internal/request"
)

// flow holds the waiting requests of one workspace with one importance, oldest first. It
// is in the ring of its importance while it is not empty.
type flow struct {
	workspace  *workspaceState
	head, tail *Ticket
	length     int
	deficit    float64 // number of requests that the flow may still start in its turn
	prev, next *flow   // neighbours in the ring; nil if the flow is empty
}

// flowRing holds the flows of one importance that have waiting requests, as a ring.
type flowRing struct {
	cursor *flow // the flow whose turn it is; nil if the ring is empty
	flows  int
	queued int
	weight float64 // sum of the flows' weights
}

// queue holds all waiting requests.
type queue struct {
	rings  [request.NumImportance]flowRing
	queued int
}

func (q *queue) push(t *Ticket) {
	r, f := &q.rings[t.importance], &t.workspace.flows[t.importance]
	if f.length == 0 {
		r.link(f)
	}
	t.prev, t.next = f.tail, nil
	if f.tail == nil {
		f.head = t
	} else {
		f.tail.next = t
	}
	f.tail = t
	f.length++
	r.queued++
	q.queued++
	t.workspace.queued++
}

func (q *queue) remove(t *Ticket) {
	r, f := &q.rings[t.importance], &t.workspace.flows[t.importance]
	if t.prev == nil {
		f.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	f.length--
	r.queued--
	q.queued--
	t.workspace.queued--
	if f.length == 0 {
		r.unlink(f)
	}
}

// link adds a flow to the ring. All other flows have their turn before it.
func (r *flowRing) link(f *flow) {
	f.deficit = 0
	r.flows++
	r.weight += f.workspace.weight
	if r.cursor == nil {
		f.prev, f.next, r.cursor = f, f, f
		return
	}
	f.prev, f.next = r.cursor.prev, r.cursor
	f.prev.next, f.next.prev = f, f
}

func (r *flowRing) unlink(f *flow) {
	r.flows--
	r.weight -= f.workspace.weight
	if r.flows == 0 {
		r.cursor, r.weight = nil, 0
	} else {
		f.prev.next, f.next.prev = f.next, f.prev
		if r.cursor == f {
			r.cursor = f.next
		}
	}
	f.prev, f.next = nil, nil
}

func (q *queue) setWeight(ws *workspaceState, weight float64) {
	for i := range ws.flows {
		if ws.flows[i].length > 0 {
			q.rings[i].weight += weight - ws.weight
		}
	}
	ws.weight = weight
}

// pop removes and returns the request that runs next, or nil if none waits. Workspaces
// with priority go first. Among them importance decides, and within one importance
// deficit round robin by weight.
func (q *queue) pop(s shares) *Ticket {
	f := q.pickFlow(s, false)
	if f == nil {
		f = q.pickFlow(s, true)
	}
	if f == nil {
		return nil
	}
	t := f.head
	q.remove(t)
	return t
}

// pickFlow returns the flow whose oldest request runs next, among the workspaces with
// priority or among all.
func (q *queue) pickFlow(s shares, all bool) *flow {
	for i := len(q.rings) - 1; i >= 0; i-- {
		if f := q.rings[i].pickFlow(s, all); f != nil {
			return f
		}
	}
	return nil
}

// pickFlow picks a flow of the ring and reduces its deficit by one request. The mean
// quantum is one request, so that a round rarely ends without a flow whose deficit is
// sufficient. If it does, the flow with the highest deficit is picked and its deficit
// becomes negative, so that one round is always enough.
func (r *flowRing) pickFlow(s shares, all bool) *flow {
	var best *flow
	quantum := float64(r.flows) / r.weight
	for range r.flows {
		f := r.cursor
		if all || s.hasPriority(f.workspace) {
			if f.deficit < 1 {
				f.deficit += quantum * f.workspace.weight
			}
			if f.deficit >= 1 {
				f.deficit--
				if f.deficit < 1 {
					r.cursor = f.next
				}
				return f
			}
			if best == nil || f.deficit > best.deficit {
				best = f
			}
		}
		r.cursor = f.next
	}
	if best != nil {
		best.deficit--
	}
	return best
}

// victim returns the request to evict when the queue is too long, or nil if there is
// none: among the workspaces over their share, the least important request, and among
// equally important ones the newest request of the workspace furthest over its share.
// Only requests less important than below are considered.
func (q *queue) victim(s shares, below request.Importance) *Ticket {
	for i := range below {
		if t := q.rings[i].victim(s, 1); t != nil {
			return t
		}
	}
	return nil
}

// maxVictimScan is the number of workspaces after which the search for the one furthest
// over its share ends, if any was found. A search through 100 workspaces took 4 us.
const maxVictimScan = 32

// victim returns the newest request of the workspace furthest over its share, among those
// that use more than factor times their share.
func (r *flowRing) victim(s shares, factor float64) *Ticket {
	var worst *flow
	f := r.cursor
	for i := range r.flows {
		if worst != nil && i >= maxVictimScan {
			break
		}
		if s.exceeds(f.workspace, factor) {
			worst, factor = f, float64(f.workspace.inSystem())/s.slots(f.workspace)
		}
		f = f.next
	}
	if worst == nil {
		return nil
	}
	return worst.tail
}

// requestsAhead estimates how many waiting requests start before a new request of the
// workspace. Of the requests with the same importance, deficit round robin lets those of
// other workspaces go first only in proportion to their weights.
func (q *queue) requestsAhead(ws *workspaceState, imp request.Importance) float64 {
	higher := 0
	for i := int(imp) + 1; i < len(q.rings); i++ {
		higher += q.rings[i].queued
	}
	r, f := &q.rings[imp], &ws.flows[imp]
	weight := r.weight
	if f.length == 0 {
		weight += ws.weight
	}
	byTurn := float64(f.length+1) * weight / ws.weight
	return float64(higher) + min(float64(r.queued), byTurn-1)
}

// forEach calls visit for each waiting request. visit may remove that request.
func (q *queue) forEach(visit func(*Ticket)) {
	for i := range q.rings {
		f := q.rings[i].cursor
		for range q.rings[i].flows {
			nextFlow := f.next // read first, since unlinking a flow clears it
			for t := f.head; t != nil; {
				nextTicket := t.next
				visit(t)
				t = nextTicket
			}
			f = nextFlow
		}
	}
}
