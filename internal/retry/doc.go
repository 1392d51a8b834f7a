// Package retry bounds the extra attempts that a request may cause.
//
// Retries are the usual way in which an overload feeds itself: with three
// attempts at each hop, a chain of depth d turns one request into up to 3^d
// calls of the last service. Three independent rules prevent that.
//
// Budget bounds the extra attempts of one request over its whole call tree.
// The root opens a budget; a parent lends a part of what it has left to each
// child call and the child's response brings back what was not used. An extra
// attempt exists in exactly one place at a time, either in a budget or in a
// loan, so the total over the tree never exceeds what the root opened, whatever
// the depth, the fan-out or the order of responses. A loan whose response is
// lost is gone: counting it again could spend it twice.
//
// A parent keeps a quarter of its attempts, and at least one of two, when it
// lends. Children called one after the other therefore find attempts left even
// if the first child lost its loan. Halving instead would leave nothing below
// the second hop for the usual budget of 3. A single attempt is lent on, because
// the hop next to the failing service is the cheapest place to retry: hops above
// it would repeat the work between. A chain of depth 23 thus has an attempt at
// its last hop. The part that is not kept is divided evenly among children that
// are called in parallel.
//
// Ratio bounds the retries to one service: even with few extra attempts per
// request, an overloaded service must not get a multiple of its load when all
// requests retry at once. Retries in a sliding window are at most a fraction of
// the first attempts, or a small constant so that a quiet service can retry.
//
// MayRetry keeps calls that may have run, and are not idempotent, from being
// repeated at all.
package retry
