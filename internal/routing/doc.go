// Package routing selects the endpoint to which an ingress sends a call.
//
// The ingress is the role in which a node forwards requests to other nodes. An
// endpoint is the guard of another node, which admits requests to one backend
// server. A call is one attempt: a request sent to one endpoint.
//
// A Picker holds the endpoints of one service as seen by one ingress. Selection
// has four parts.
//
// Subsetting. With 1,800 ingresses and about 11 endpoints per service, a connection
// from every ingress to every endpoint would exceed the limits of 200 to 750
// connections per endpoint. Each ingress therefore orders the endpoints by
// rendezvous hashing and uses the first few of its local data centre and the
// first few of the others. The order is stable: an endpoint that joins or leaves
// changes the subsets of only a few ingresses. The subset sizes are derived from
// the connection limit, with a margin of four standard deviations because hashing
// distributes connections unevenly. A fractional size below one means that only
// this fraction of the ingresses, chosen by hash, regularly uses such an endpoint.
// Endpoints outside the subset are the fallback when those inside are ejected,
// draining or already tried.
//
// Power of two choices. Two random members of the subset are compared by expected
// time, and the better one is used. Always using the best one would send the calls
// of all ingresses to the same endpoint between two updates of its load figures.
//
// Expected time. Calls of one service differ in cost by a factor of 50. Latencies are
// therefore scaled to a call of typical cost, and the expected time of a call is its wait for
// a slot plus the scaled run time. The wait is derived from the work left that the endpoint's
// node reports, falls back to the mean of the waits seen as the report ages, and is corrected
// by how much waits have exceeded what was expected. An endpoint whose node reports no work is
// compared by latency, increased for the calls that this ingress has in flight there. Both are
// increased for the fraction of refused and failed calls. Figures lose weight with
// age, counted from the time of measurement. Reported figures weigh less than the
// ingress's own observations, and less still if they claim that the endpoint is
// faster than observed, so that an endpoint that wrongly reports itself as idle
// cannot attract all calls.
//
// An ingress hears of an endpoint too rarely to know its queue: with 87 ingresses, 0.3 times
// a second. A choice therefore carries the wait from which another endpoint that was
// drawn finishes the call sooner (MaxWait), and the endpoint's node, which knows the queue, may
// leave the call to that one.
//
// An endpoint whose backend server has named a rate limit counts as slower by the mean
// interval between two calls under the limit, as long as the limit is reported. Refusals
// and waits alone tell too late: each of many ingresses sends few calls to one endpoint.
//
// Spillover. A call to another data centre costs 1.5 ms more each way. This is
// added to the endpoint's expected time, and the call goes there if it is still
// faster by enough to be worth the traffic. Spilling a fixed percentage would send calls away from healthy local
// endpoints and too few calls away from overloaded ones.
//
// An endpoint on a stalled node accepts calls and answers none, and until their
// deadlines expire it looks like an idle one. When a call is overdue and nothing
// has been received from the node for a while (SinceLastContact), the ingress
// therefore runs a liveness check. If the check fails, the endpoint is marked
// unresponsive and gets no calls until something is received from it; meanwhile
// the check is repeated. A slow backend server does not make its endpoint
// unresponsive, because its node still answers. If all endpoints are unresponsive,
// the one with the fewest calls in flight is used.
//
// An endpoint that started recently, or returns from ejection, is selected with a
// probability that increases over the slow-start period. An endpoint that keeps
// failing is ejected for a time that doubles with each ejection. At most half of
// the endpoints are ejected at once: when most of a service fails, the cause is
// usually shared, and the remaining endpoints could not carry the load.
package routing
