// Package pressure refuses requests at an ingress that would probably fail deep in
// the call graph. The ingress learns from hints in responses which services are
// behind each of its routes and how overloaded they are. A request refused here has
// not run.
//
// # Why refuse early
//
// A node has two roles. As ingress it accepts requests from the callers on its VM
// and from its backend server. As guard it queues or refuses the requests that other
// nodes send to its backend server. A refusal by a guard is cheap, but comes only
// when the request has reached it. A request refused by the fifth service of a chain
// has cost the work of four, and while it waited it held a slot at each. If one
// service deep in the graph is slow, these slots run out first, and routes that don't
// use the slow service fail too. Only at the ingress does a refusal cost no work
// behind it.
//
// # Hints
//
// Each guard sends its load with its responses (Load). The node beside the backend
// server that made the internal call turns this load into a hint on the called
// service, merges it with the hints in the same response (Merge), and sends all of
// them with its own response. An ingress thus learns of each service behind the one
// to which it sends the request, with no extra message. The hints do not cover the
// guard that responds to the ingress: it knows its own load exactly, and its refusal
// costs only one hop.
//
// Refusals carry hints too. Their text form comes from peers, so its size is
// bounded and it is parsed strictly (ParseHints, ParseLoad).
//
// # Refusal threshold
//
// The refusal threshold of a service is a number on the scale of importance. With a
// threshold of 1.5, all requests of importance 0 and half of those of importance 1
// are refused. It is the larger of two levels.
//
// The shed level is the average of the levels that the guards of the service
// report. It refuses what these guards would refuse.
//
// The backlog level keeps the queue of the service short, like an integral
// controller: it rises while the reported wait is above targetQueueWait and falls
// while it is below. The shed level alone was not enough: the slots of the upstream
// services bound the number of requests that reach the slow one, so its queue stays
// too short for its guards to shed while the queues upstream are full.
//
// A target as short as that leaves a service idle whose load is spread unevenly: some of
// its guards run out of requests while others have a queue. It is worth it only where the
// slots of the services before it are short. If none of these has had requests waiting
// for a second, the target is relaxedQueueWait.
//
// Requests of the highest importance always pass these two: only guards refuse them. Other
// requests are also refused if the time left until their deadline is too short for
// the typical service time of a service behind the route.
//
// # Workspaces
//
// The guards protect a workspace that stays within its share from an overload that
// others cause. An ingress that refused by importance alone would undo that. So it
// counts the requests of each route by workspace, and exempts workspaces that send
// no more than their share of the requests that can be admitted (type demand). Its
// counts are local. With few requests per ingress, the exemption is generous by one
// standard deviation, and the guards decide.
//
// # Recovery
//
// Hints lose their weight between 0.7 s and 1 s after they arrive. While requests
// pass, such as the most important ones, their responses bring new hints. If none
// arrive, a request is admitted now and then as a probe. Once the overload is over,
// the backlog level falls from its maximum to zero in half a second.
//
// The alternative, to refuse by the measured probability of completing in time, is
// compared in docs/decisions/early-refusal.md, with the figures.
package pressure
