package admission

import (
	"github.com/teaselseam/teaselseam/internal/request"
)

// flow holds the waiting calls of one workspace at one importance, oldest
// first. Flows that are not empty form a ring.
type flow struct {
	tenant     *tenant
	head, tail *Ticket
	length     int
	deficit    float64 // calls this flow may still send in its turn
	prev, next *flow   // neighbours in the ring; nil if the flow is empty
}

// level is the ring of flows of one importance.
type level struct {
	cursor *flow // whose turn it is; nil if the ring is empty
	flows  int
	queued int
	weight float64 // sum of the flows' weights
}

// queue holds all waiting calls.
type queue struct {
	levels [request.NumImportance]level
	queued int
}

func (q *queue) push(t *Ticket) {
	l, f := &q.levels[t.importance], &t.tenant.flows[t.importance]
	if f.length == 0 {
		l.link(f)
	}
	t.prev, t.next = f.tail, nil
	if f.tail == nil {
		f.head = t
	} else {
		f.tail.next = t
	}
	f.tail = t
	f.length++
	l.queued++
	q.queued++
	t.tenant.queued++
}

func (q *queue) remove(t *Ticket) {
	l, f := &q.levels[t.importance], &t.tenant.flows[t.importance]
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
	l.queued--
	q.queued--
	t.tenant.queued--
	if f.length == 0 {
		l.unlink(f)
	}
}

// link adds a flow to the ring as the last one to have its turn.
func (l *level) link(f *flow) {
	f.deficit = 0
	l.flows++
	l.weight += f.tenant.weight
	if l.cursor == nil {
		f.prev, f.next, l.cursor = f, f, f
		return
	}
	f.prev, f.next = l.cursor.prev, l.cursor
	f.prev.next, f.next.prev = f, f
}

func (l *level) unlink(f *flow) {
	l.flows--
	l.weight -= f.tenant.weight
	if l.flows == 0 {
		l.cursor, l.weight = nil, 0
	} else {
		f.prev.next, f.next.prev = f.next, f.prev
		if l.cursor == f {
			l.cursor = f.next
		}
	}
	f.prev, f.next = nil, nil
}

// setWeight changes the weight of a workspace.
func (q *queue) setWeight(t *tenant, weight float64) {
	for i := range t.flows {
		if t.flows[i].length > 0 {
			q.levels[i].weight += weight - t.weight
		}
	}
	t.weight = weight
}

// next removes and returns the call that runs next, or nil if none waits.
// Workspaces that are due go first; within them importance decides, and within
// one importance deficit round robin by weight.
func (q *queue) next(s shares) *Ticket {
	f := q.turn(s, false)
	if f == nil {
		f = q.turn(s, true)
	}
	if f == nil {
		return nil
	}
	t := f.head
	q.remove(t)
	return t
}

func (q *queue) turn(s shares, all bool) *flow {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if f := q.levels[i].turn(s, all); f != nil {
			return f
		}
	}
	return nil
}

// turn picks a flow and charges it one call. The mean quantum is one call, so
// that a round rarely ends without a flow that can pay. If it does, the flow
// with the highest deficit runs into debt, which bounds the cost to one round.
func (l *level) turn(s shares, all bool) *flow {
	var best *flow
	quantum := float64(l.flows) / l.weight
	for range l.flows {
		f := l.cursor
		if all || s.due(f.tenant) {
			if f.deficit < 1 {
				f.deficit += quantum * f.tenant.weight
			}
			if f.deficit >= 1 {
				f.deficit--
				if f.deficit < 1 {
					l.cursor = f.next
				}
				return f
			}
			if best == nil || f.deficit > best.deficit {
				best = f
			}
		}
		l.cursor = f.next
	}
	if best != nil {
		best.deficit--
	}
	return best
}

// victim returns the call that goes first when the queue must shrink: of the
// workspaces over their share, the least important call, and among equally
// important ones the newest call of the workspace furthest over its share.
// Only calls less important than below are considered.
func (q *queue) victim(s shares, below request.Importance) *Ticket {
	for i := range below {
		if t := q.levels[i].victim(s, 1); t != nil {
			return t
		}
	}
	return nil
}

// victimScan bounds the search for the workspace furthest over its share once
// one is found. A search through 100 workspaces took 4 us.
const victimScan = 32

// victim considers workspaces that use more than a factor of their share.
func (l *level) victim(s shares, factor float64) *Ticket {
	var worst *flow
	f := l.cursor
	for i := range l.flows {
		if worst != nil && i >= victimScan {
			break
		}
		if s.exceeds(f.tenant, factor) {
			worst, factor = f, float64(f.tenant.inSystem())/s.slots(f.tenant)
		}
		f = f.next
	}
	if worst == nil {
		return nil
	}
	return worst.tail
}

// ahead estimates how many waiting calls run before a new call of the
// workspace. Deficit round robin lets the others of the same importance pass
// only in proportion to their weights.
func (q *queue) ahead(t *tenant, imp request.Importance) float64 {
	higher := 0
	for i := int(imp) + 1; i < len(q.levels); i++ {
		higher += q.levels[i].queued
	}
	l, f := &q.levels[imp], &t.flows[imp]
	weight := l.weight
	if f.length == 0 {
		weight += t.weight
	}
	turn := float64(f.length+1) * weight / t.weight
	return float64(higher) + min(float64(l.queued), turn-1)
}

// each calls visit for every waiting call. visit may remove the call.
func (q *queue) each(visit func(*Ticket)) {
	for i := range q.levels {
		f := q.levels[i].cursor
		for range q.levels[i].flows {
			following := f.next // unlinked flows lose their neighbours
			for t := f.head; t != nil; {
				after := t.next
				visit(t)
				t = after
			}
			f = following
		}
	}
}
