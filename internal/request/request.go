// Package request defines the types that all steps of handling a call share: its
// importance, its outcome and its refusal. The package does no I/O.
package request
