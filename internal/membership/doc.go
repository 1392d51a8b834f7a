// Package membership tracks which nodes are part of the fleet and decides how
// recent a node's knowledge is. It does no I/O: its owner sends what Tick and
// Request return and reports the results.
//
// # Membership
//
// Each interval a node exchanges with one member of its own data centre, in a
// shuffled round, and with one member of another data centre, taking the data
// centres in turn. Changed records travel as deltas on these exchanges. A failed
// exchange leads to indirect probes through other members, then to suspicion,
// and after a timeout to death. A member that learns of its own suspicion or
// death raises its version, which overrides both. A node that starts again has a
// new incarnation; of two incarnations of one name, or of one address, the one
// that started later replaces the other.
//
// # Freshness
//
// A node is fresh while its platform evidence, or its evidence for more than half
// of the data centres, is younger than Config.Bound. The claim is that a fresh
// node knows each entry that was settled longer ago than the bound. Contact with
// one node of a data centre is evidence for the whole data centre only under
// these rules, which are stricter than "any node answers":
//
//   - Evidence carries knowledge. The receiver of a response counts the evidence
//     in it only after it has applied the responder's sequence number and holds
//     all its early revocations. Evidence passed on by a third node is covered by
//     this, because the third node followed the rule too. Requests carry no
//     evidence, because the receiver cannot tell when they were sent.
//   - A node vouches for its data centre (reports it with age zero) only after
//     continuous contact with other members of it for Config.JoinSettle, the
//     newest within the bound. A node that joined or woke from a pause may be
//     unknown to a node that is settling an entry at that moment. Config.Suspicion
//     plus Config.DeadGrace is longer than the bound, so a member in contact
//     within the bound cannot have been left out of a settlement as dead.
//   - A node vouches only while more than half of the members of its data centre,
//     dead ones included until they are forgotten, have not been dead to it for
//     Config.JoinSettle; of two equal halves, the one with the lowest name. A data centre counts as settled only if
//     members of such a majority acknowledged, and each member not dead for
//     longer than Config.DeadGrace did. The grace starts again when a member of the
//     data centre comes back or joins, because that member may have been in contact
//     with the dead one until then. Otherwise a partition that runs through all
//     data centres would leave both sides with "all live members" and fresh.
//   - Members that have not been fresh since their start do not count towards this
//     majority. A node that restarted has lost what its predecessor acknowledged,
//     and may learn the state from a minority that lacks it.
//   - A node's own data centre counts only through another node that vouches for
//     it. If it knows of no other, it counts by itself, but not before the node has
//     learned the state from elsewhere.
//   - Until a node that has seeds has received a member table, it does not know how
//     many data centres there are: it counts no majority and settles nothing. The
//     table comes from a node that has one or, when a whole fleet starts, from more
//     than half of the seeds.
//   - Dead members are forgotten only by a node that has evidence for more than
//     half of the data centres. A side that was cut off does not become a majority
//     by forgetting the others.
//
// What remains: a process that was paused, replaced under its name and then wakes
// in a partition in which nobody has heard of its successor counts as the
// successor there. And when a partition runs through a data centre, its smaller part
// stops vouching once it holds the larger part dead. The bound then relies on this
// taking at most Config.DeadGrace longer than on the larger side, and on gossip
// making a joiner known to every settling node within Config.JoinSettle.
package membership
