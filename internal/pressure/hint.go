package pressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Hint is the load of one service at the time of a response.
type Hint struct {
	Service     string
	ShedLevel   request.Importance // requests of lower importance are shed if they would have to wait
	QueueWait   time.Duration      // expected wait in the queue
	ServiceTime time.Duration      // typical time at a backend server, including its internal calls
}

// Load is the load of a guard, as sent with its responses.
type Load struct {
	Limit       int
	Running     int
	Queued      int
	Wait        time.Duration
	ServiceTime time.Duration
	ShedLevel   request.Importance
}

// LoadOf returns the load to send with the response to a request of the flow. The wait
// is that of internal calls if internal is set, otherwise that of external requests (see
// package dispatch).
func LoadOf(now time.Time, q *dispatch.Queue, flow request.Flow, internal bool) Load {
	state := q.Load()
	return Load{
		Limit: state.Limit, Running: state.Running, Queued: state.Waiting, Wait: q.ExpectedStart(now, internal),
		ServiceTime: q.ServiceTime(flow),
	}
}

// Hint returns the hint on a service whose guard reported this load.
func (l Load) Hint(service string) Hint {
	return Hint{
		Service:     service,
		ShedLevel:   l.ShedLevel,
		QueueWait:   l.Wait,
		ServiceTime: l.ServiceTime,
	}
}

// Merge combines the hints gathered at one hop: its own and those in the responses
// to its internal calls. Of several hints on one service it keeps the one with the
// most overload. The result is ordered by falling overload and has at most MaxHints.
func Merge(lists ...[]Hint) []Hint {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Hint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), compareOverload(a, b))
	})
	all = slices.CompactFunc(all, func(a, b Hint) bool { return a.Service == b.Service })
	slices.SortStableFunc(all, compareOverload)
	return all[:min(len(all), MaxHints)]
}

// compareOverload orders hints by falling overload.
func compareOverload(a, b Hint) int {
	return cmp.Or(
		cmp.Compare(b.ShedLevel, a.ShedLevel),
		cmp.Compare(b.QueueWait, a.QueueWait),
	)
}
