package admission

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// call is one call of a played workload.
type call struct {
	workspace  string
	importance request.Importance
	at         time.Duration
	service    time.Duration
	deadline   time.Duration // after at; 0 for none
	giveUp     time.Duration // its caller stops waiting this long after at; 0 for never

	ticket         *Ticket
	started, ended bool
	refusal        request.Refusal
	finished       time.Duration
}

// player drives a Controller with a workload.
type player struct {
	c      *Controller
	calls  []call
	server *backend // determines the end of a call; nil if it only takes its service time
	active []callEnd
	byEnd  map[callEnd][]*call
	now    time.Duration
	// observe is called before each step that may start or refuse calls.
	observe func()
	started func(*call, bool) // the flag tells whether it had waited
}

// play runs the workload, sorted by time, to its end.
func (p *player) play() {
	p.byEnd = make(map[callEnd][]*call)
	nextTick := time.Duration(0)
	for i := 0; i < len(p.calls) || len(p.active) > 0 || p.c.Load().Queued > 0; {
		p.now = nextTick
		if i < len(p.calls) {
			p.now = min(p.now, p.calls[i].at)
		}
		if len(p.active) > 0 {
			p.now = min(p.now, p.active[0].end)
		}
		if p.observe != nil {
			p.observe()
		}
		switch {
		case len(p.active) > 0 && p.active[0].end == p.now:
			p.finish()
		case i < len(p.calls) && p.calls[i].at == p.now:
			p.arrive(&p.calls[i])
			i++
		default:
			p.cancel(i)
			start, refuse := p.c.Tick(at(p.now))
			p.refuse(refuse)
			p.start(start)
			nextTick = p.now + 5*time.Millisecond
		}
	}
}

func (p *player) arrive(c *call) {
	a := Arrival{Workspace: c.workspace, Importance: c.importance}
	if c.deadline > 0 {
		a.Deadline = at(c.at + c.deadline)
	}
	t, d := p.c.Arrive(at(p.now), a)
	if d.Evicted != nil {
		p.refuse([]*Ticket{d.Evicted})
	}
	c.ticket = t
	switch d.Verdict {
	case Refuse:
		c.refusal = d.Refusal
		p.end(c)
	case Run:
		t.Owner = c
		p.run(c, false)
	case Wait:
		t.Owner = c
	}
}

// cancel ends the calls that wait for longer than their callers do.
func (p *player) cancel(arrived int) {
	for i := range p.calls[:arrived] {
		c := &p.calls[i]
		if c.giveUp > 0 && !c.started && !c.ended && p.now >= c.at+c.giveUp {
			p.start(p.c.Cancel(at(p.now), c.ticket))
			c.refusal = request.Refuse(request.ReasonCancelled, time.Second)
			p.end(c)
		}
	}
}

func (p *player) run(c *call, waited bool) {
	if c.started {
		panic("call started twice")
	}
	c.started = true
	e := callEnd{p.now, p.now + c.service, Served}
	if p.server != nil {
		e = p.server.serve(p.now, len(p.active)+1)
	}
	p.byEnd[e] = append(p.byEnd[e], c)
	p.active = insert(p.active, e)
	if p.started != nil {
		p.started(c, waited)
	}
}

func (p *player) start(ts []*Ticket) {
	for _, t := range ts {
		p.run(t.Owner.(*call), true)
	}
}

func (p *player) refuse(ts []*Ticket) {
	for _, t := range ts {
		c := t.Owner.(*call)
		c.refusal = t.Refusal()
		p.end(c)
	}
}

func (p *player) finish() {
	e := p.active[0]
	p.active = p.active[1:]
	c := p.byEnd[e][0]
	p.byEnd[e] = p.byEnd[e][1:]
	c.finished = p.now
	p.end(c)
	p.start(p.c.Finish(at(p.now), c.ticket, Served))
}

func (p *player) end(c *call) {
	if c.ended {
		panic("call ended twice")
	}
	c.ended = true
}

// naiveWaits returns how long each call waits with fixed slots and one
// unbounded FIFO.
func naiveWaits(calls []call, slots int) []time.Duration {
	free := make([]time.Duration, slots)
	waits := make([]time.Duration, len(calls))
	for i, c := range calls {
		first := slices.Index(free, slices.Min(free))
		begin := max(c.at, free[first])
		waits[i], free[first] = begin-c.at, begin+c.service
	}
	return waits
}
