// Package processtest holds tests that run the real programs as separate
// processes over loopback: the platform stand-in, nodes and backend servers.
package processtest
