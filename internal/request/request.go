// Package request defines the types that every step of a call shares: its
// importance, outcome and refusal. The package does no I/O.
package request
