// Package routing chooses the guard to which an ingress sends a call.
//
// A Picker holds the endpoints of one service as one ingress sees them. A choice
// has four steps.
//
// Subset. With 1,800 ingresses and about 11 workers per service, a connection
// from every ingress to every worker would exceed the limits of 200 to 750
// connections per worker. Each ingress therefore orders the endpoints by
// rendezvous hashing and uses the first few of its local data centre and the
// first few of the others. The order is stable: an endpoint that joins or leaves
// changes the subset of few ingresses. The numbers follow from the connection
// limit, leaving four standard deviations for the uneven spread of hashing. A
// number below one means that only this part of the ingresses, chosen by hash,
// has such an endpoint in regular use. Endpoints outside the subset stand in when
// the others are ejected, draining or already tried.
//
// Two choices. Two random members of the subset are compared by expected time,
// and the better one is used. Always using the best one would send all ingresses
// to the same endpoint between two updates of its figures.
//
// Expected time. It is the latency seen by this ingress, raised by the calls it
// has in flight there and by the share of refused and failed calls, and corrected
// by the load figures on responses. Figures lose weight as they age, counted from
// the time they were measured. Reported figures weigh less than the ingress's own
// observations, and less still if they claim that the endpoint is faster than
// observed, so that a wrongly idle report cannot attract all calls.
//
// Spill. An endpoint of another data centre costs 1.5 ms more each way. That is
// added to its expected time, and the call goes there if it still comes out
// faster. A fixed percentage would send calls away from healthy local endpoints
// and too few from overloaded ones.
//
// An endpoint whose node stands still takes calls and answers none, and until their
// deadlines nothing tells it apart from an idle one. A node that has been quiet for a
// while (Quiet) when a call to it is overdue therefore gets a liveness check. If it fails,
// the endpoint is silent and gets no call until something comes from it; the check is
// repeated meanwhile. A slow backend server is not silent, since its
// node answers. When all are silent, the one with the fewest calls in flight is used.
//
// An endpoint that started recently, or returns from ejection, is drawn with a
// probability that rises over the slow start time. An endpoint that keeps failing
// is ejected for a time that doubles with each ejection, but never more than half
// of the endpoints: when most of a service fails, the cause is usually common, and
// the rest could not carry the load.
package routing
