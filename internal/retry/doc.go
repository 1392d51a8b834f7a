// Package retry decides whether a call is sent to another endpoint after an attempt has
// failed, and bounds how often.
//
// Retries are the most common way in which an overload amplifies itself: with three
// attempts at each hop, a chain of depth d turns one request into up to 3^d calls of
// the last service. Two independent rules prevent that.
//
// Progress decides on one call. A call that may have run is repeated only if it is
// idempotent; a failure that came from further down is final, because the hop next to it
// has already retried; and the runs and endpoints of one call are bounded. Nodes and the
// queueing model use this decision.
//
// Account bounds the retries to one service: even with few extra attempts per call, an
// overloaded service must not get a multiple of its load when all calls retry at once.
// The retries in a sliding window are limited to a fraction of the first attempts, or to a
// small constant if that is higher, so that calls to a service with little traffic can be
// retried. Each node keeps its part, without messages: the fractions of all nodes add up to
// the fraction of all first attempts, and the constant is divided by the number of nodes. A
// retry that no backend server has received an attempt for is not charged, because it adds
// no load.
package retry
