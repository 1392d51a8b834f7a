package admission

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// simRequest is a request of a simulated workload.
type simRequest struct {
	workspace   string
	importance  request.Importance
	arrivesAt   time.Duration
	serviceTime time.Duration
	deadline    time.Duration // after arrivesAt; 0 for none
	cancelAfter time.Duration // time after arrivesAt at which the caller cancels if still waiting; 0 for never

	ticket         *Ticket
	started, ended bool
	refusal        request.Refusal
	finishedAt     time.Duration
}

// simulation runs a workload against a Controller.
type simulation struct {
	controller *Controller
	requests   []simRequest
	server     *backendModel // if nil, each request takes exactly its service time
	active     []completion
	byEnd      map[completion][]*simRequest
	now        time.Duration
	// beforeStep is called before each step that may start or refuse requests.
	beforeStep func()
	onStart    func(*simRequest, bool) // the flag tells whether the request was queued
}

// run simulates until all requests have ended. They must be ordered by arrival.
func (s *simulation) run() {
	s.byEnd = make(map[completion][]*simRequest)
	nextTick := time.Duration(0)
	for i := 0; i < len(s.requests) || len(s.active) > 0 || s.controller.Load().Queued > 0; {
		s.now = nextTick
		if i < len(s.requests) {
			s.now = min(s.now, s.requests[i].arrivesAt)
		}
		if len(s.active) > 0 {
			s.now = min(s.now, s.active[0].end)
		}
		if s.beforeStep != nil {
			s.beforeStep()
		}
		switch {
		case len(s.active) > 0 && s.active[0].end == s.now:
			s.finishNext()
		case i < len(s.requests) && s.requests[i].arrivesAt == s.now:
			s.arrive(&s.requests[i])
			i++
		default:
			s.cancelExpired(i)
			started, refused := s.controller.Tick(at(s.now))
			s.refuseTickets(refused)
			s.startTickets(started)
			nextTick = s.now + 5*time.Millisecond
		}
	}
}

func (s *simulation) arrive(r *simRequest) {
	a := Arrival{Workspace: r.workspace, Importance: r.importance}
	if r.deadline > 0 {
		a.Deadline = at(r.arrivesAt + r.deadline)
	}
	t, d := s.controller.Arrive(at(s.now), a)
	if d.Evicted != nil {
		s.refuseTickets([]*Ticket{d.Evicted})
	}
	r.ticket = t
	switch d.Verdict {
	case Refuse:
		r.refusal = d.Refusal
		s.end(r)
	case Run:
		t.Owner = r
		s.startRequest(r, false)
	case Wait:
		t.Owner = r
	}
}

// cancelExpired cancels waiting requests whose cancelAfter has passed, among the first
// arrived requests.
func (s *simulation) cancelExpired(arrived int) {
	for i := range s.requests[:arrived] {
		r := &s.requests[i]
		if r.cancelAfter > 0 && !r.started && !r.ended && s.now >= r.arrivesAt+r.cancelAfter {
			s.startTickets(s.controller.Cancel(at(s.now), r.ticket))
			r.refusal = request.Refuse(request.ReasonCancelled, time.Second)
			s.end(r)
		}
	}
}

func (s *simulation) startRequest(r *simRequest, waited bool) {
	if r.started {
		panic("request started twice")
	}
	r.started = true
	e := completion{s.now, s.now + r.serviceTime, Served}
	if s.server != nil {
		e = s.server.serve(s.now, len(s.active)+1)
	}
	s.byEnd[e] = append(s.byEnd[e], r)
	s.active = insertByEnd(s.active, e)
	if s.onStart != nil {
		s.onStart(r, waited)
	}
}

func (s *simulation) startTickets(tickets []*Ticket) {
	for _, t := range tickets {
		s.startRequest(t.Owner.(*simRequest), true)
	}
}

func (s *simulation) refuseTickets(tickets []*Ticket) {
	for _, t := range tickets {
		r := t.Owner.(*simRequest)
		r.refusal = t.Refusal()
		s.end(r)
	}
}

func (s *simulation) finishNext() {
	e := s.active[0]
	s.active = s.active[1:]
	r := s.byEnd[e][0]
	s.byEnd[e] = s.byEnd[e][1:]
	r.finishedAt = s.now
	s.end(r)
	s.startTickets(s.controller.Finish(at(s.now), r.ticket, Served))
}

func (s *simulation) end(r *simRequest) {
	if r.ended {
		panic("request ended twice")
	}
	r.ended = true
}

// fifoWaits returns the wait of each request with fixed slots and one unbounded FIFO
// queue.
func fifoWaits(requests []simRequest, slots int) []time.Duration {
	free := make([]time.Duration, slots)
	waits := make([]time.Duration, len(requests))
	for i, r := range requests {
		first := slices.Index(free, slices.Min(free))
		begin := max(r.arrivesAt, free[first])
		waits[i], free[first] = begin-r.arrivesAt, begin+r.serviceTime
	}
	return waits
}
