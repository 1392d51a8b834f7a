package pressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Hint tells how tight one service was when a response passed through it.
type Hint struct {
	Service     string
	ShedLevel   request.Importance // less important calls are shed if they would have to wait
	QueueWait   time.Duration      // time in which the queue drains
	ServiceTime time.Duration      // typical time at a backend server, with all calls that it makes
	AcceptRatio float64            // part of recent arrivals that was not refused
}

// Load holds the load figures of a guard, as they ride on its responses.
type Load struct {
	Limit       int
	Running     int
	Queued      int
	Wait        time.Duration
	ServiceTime time.Duration
	ShedLevel   request.Importance
	AcceptRatio float64
}

// LoadOf returns the figures that ride on the response to a call of the route. The wait
// is that of the line in which such a call waits; inner tells whether it was made by a
// backend server.
func LoadOf(q *dispatch.Queue, route string, inner bool) Load {
	f := q.Load()
	l := Load{Limit: f.Limit, Running: f.Running, Queued: f.Waiting, ServiceTime: q.ServiceTime(route), AcceptRatio: 1}
	if inner {
		l.Wait = q.ExpectedInternalWait()
	} else {
		l.Wait = q.ExpectedWait()
	}
	return l
}

// Hint returns the hint that stands for the load of a service's guard.
func (l Load) Hint(service string) Hint {
	return Hint{
		Service:     service,
		ShedLevel:   l.ShedLevel,
		QueueWait:   l.Wait,
		ServiceTime: l.ServiceTime,
		AcceptRatio: l.AcceptRatio,
	}
}

// Merge combines hints gathered at one hop: its own and those on the responses
// to its onward calls. Of hints on one service it keeps the tightest. The
// result has the tightest first and at most MaxHints.
func Merge(lists ...[]Hint) []Hint {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Hint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), compareTightness(a, b))
	})
	all = slices.CompactFunc(all, func(a, b Hint) bool { return a.Service == b.Service })
	slices.SortStableFunc(all, compareTightness)
	return all[:min(len(all), MaxHints)]
}

// compareTightness orders the tightest first.
func compareTightness(a, b Hint) int {
	return cmp.Or(
		cmp.Compare(b.ShedLevel, a.ShedLevel),
		cmp.Compare(a.AcceptRatio, b.AcceptRatio),
		cmp.Compare(b.QueueWait, a.QueueWait),
	)
}
