// Package quota keeps a workspace within its rate and burst across all nodes.
//
// # Guarantee
//
// In every window of length w, all guards together take at most burst + rate x w
// tokens that are not refunded. This holds whatever nodes pause, restart, lose
// messages or disagree on the ring. If the operator changes the limit, the larger
// of the old and the new limit bounds a window that contains the change.
//
// # Mechanism
//
// Each data centre has a part of the limit (Part) and one Lender for it, chosen by
// package ring. A guard has a Borrower, which borrows lots of tokens ahead of its
// demand and takes a token at the point of running a call. A lot expires Life
// after the borrower sent its request. The lender is told in each later request
// how many tokens of each lot are used and how many are still held; the
// difference returns to its bucket.
//
// A lender that is short borrows lots from the lenders of other data centres in
// the same way and lends them on. A lot that is lent on keeps its expiry, and the
// lender reports it as held until its own borrower has reported it.
//
// # Why the bound holds
//
// A lender counts each token in its bucket or as outstanding: lent, and neither
// reported nor expired. It refills its bucket only as long as level plus
// outstanding tokens stays within its part of the burst. The tokens taken from its
// bucket in a window are outstanding or in the bucket at the start of the window,
// or are refilled within it, so they are at most burst + rate x w of the part. The
// parts sum to at most the limit. In detail:
//
//   - A lost answer leaves a lot that nobody can take from. The borrower never
//     accepts an answer to any but its newest request, and reports the lot as
//     given up.
//   - A lost report leaves tokens outstanding. The lender drops them without
//     return reportGrace after the expiry; it must, because it cannot know whether
//     they were used.
//   - Duplicate and late requests change nothing: the lender accepts rising
//     sequence numbers only, and repeats its last answer.
//   - The lender lets a lot expire later than the borrower, who counts from the
//     sending of its request, so no clocks are compared. A borrower uses the
//     monotonic or the wall clock, whichever says later, so that a suspended VM
//     does not use old tokens; a lender refills by the monotonic clock.
//   - A refund is accepted only while the lot is valid and no request has been made
//     since the token was taken. Each request reports all tokens used, and the
//     lender may have refilled its bucket for a reported token.
//
// # Change of lender
//
// A lender that learns of an epoch in which another node lends closes for good. It
// hands its level and outstanding tokens over, once, to its successor. A lender
// that has never started hands nothing over, because its own predecessor may
// still lend.
//
// Without a hand-over, a lender starts empty, ring.FreshnessBound plus Life after
// it knew that its epoch is settled. A predecessor that did not hear of the epoch
// is not fresh by then and lends nothing, and what it lent has expired.
//
// # Change of limit or of data centres
//
// Parts depend on the limit and on the list of data centres, both from the change
// log (Layout). While nodes learn of a change at different times, old and new
// parts together may exceed the limit. A lender therefore uses the smaller of its
// old and its new part until the change has been settled for the same time as
// above. A smaller part is in force at once.
package quota
