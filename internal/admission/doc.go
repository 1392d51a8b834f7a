// Package admission is the concurrency limit and the queue of one backend
// server, as its guard sees it. It decides for each arriving call whether it
// runs now, waits, or is refused as not run, and which waiting call runs when a
// slot becomes free.
//
// # Why at the guard
//
// Only the guard sees every call of its backend server, with its latency and
// its end. Health and load endpoints lag or mislead, and an ingress sees only
// its own share of the load. The package therefore relies on what the guard
// measures, and treats everything the backend server says about itself as a
// hint that may slow growth of the limit or raise a suspicion, but never moves
// the limit by itself.
//
// # The concurrency limit
//
// A backend server has a number of slots that nobody configures here. Up to
// this knee, more concurrent calls mean more throughput at the same latency.
// Beyond it calls queue inside the backend server, where they can't be ordered
// by importance or refused. The limit should sit just above the knee.
//
// Latency relative to a baseline, measured when nothing queued, shows overload
// at once. Alone it can't tell an overload here from a slow service behind this
// backend server: in both cases latency rises. A limit that follows latency
// falls to nothing in the second case, and each lost slot is lost throughput,
// because a slow service behind needs more concurrent calls, not fewer.
//
// Throughput tells the two apart. If calls queue here, a lower limit costs no
// throughput. If they wait elsewhere, throughput falls with the limit. The
// limiter (type limiter) combines the two:
//
//  1. Startup: starting low, it doubles the limit while there is demand, until
//     latency rises and throughput no longer does. If latency rises more than
//     queueing here can explain, the limit stays and a probe follows.
//  2. Steady: while the limit binds at times, it grows in steps that get smaller as latency nears growRatio
//     times the baseline, and holds above that.
//  3. Suspect: when latency exceeds overRatio times the baseline, when the
//     backend server sheds calls, or when the baseline is old, it measures
//     again at an unchanged limit, with more samples.
//  4. Probing: it cuts the limit until throughput falls. The latency at that
//     point is the new baseline, and throughput before the cuts times this
//     latency is the number of slots needed (Little's law). If calls waited
//     elsewhere, the first cut shows it and that number is the previous limit.
//
// Windows are measured as throughput and mean concurrency rather than as a mean
// over completed calls: calls that hang then count while they hang. A window in
// which the limit bound only at times can't show an overload, but lets the limit
// grow; one in which it never bound only updates the baseline. If all calls of a
// window time out, there is nothing to compare, and the limit falls towards its
// initial value.
//
// The alternatives that were measured, and the figures, are in
// docs/decisions/concurrency-limit.md.
//
// # Shares
//
// The limit is divided among the workspaces that have a call here, by weight.
// A workspace alone has all of it, so no slot is kept idle. A workspace that
// uses less than its share saves credit for up to a second of it, since calls
// come in bursts. Waiting calls count as use, because in an overload every slot
// is used and only the waiting calls show who causes it (type shares).
//
// A workspace within its share, or with credit left, is not touched by an
// overload that others cause: its calls get the next free slot, are exempt from
// the shed level, and displace waiting calls of workspaces over their share.
// This comes before importance. Callers choose the importance of their calls,
// and a workspace that marks everything critical must not take the share of
// others. Since shares add up to the limit, all shedding falls on workspaces
// over their share, and among their calls importance decides.
//
// # The queue
//
// Waiting is bounded by time, because a length means nothing without the
// service time. A call is refused on arrival if the wait that it can expect and
// the typical service time exceed its remaining time, or if its wait exceeds
// Config.MaxWait. If all waiting calls together would take longer than MaxWait
// to drain, one must go: the least important call among workspaces over their
// share, from the one furthest over it, and there the newest. The arriving call
// is refused itself unless it ranks above that one. A burst can fill the queue
// while its workspaces still have credit and so none is over its share; then the
// least important call goes, in favour of more important arrivals only.
//
// There is a ring of flows per importance, and in it one flow per workspace
// that waits. A free slot goes to the highest importance, first among the
// workspaces that are due and then among all, and within one importance by
// deficit round robin over the weights. A decision visits each workspace of a
// ring at most once.
//
// # The shed level
//
// Under lasting overload most arrivals would be evicted later. The shed level
// (type shedder) rises while the queue delay is high and refuses less important
// calls at the door. It has hysteresis in delay and in time. It never exceeds
// the highest importance, so critical calls are only ever refused by the time
// bounds. A call that finds a free slot runs at any shed level.
//
// # Retry-After
//
// Every refusal asks the caller to return after the time in which the present
// queue drains, multiplied for calls below the shed level, with jitter so that
// the callers do not return together.
package admission
