// Package admission implements admission control for one backend server: a
// concurrency limit that it learns, and a queue. It decides for each arriving
// request whether it runs now, waits, or is refused without having run, and which
// waiting request runs when a slot becomes free.
//
// # Measurement
//
// The package is meant for the guard, the node beside the backend server. Only the
// guard sees every request to its backend server, with its latency and its result.
// Health and load endpoints lag or mislead, and an ingress sees only the load that
// it sends itself. The package therefore relies on what the guard measures. What
// the backend server reports about itself is only a hint: it may slow the growth of
// the limit or cause a probe, but does not lower the limit by itself. There is one
// exception: if the backend server refuses requests in the startup phase, the phase
// ends and the limit falls to the mean concurrency.
//
// # Concurrency limit
//
// A backend server handles a number of requests at once, its slots. The number is
// not configured here. Up to this knee, more concurrent requests give more
// throughput at the same latency. Beyond it, requests queue inside the backend
// server, where they can't be ordered by importance or refused. The limit should be
// just above the knee.
//
// Latency relative to a baseline, measured while nothing queued, shows overload at
// once. But latency alone can't tell an overload of this backend server from a slow
// downstream service (one that the backend server calls), because it rises in both
// cases. A limit that follows latency collapses if a downstream service is slow, and
// each slot lost is throughput lost, because requests that take longer need more
// concurrency for the same throughput, not less.
//
// Throughput distinguishes the two. If requests queue at the backend server, a lower
// limit costs no throughput. If they wait downstream, throughput falls with the
// limit. The limiter (type limiter) uses both, in four phases:
//
//  1. Startup: from a low initial value, the limit doubles while there is demand,
//     until latency rises and throughput no longer does. If latency rises more than
//     queueing at the backend server can explain, the limit stays and a probe follows.
//  2. Steady: the limit grows while it is reached at least part of the time. The
//     steps get smaller as latency approaches headroomRatio times the baseline;
//     above that, the limit stays.
//  3. Confirming: if latency exceeds overloadRatio times the baseline, if the backend
//     server refuses requests, or if the baseline is old, the limiter measures again
//     with more samples, at an unchanged limit.
//  4. Probing: the limiter cuts the limit until throughput falls. The latency at
//     that point is the new baseline. By Little's law, the number of slots needed is
//     this latency times the throughput before the cuts. If requests waited
//     downstream, throughput falls at the first cut, and the number of slots is the
//     limit before the cut.
//
// Each window is measured by its throughput and mean concurrency, not by the mean
// latency of completed requests: requests that hang are then counted while they
// hang. A window in which the limit was reached only part of the time can't show an
// overload, but allows the limit to grow. One in which it was never reached only
// updates the baseline. If all requests of a window time out, there is no throughput
// to compare, and the limit falls towards its initial value.
//
// The alternatives are compared in docs/decisions/concurrency-limit.md, with the
// figures.
//
// # Shares
//
// The limit is divided by weight among the workspaces that have a request running or
// waiting (type shares). A workspace that is alone may use all of it, so no slot is
// kept idle. Since requests come in bursts, a workspace that uses less than its share
// saves the rest as credit, up to one second of its full share. Waiting requests
// count as use: in an overload every slot is in use, and only the waiting requests
// show who causes it.
//
// A workspace that is within its share, or has credit left, is protected from an
// overload that others cause. Its requests get the next free slot, are exempt from
// the shed level, and displace waiting requests of workspaces over their share.
// Shares come before importance: callers choose the importance of their requests,
// and a workspace that marks all of its requests critical must not take the share of
// others. Since the shares add up to the limit, only workspaces over their share are
// shed, and among their requests importance decides.
//
// # Queue
//
// The bound on the queue is a time, because a length means nothing without the
// service time. A request is refused on arrival if its expected wait exceeds
// Config.MaxWait, or if expected wait and typical service time together exceed the
// time left until its deadline.
//
// If draining the queue would take longer than MaxWait, one request is evicted: among
// the workspaces over their share, the least important one; among equally important
// ones, the newest of the workspace furthest over its share. If the arriving request
// does not rank above that one, it is refused instead. A burst can fill the queue
// while its workspaces still have credit, so that none counts as over its share.
// Then the least important request is evicted, but only for a more important one.
//
// For each importance there is a ring of flows, one for each workspace with waiting
// requests. A free slot goes to the workspaces with priority (those within their
// share), and to the others only if those have no waiting request. In either group
// the highest importance goes first, and within one importance the workspaces share
// by deficit round robin over their weights. Each of the two passes visits a flow at
// most once.
//
// # Shed level
//
// In a lasting overload, most requests that were queued would be evicted later. The
// shed level (type shedder) rises while the queue delay is high, and requests less
// important than the level are refused on arrival. It has hysteresis in delay and in
// time. It never exceeds the highest importance, so critical requests are refused
// only because of the bounds on time. A request that finds a free slot runs at any
// shed level.
//
// # Retry-After
//
// A refusal asks the caller to retry after the time that the queue takes to drain.
// This time is multiplied for requests below the shed level, and jitter spreads the
// retries.
package admission
