// Package pressure is an ingress's view of what lies behind its routes. It
// learns from hints that ride on responses which services a route passes and
// how tight they are, and refuses at the ingress, as not run, a request that
// would probably fail deep in the graph.
//
// # Why refuse early
//
// A guard refuses cheaply, but only when a request has reached it. A request
// refused by the fifth service of a chain has cost the work of four, and while
// it waited it held a slot at each. With one slow service deep in the graph
// these slots run out first, and routes that don't pass the slow service fail
// too. The ingress is the one place where refusing costs nothing behind it.
//
// # Hints
//
// Each guard puts its load figures on its responses (Load). The node beside the
// backend server that made the call turns them into a hint on the called
// service, merges it with the hints on that response (Merge), and sends all of
// them up with its own response. An ingress thus hears of each service behind
// the one it calls, with no extra message. The hints are about the services
// behind the answering guard and not about that guard: it decides for itself,
// exactly, and a refusal there costs one hop.
//
// Refusals carry hints too. The text form is bounded and read strictly, because
// it comes from peers (ParseHints, ParseLoad).
//
// # Tightness
//
// The tightness of a service is a number on the scale of importance: requests
// less important than its whole part are refused, and of those at the whole
// part the fraction. It is the larger of two levels.
//
// The shed level is what the guards of the service report, averaged. It refuses
// what these guards would refuse.
//
// The backlog level steers the queue of the service to a short wait, like an
// integral controller: it rises while the reported wait is above
// backlogTarget and falls while it is below. The shed level alone was not
// enough. The slots of the services on the way bound the queue at the slow one,
// so that it stays short of shedding while the queues before it are full.
//
// Requests of the highest importance pass: their fate is decided by the guards.
// Others are also refused if the time they have left is too short against the
// typical time of a service on the route.
//
// # Workspaces
//
// The guards protect a workspace within its share from an overload that others
// cause. An ingress that refused by importance alone would undo that. It counts
// the requests on each route by workspace and exempts those that ask for no
// more than their share of what can be admitted (type demand). Its counts are
// local; with few requests per ingress the exemption is generous by one
// standard deviation, and it is the guards that decide.
//
// # Recovery
//
// Hints have full weight for less than a second and none after a second. While
// requests pass, for instance the most important ones, each response carries
// news. Otherwise a request is let through now and then as a probe. Once the
// pressure is gone, the backlog level falls from its maximum in half a second.
//
// The alternative, refusing by the learned chance of completing in time, and
// the figures are in docs/decisions/early-refusal.md.
package pressure
