// Package model is a deterministic queueing model of a service call graph. It compares
// teaselseam's decision core with a naive deployment under the same arrivals, work and
// faults. It is a discrete-event simulation that leaves out most of a cluster: the
// network is a fixed delay, and a node consists of its ingress, its guard and its
// backend server.
//
// A backend server has a number of slots. A call holds a slot while it works and while
// it waits for its internal calls, which the backend server makes on its behalf. If all
// slots are taken, calls queue inside the backend server in order of arrival. A request is
// useful if its client receives the complete response within the client's timeout.
//
// The naive version picks a node at random, runs a fixed number of calls per node and
// queues the others in order of arrival without bound, gives each attempt a timeout of
// its own, makes up to three attempts at each hop and never cancels calls. The other
// version, "ours", uses packages dispatch, pressure, retry and routing, propagates
// deadlines and cancels calls.
//
// Ours also charges each call to the root service to its workspace before the call runs,
// with one exact token bucket per workspace. Package share enforces the same bound, but
// loses some tokens when it distributes them among nodes; the model does not include that
// loss.
package model
