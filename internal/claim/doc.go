// Package claim decides whether a call that may not be repeated may run. It
// guarantees that at most one attempt with the same request ID runs, whichever
// guards the attempts reach.
//
// # Mechanism
//
// Before a guard runs such a call, it asks the claim holders of the request ID
// for a claim. Package ring chooses three holders per ring epoch. A Holder
// grants an ID to one attempt only; an attempt is a claimant (guard name and
// incarnation) and a token. A Round collects the replies. It is Granted when, in
// every epoch in force, a majority of that epoch's holders has granted.
//
// # Why at most one attempt runs
//
// Within one epoch two majorities have a holder in common, and that holder
// granted one of the two attempts only. This needs no clock and no assumption on
// messages:
//
//   - Lost messages cost a grant. Duplicates repeat the reply. A delayed acquire
//     of an attempt that was released is refused, because the holder keeps the
//     released token.
//   - A holder that crashed comes back as another incarnation, which is another
//     member. It does not answer requests for the old incarnation, so lost claims
//     count as unreachable, never as free.
//   - A holder forgets a claim only when the ID is older than ring.IDLifetime by
//     the highest wall-clock time that this holder has seen. From then on it
//     refuses the ID, and a clock that is set back does not change that.
//   - A guard may pause for any time between grant and run. The claims stay in
//     place until the ID is too old to be claimed by anybody.
//
// Two guards with different newest epochs a < b have epoch a in common as long as
// epoch b does not end it. Ending epochs is safe for these reasons:
//
//   - A Holder refuses an acquire from a guard whose newest epoch is older than
//     the newest one the holder has heard of, from the change log or from any
//     guard. The reply names that epoch. The guard goes on with the same round
//     once it has learned it (Round.Learned).
//   - A Holder grants only while its node is fresh. A fresh node knows every epoch
//     that was settled more than ring.FreshnessBound ago. So no holder grants to a
//     guard that does not know epoch a+1 later than that after epoch a+1 settled.
//   - An epoch that ends epoch a is committed only when epoch a+1 has been settled
//     for ring.RetireAfter. All IDs granted to guards without epoch a+1 are too
//     old by then. Package ring derives the figure.
//
// The last step is the only one that compares clocks: it needs wall clocks of
// claim holders within ring.MaxClockError of real time, for a majority of holders
// of the old and of the new epoch.
//
// # When "not run" is true
//
// A guard whose Round is Granted and that has not started the call knows that no
// other attempt has run it: that attempt's claims would still be in place. It
// releases its claims (Round.Release) and may answer "not run". Every other
// refusal of a Round is "may have run", except for an ID that is no UUIDv7,
// which no guard runs as a call that may not be repeated.
//
// A guard that refuses a call before it has the claim knows only that its own
// attempt did not run. It must not answer "not run" for an ID that the caller may
// have sent before.
//
// # Limits
//
// Crashes of holders never let two attempts run, however many crash at once. They
// cost availability. When two of the three holders of an ID in one epoch have
// crashed, the ID cannot be claimed until that epoch has ended, which takes at
// least ring.RetireAfter after the next epoch has settled. Calls with such IDs
// are refused as "may have run" (claim_unavailable). The same holds for every
// small ring: with fewer than three members a majority of them is needed, so a
// ring of one or two members tolerates no crash. A restart of the whole fleet
// within that time stops all calls that may not be repeated.
//
// Epochs cannot settle while more than half of the data centres are unreachable.
// Old epochs then stay in force, which is safe.
package claim
