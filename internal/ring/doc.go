// Package ring defines the committed ring: the list of nodes that hold claims
// and lend rate tokens. The package does no I/O.
//
// # Epochs
//
// An Epoch is one version of the ring. It is an entry of the change log, so
// epochs are totally ordered, every node learns them in order, and none is ever
// taken back. A member is one incarnation of a node: a restarted node is a
// different member and never answers for its predecessor.
//
// # Placement
//
// Rendezvous hashing (xxhash of the node name, mixed with the hash of the key)
// chooses the claim holders of a request ID and the lender of a workspace in a
// data centre. Every node computes the same result from the same epoch, and an
// epoch that adds or removes one node moves only the keys of that node. The
// incarnation takes no part in the hash, so that a restart moves no key to
// another node.
//
// # Which epochs are in force
//
// Two guards that use different epochs ask different claim holders. They cannot
// both get a claim as long as they have one epoch in common. Each epoch
// therefore names the Oldest epoch that is still in force beside it, and a node
// whose newest epoch is n uses all epochs from n.Oldest to n (History).
//
// The end of an epoch is a committed fact and not a local timer. A timer that
// starts when a node sees the newer epoch is not safe: with regions partitioned,
// a side that has the platform may commit an epoch that the other side does not
// hear of for an hour. After 120 s the first side would use only the new epoch,
// the other still only the old one, and both would grant the same request ID.
//
// A node may commit an epoch with Oldest = m+1 only when epoch m+1 has been
// settled for RetireAfter (Settlements computes this). The four parts of
// RetireAfter are:
//
//   - FreshnessBound: until then a fresh claim holder may not know epoch m+1, and
//     may grant to a guard that does not know it either. Holders that are not
//     fresh grant nothing.
//   - IDAhead: the last ID granted that way may be this far in the future.
//   - IDLifetime: that ID is refused everywhere after this time.
//   - twice MaxClockError: one clock may be ahead and another one behind.
//
// After that, a guard that uses only epochs from m+1 on cannot get a claim for
// an ID that was granted under epochs up to m.
package ring
