// Package soak runs real nodes as separate processes, injects faults from outside
// them and checks what callers and backend servers see.
//
// The store and the backend servers are stand-ins (package standin) that run in the
// process of the soak test. Each node reaches them through loopback proxies, which
// can delay or reset connections, or drop traffic in one or both directions. Nodes
// are stopped, killed, paused and told to reload by signals. Several sequences of
// faults, planned operations and configuration changes run at the same time; the seed
// determines their order and timing.
//
// The checks (check.go) use only what callers sent and received and what backend
// servers ran, never the logs or the state of a node.
package soak
