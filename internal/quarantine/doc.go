// Package quarantine finds requests that crash backend servers and refuses them.
//
// The guard beside a backend server keeps a Record of the calls that run. When the
// backend server dies, all of them are suspects. The death gets a unique ID and
// spreads to all nodes, whose Sets merge deaths by union. A request is known by two
// fingerprints: the request ID that its caller gave, and a digest of route,
// workspace and body, which also recognises a request sent again under a new ID.
// Both include the workspace, so that no workspace can affect another's requests.
//
// A fingerprint that is a suspect at two deaths is refused everywhere. Many calls
// run beside a crashing one, so four rules keep innocent requests out.
//
// Completed runs. A popular request, for example one with an empty body, runs
// almost everywhere and is likely to be present at two unrelated deaths, but it
// completes in between. Completing after a death clears a fingerprint of that death
// and of all before it. A crashing request does not complete. The guards publish
// the time of such a completion, a survival, and Sets keep the latest for each
// fingerprint. Counting runs instead would need counters from all nodes, and a
// request that completed a thousand times before a faulty release would never be
// refused.
//
// Order. A second death counts only if the run there started after the first death.
// When a rack fails or a faulty release spreads, popular requests die in many
// places at once, which says nothing about them. A crashing request that was sent
// again after its first death always satisfies the rule.
//
// Isolation. After a death, all callers may send their requests again, and innocent
// ones could meet the crashing one again. A guard therefore does not start a
// suspect beside another suspect of the same death (Record.MayStart). The second
// death then has only one of them.
//
// Ambiguity. Calls may be sent again before the first death has spread, and a
// common cause may stop several backend servers within a second. If more than two
// fingerprints remain possible causes of the same deaths, or if deaths close
// together include one at which the fingerprint did not run, the refusal lasts only
// 30 s. After that, isolation finds the cause at its next run. The crashing request
// is refused after its second death in every case.
//
// What remains is an innocent request that was sent again and met two unrelated
// deaths without completing in between: nothing tells it from a crashing one until
// an operator lifts the entry.
//
// Deaths, survivals and lifts expire after an hour, by the clocks of the nodes that
// recorded them. Clocks of VMs are assumed to agree within 2 ms for the order rule.
package quarantine
