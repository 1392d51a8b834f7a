// Package soak runs real nodes as separate processes, injects faults from outside
// them and checks what callers and backend servers see.
//
// The store and the backend servers are the project's stand-ins and run in the
// process of the soak, behind a loopback proxy for each node, so that connections
// can be delayed, reset, cut one way or silenced. Nodes are stopped, killed, paused
// and told to reload by signals. Faults, planned work and changes of the
// configuration come in series and overlap, at times drawn from the seed.
//
// The checks (check.go) use only what callers sent and got and what backend servers
// ran; no log or state of a node is looked at.
package soak
