// Package quarantine finds requests that crash backend servers and refuses them.
//
// The guard of each node tracks the requests that run on its backend server in a
// RunTracker. When the backend server dies, all of them are suspects. The death gets
// a unique ID and is distributed to all nodes, whose Sets merge deaths by union. A
// request is identified by two fingerprints: the request ID that its caller gave, and
// a digest of workspace, method, host, path and body, which also matches a request that is
// sent again under a new ID, and through another route. Both include the workspace, so that no
// workspace can affect another's requests.
//
// A fingerprint that is a suspect at two deaths is refused by all nodes. Many requests
// run at the same time as a crashing one, so four rules protect harmless requests.
//
// Completed runs. A popular request, for example one with an empty body, runs almost
// everywhere and is likely to be running at two unrelated deaths, but it completes in
// between. A completion clears a fingerprint of all earlier deaths. A crashing request
// does not complete. The guards publish the time at which a suspect completes
// (Completion), and Sets keep the latest time for each fingerprint. Counting runs
// instead would need counters from all nodes, and a request that completed a thousand
// times before a faulty release would never be refused.
//
// Order. A second death counts only if the run there started after the first death.
// When a rack fails or a faulty release is rolled out, popular requests are running at
// many deaths at the same time, which does not make them a likely cause. A crashing
// request that was sent again after its first death always satisfies the rule.
//
// Isolation. After a death, all callers may send their requests again, so harmless
// ones could run together with the crashing one a second time. A guard therefore does
// not start a suspect while another suspect of the same death is running
// (RunTracker.MayStart). The second death then has only one of them.
//
// Ambiguity. Requests may be sent again before the first death is known to all nodes, and
// a common cause may stop several backend servers within a second. If more than two
// fingerprints remain possible causes of the same deaths, or if the deaths and another
// one at which the fingerprint did not run are close together in time, the refusal
// lasts only 30 s. After that, isolation identifies the cause at its next run. The
// crashing request is refused after its second death in every case.
//
// Trials. A refused request cannot complete, so nothing would refute a wrong refusal. After a
// delay one node of the fleet lets it run once (Trial). If it completes, it is cleared
// everywhere; if it crashes the backend server, that is one more death, and the next trial
// comes later. The number of trials within Expiry is bounded.
//
// Nodes that start, or that were cut off, know only what is stored. What refutes a suspicion is
// therefore stored beside the deaths and for as long (Unstored), and so are the claims of
// trials. Nodes store only completions that clear a fingerprint of a death of which the stored
// ones do not clear it, so a popular request causes few writes for each death and not one for
// each run.
//
// Deaths and completions expire after an hour, by the clocks of the nodes that
// recorded them. The order rule assumes that the clocks of VMs agree within 2 ms.
//
// Nodes use only a part of this: a digest of the content as the fingerprint, for long bodies
// beside one of their beginning. They do not
// call MayStart, Summary or Reply. With isolation, the hundreds of requests that one
// backend server loses would run again one at a time.
package quarantine
