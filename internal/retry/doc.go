// Package retry limits the extra attempts that a request may cause.
//
// Retries are the most common way in which an overload amplifies itself: with three
// attempts at each hop, a chain of depth d turns one request into up to 3^d calls of
// the last service. Three independent rules prevent that.
//
// Budget limits the extra attempts of one request over its whole call tree. The root
// creates a budget. A parent allocates a part of what remains to each child call, and
// the child's response returns what was not used. An extra attempt exists in exactly
// one place at a time, either in a budget or in an allocation. The total over the tree
// therefore never exceeds the root's budget, whatever the depth, the fan-out or the
// order of responses. If a response is lost, so is its allocation: counting it as
// unused could spend it twice.
//
// When it allocates, a parent reserves a quarter of its attempts for itself, and at
// least one if it has two or more. Children called one after the other therefore find
// attempts left even if the allocation of the first child was lost. Reserving half
// would leave nothing below the second hop with the default budget of 3. A single
// attempt is passed on, because the hop next to the failing service is the cheapest
// place to retry: hops above it would repeat the work in between. A chain of depth 23
// thus has an attempt at its last hop. The part that is not reserved is divided evenly
// among children that are called in parallel.
//
// RatioLimiter limits the retries to one service: even with few extra attempts per
// request, an overloaded service must not get a multiple of its load when all requests
// retry at once. The retries in a sliding window are limited to a fraction of the first
// attempts, or to a small constant if that is higher, so that calls to a service with
// little traffic can be retried.
//
// MayRetry prevents calls that may have run and are not idempotent from being repeated
// at all.
package retry
