// Package model is a small deterministic queueing model of a service call graph. It
// compares the decision core with a naive deployment under the same arrivals, work
// and faults. It is not a cluster simulator: there is one heap of events, a network
// is a delay, and a node is its ingress state, its guard and its backend server.
//
// A backend server has slots. A call holds its slot while it works and while it
// waits for its nested calls. Calls beyond the slots wait inside the backend server,
// in order of arrival. A request is useful if the client has its complete response within
// the client's timeout.
//
// The naive version picks an endpoint at random, runs a fixed number of calls with
// an unbounded queue in order of arrival, times each attempt out on its own, makes
// three attempts at each hop and cancels nothing. Ours uses packages dispatch,
// pressure, retry and routing, passes deadlines on and cancels.
//
// Ours also charges each root call to its workspace before it runs, with one exact
// token bucket for each workspace. Package quota keeps the same bound, but loses
// some tokens on the way; that loss is not in the model.
package model
